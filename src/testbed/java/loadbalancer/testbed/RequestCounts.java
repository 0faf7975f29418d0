package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What clients got, by request class, under the names of the balancer's own metrics. A request's worth is its
 * class's priority weight times its work. May be used from any thread.
 */
final class RequestCounts {
    private static final long MAX_LATENCY_MICROS = 60_000_000; // larger ones are recorded as this
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The counts of a class, or of all; latencies in µs from the time at which a request was due to be sent. */
    static final class Line {
        final String name;
        final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        long taken;
        long inTime;
        long late;
        long refused;
        long failed;
        long notTaken;
        long unanswered;
        double offeredWorth;
        double earnedWorth;

        Line(String name) {
            this.name = name;
        }

        /** The share of the offered worth that was earned; 1 before any request. */
        double worthInTime() {
            return offeredWorth == 0 ? 1 : earnedWorth / offeredWorth;
        }
    }

    private final Scenario scenario;
    private final List<Line> lines = new ArrayList<>();
    private final Line all = new Line("all");
    private Histogram recent = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private long recentEnds;

    RequestCounts(Scenario scenario) {
        this.scenario = scenario;
        scenario.classes().forEach(each -> lines.add(new Line(each.name())));
    }

    /** A request has been sent. */
    synchronized void recordTaken(int classIndex, long work) {
        double worth = scenario.classes().get(classIndex).priorityWeight() * work;
        for (Line line : List.of(all, lines.get(classIndex))) {
            line.taken++;
            line.offeredWorth += worth;
        }
    }

    /** A request has ended, {@code latency} µs after it was due. */
    synchronized void recordEnd(int classIndex, long work, Ledger.RequestOutcome outcome, long latency) {
        Scenario.RequestClass requestClass = scenario.classes().get(classIndex);
        double worth = requestClass.priorityWeight() * work;
        boolean inTime = latency <= requestClass.latencyObjectiveMicros();
        recentEnds++;
        for (Line line : List.of(all, lines.get(classIndex))) {
            switch (outcome) {
                case SERVED -> {
                    line.latency.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, latency)));
                    line.inTime += inTime ? 1 : 0;
                    line.late += inTime ? 0 : 1;
                    line.earnedWorth += inTime
                            ? worth
                            : latency <= requestClass.deadlineMicros() ? worth * requestClass.lateShare() : 0;
                }
                case REFUSED -> line.refused++;
                case FAILED -> line.failed++;
                case NOT_TAKEN -> line.notTaken++;
                default -> line.unanswered++;
            }
        }
        if (outcome == Ledger.RequestOutcome.SERVED) {
            recent.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, latency)));
        }
    }

    /** Requests that ended since the last call, and their latencies in µs. */
    record Recent(long ends, long p50, long p99) {}

    /** Returns the recent figures and starts new ones. */
    synchronized Recent recent() {
        Recent snapshot = new Recent(recentEnds, recent.getValueAtPercentile(50), recent.getValueAtPercentile(99));
        recent.reset();
        recentEnds = 0;
        return snapshot;
    }

    /** The counts of each class, then of all together; these objects go on counting. */
    synchronized List<Line> lines() {
        List<Line> copy = new ArrayList<>(lines);
        copy.add(all);
        return copy;
    }

    /** The counts of all classes together, which go on counting. */
    synchronized Line all() {
        return all;
    }
}
