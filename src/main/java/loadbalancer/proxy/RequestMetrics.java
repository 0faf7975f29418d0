package loadbalancer.proxy;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;

/**
 * Counts requests by their result, in total and by class and tenant. The worth of a request is its class's
 * priority weight, times the work where the settings say so; a late response earns its class's share of it.
 * Reads no clock; for the event loop's thread.
 */
public final class RequestMetrics {
    /** The counts of one class or one tenant. */
    public static final class Counts {
        private long accepted;
        private long inTime;
        private long late;
        private double offeredWorth;
        private double earnedWorth;

        /** Accepted requests. */
        public long accepted() {
            return accepted;
        }

        /** Served within the latency objective. */
        public long inTime() {
            return inTime;
        }

        /** Served after the latency objective. */
        public long late() {
            return late;
        }

        /** Worth of all accepted requests. */
        public double offeredWorth() {
            return offeredWorth;
        }

        /** Worth earned by the served requests. */
        public double earnedWorth() {
            return earnedWorth;
        }
    }

    private Policy.Settings settings;
    private final Counts all = new Counts();
    private Counts[] byClass;
    private Counts[] byTenant;
    private final EnumMap<Policy.Outcome, Long> attemptsByOutcome = new EnumMap<>(Policy.Outcome.class);
    private long rejected;
    private long failed;
    private long disconnected;

    /** Counts of 0 for the classes and tenants of {@code settings}. */
    public RequestMetrics(Policy.Settings settings) {
        this.settings = settings;
        byClass = zeros(settings.classes().size());
        byTenant = zeros(Math.max(1, settings.tenants().size()));
    }

    private static Counts[] zeros(int size) {
        Counts[] counts = new Counts[size];
        for (int i = 0; i < size; i++) {
            counts[i] = new Counts();
        }
        return counts;
    }

    /**
     * A request's place in the counts, by the settings that it was accepted under.
     *
     * @param ofClass the counts of its class
     * @param ofTenant the counts of its tenant
     * @param worth what it earns in time
     * @param latencyObjective in µs
     * @param lateShare the share of {@code worth} that a late response earns
     */
    public record Entry(Counts ofClass, Counts ofTenant, double worth, long latencyObjective, double lateShare) {}

    /**
     * Other settings hold from here on; known classes and tenants keep their counts under their new numbers.
     *
     * @param formerClasses for each class its number before, -1 where it is new
     * @param formerTenants for each tenant its number before, -1 where it is new
     */
    public void reload(Policy.Settings to, List<Integer> formerClasses, List<Integer> formerTenants) {
        settings = to;
        byClass = renumbered(byClass, formerClasses);
        byTenant = to.tenants().isEmpty() ? zeros(1) : renumbered(byTenant, formerTenants);
    }

    private static Counts[] renumbered(Counts[] before, List<Integer> formerNumbers) {
        return formerNumbers.stream()
                .map(number -> number < 0 ? new Counts() : before[number])
                .toArray(Counts[]::new);
    }

    /** Counts an accepted request. */
    public Entry received(ProxyRequest request) {
        Policy.RequestClass requestClass = settings.classes().get(request.requestClass());
        long stretch = request.work() > 0 ? (long) (requestClass.aimStretch() * request.work()) : 0;
        Entry entry = new Entry(
                byClass[request.requestClass()],
                byTenant[request.tenant()],
                worth(request),
                requestClass.aimMicros() + stretch,
                requestClass.lateShare());
        received(all, entry.worth());
        received(entry.ofClass(), entry.worth());
        received(entry.ofTenant(), entry.worth());
        return entry;
    }

    private static void received(Counts counts, double worth) {
        counts.accepted++;
        counts.offeredWorth += worth;
    }

    /** Counts a served request; {@code latency}: in µs since it was accepted. */
    public void served(Entry entry, long latency) {
        boolean inTime = latency <= entry.latencyObjective();
        double earned = entry.worth() * (inTime ? 1 : entry.lateShare());
        served(all, inTime, earned);
        served(entry.ofClass(), inTime, earned);
        served(entry.ofTenant(), inTime, earned);
    }

    private static void served(Counts counts, boolean inTime, double earned) {
        if (inTime) {
            counts.inTime++;
        } else {
            counts.late++;
        }
        counts.earnedWorth += earned;
    }

    /** Counts a rejected request. */
    public void rejected() {
        rejected++;
    }

    /** Counts a failed request. */
    public void failed() {
        failed++;
    }

    /** Counts a request whose client has disconnected before its response. */
    public void clientDisconnected() {
        disconnected++;
    }

    /** Counts an attempt by its outcome. */
    public void ended(Policy.Outcome outcome) {
        Long count = attemptsByOutcome.get(outcome);
        attemptsByOutcome.put(outcome, count == null ? 1 : count + 1);
    }

    private double worth(ProxyRequest request) {
        double worth = settings.classes().get(request.requestClass()).worth();
        return settings.worthByWork() && request.work() > 0 ? worth * request.work() : worth;
    }

    /** The counts in total. */
    public Counts all() {
        return all;
    }

    /** The counts of a class, by its number in the settings. */
    public Counts ofClass(int number) {
        return byClass[number];
    }

    /** The counts of a tenant, by its number; 0 where the settings name none. */
    public Counts ofTenant(int number) {
        return byTenant[number];
    }

    /** Attempts by outcome; outcomes that have not happened are left out. */
    public Map<Policy.Outcome, Long> attempts() {
        return new EnumMap<>(attemptsByOutcome);
    }

    /** The counts in one line, for the end of a run. */
    public String summary() {
        return all.inTime + " served in time, " + all.late + " late, " + rejected + " refused, " + failed + " failed, "
                + disconnected + " gone";
    }

    /** Rejected requests. */
    public long rejections() {
        return rejected;
    }

    /** Failed requests. */
    public long failures() {
        return failed;
    }

    /** Requests whose clients disconnected before a response. */
    public long disconnects() {
        return disconnected;
    }
}
