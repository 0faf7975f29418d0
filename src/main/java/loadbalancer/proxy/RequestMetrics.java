package loadbalancer.proxy;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;

/**
 * What has become of the requests: the same names for every front and in every report, so that they can be
 * set side by side. Worth is that of the classes, times the work where the settings count it so; a late
 * answer earns its class's share. Reads no clock; used on the event loop's thread only.
 */
public final class RequestMetrics {
    /** The counts of one class or one tenant. */
    public static final class Line {
        private long taken;
        private long inTime;
        private long late;
        private double asked;
        private double earned;

        public long taken() {
            return taken;
        }

        /** Served within the aim. */
        public long inTime() {
            return inTime;
        }

        /** Served after the aim. */
        public long late() {
            return late;
        }

        /** Worth of all that was taken. */
        public double asked() {
            return asked;
        }

        /** Worth of what was served. */
        public double earned() {
            return earned;
        }
    }

    private Policy.Settings settings;
    private final Line all = new Line();
    private Line[] classes;
    private Line[] tenants;
    private final long[] outcomes = new long[Policy.Outcome.values().length];
    private long refused;
    private long failed;
    private long gone;

    public RequestMetrics(Policy.Settings settings) {
        this.settings = settings;
        classes = lines(settings.classes().size());
        tenants = lines(Math.max(1, settings.tenants().size()));
    }

    private static Line[] lines(int count) {
        Line[] lines = new Line[count];
        for (int i = 0; i < count; i++) {
            lines[i] = new Line();
        }
        return lines;
    }

    /** A request's place in the counts: the lines and the class that it was taken under. */
    public record Entry(Line ofClass, Line ofTenant, double worth, long aim, double lateShare) {}

    /** Other settings hold from here on; the lines go on under the numbers that they have now, or begin. */
    public void reload(Policy.Settings to, List<Integer> formerClasses, List<Integer> formerTenants) {
        settings = to;
        classes = carried(classes, formerClasses);
        tenants = to.tenants().isEmpty() ? lines(1) : carried(tenants, formerTenants);
    }

    private static Line[] carried(Line[] before, List<Integer> former) {
        return former.stream().map(i -> i < 0 ? new Line() : before[i]).toArray(Line[]::new);
    }

    /** A request has been taken. */
    public Entry received(ProxyRequest order) {
        Policy.RequestClass kind = settings.classes().get(order.requestClass());
        long aim = kind.aim() + (order.work() > 0 ? (long) (kind.aimStretch() * order.work()) : 0);
        Entry entry =
                new Entry(classes[order.requestClass()], tenants[order.tenant()], worth(order), aim, kind.lateShare());
        received(all, entry.worth());
        received(entry.ofClass(), entry.worth());
        received(entry.ofTenant(), entry.worth());
        return entry;
    }

    private static void received(Line line, double worth) {
        line.taken++;
        line.asked += worth;
    }

    /** It has been served, {@code latency} µs after it was taken. */
    public void served(Entry entry, long latency) {
        boolean inTime = latency <= entry.aim();
        double earned = entry.worth() * (inTime ? 1 : entry.lateShare());
        served(all, inTime, earned);
        served(entry.ofClass(), inTime, earned);
        served(entry.ofTenant(), inTime, earned);
    }

    private static void served(Line line, boolean inTime, double earned) {
        if (inTime) {
            line.inTime++;
        } else {
            line.late++;
        }
        line.earned += earned;
    }

    /** One has been refused. */
    public void refused() {
        refused++;
    }

    /** One has failed. */
    public void failed() {
        failed++;
    }

    /** One's client has left before its answer. */
    public void clientDisconnected() {
        gone++;
    }

    /** An attempt has ended. */
    public void ended(Policy.Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    private double worth(ProxyRequest order) {
        double worth = settings.classes().get(order.requestClass()).worth();
        return settings.worthByWork() && order.work() > 0 ? worth * order.work() : worth;
    }

    /** The counts over all. */
    public Line all() {
        return all;
    }

    /** The counts of a class, by its number in the settings. */
    public Line ofClass(int number) {
        return classes[number];
    }

    /** The counts of a tenant, by its number; 0 where the settings name none. */
    public Line ofTenant(int number) {
        return tenants[number];
    }

    /** Attempts by how they ended; those that never ended so are left out. */
    public Map<Policy.Outcome, Long> attempts() {
        Map<Policy.Outcome, Long> attempts = new EnumMap<>(Policy.Outcome.class);
        for (Policy.Outcome outcome : Policy.Outcome.values()) {
            if (outcomes[outcome.ordinal()] > 0) {
                attempts.put(outcome, outcomes[outcome.ordinal()]);
            }
        }
        return attempts;
    }

    /** In one line, for the end of a run. */
    public String summary() {
        return all.inTime + " served in time, " + all.late + " late, " + refused + " refused, " + failed + " failed, "
                + gone + " gone";
    }

    public long refusals() {
        return refused;
    }

    public long failures() {
        return failed;
    }

    /** Requests whose clients left before an answer. */
    public long departures() {
        return gone;
    }
}
