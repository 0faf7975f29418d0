package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What clients got, by class, under the names of the balancer's own tally; worth goes by work. From any
 * thread.
 */
final class RequestCounts {
    /** The counts of a class, or of all; latencies in µs from the time at which an order was to be asked. */
    static final class Line {
        final String name;
        final Histogram latency = new Histogram(60_000_000, 3);
        long taken;
        long inTime;
        long late;
        long refused;
        long failed;
        long notTaken;
        long unanswered;
        double asked;
        double earned;

        Line(String name) {
            this.name = name;
        }

        double worthInTime() {
            return asked == 0 ? 1 : earned / asked;
        }
    }

    private final Scenario scenario;
    private final List<Line> lines = new ArrayList<>();
    private final Line all = new Line("all");
    private Histogram recent = new Histogram(60_000_000, 3);
    private long recentEnds;

    RequestCounts(Scenario scenario) {
        this.scenario = scenario;
        scenario.kinds().forEach(k -> lines.add(new Line(k.name())));
    }

    synchronized void taken(int kind, long work) {
        double worth = scenario.kinds().get(kind).worth() * work;
        for (Line line : List.of(all, lines.get(kind))) {
            line.taken++;
            line.asked += worth;
        }
    }

    synchronized void ended(int kind, long work, Ledger.Final how, long latency) {
        Scenario.Kind of = scenario.kinds().get(kind);
        double worth = of.worth() * work;
        boolean inTime = latency <= of.aim();
        recentEnds++;
        for (Line line : List.of(all, lines.get(kind))) {
            switch (how) {
                case SERVED -> {
                    line.latency.recordValue(Math.max(0, Math.min(60_000_000, latency)));
                    line.inTime += inTime ? 1 : 0;
                    line.late += inTime ? 0 : 1;
                    line.earned += inTime ? worth : latency <= of.deadline() ? worth * of.lateShare() : 0;
                }
                case REFUSED -> line.refused++;
                case FAILED -> line.failed++;
                case NOT_TAKEN -> line.notTaken++;
                default -> line.unanswered++;
            }
        }
        if (how == Ledger.Final.SERVED) {
            recent.recordValue(Math.max(0, Math.min(60_000_000, latency)));
        }
    }

    /** Ends and latencies since the last call. */
    record Recent(long ends, long p50, long p99) {}

    synchronized Recent recent() {
        Recent told = new Recent(recentEnds, recent.getValueAtPercentile(50), recent.getValueAtPercentile(99));
        recent.reset();
        recentEnds = 0;
        return told;
    }

    /** All classes, then all together; the lines go on counting. */
    synchronized List<Line> lines() {
        List<Line> copy = new ArrayList<>(lines);
        copy.add(all);
        return copy;
    }

    synchronized Line all() {
        return all;
    }
}
