package loadbalancer.proxy;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;

/**
 * Counts requests by result, in total, per class and per tenant. The worth of a request is the priority weight of its
 * class, multiplied by the work if the settings say so; a late response earns a share of the worth that is set for the
 * class. Reads no clock. To be used on the event loop's thread.
 */
public final class RequestMetrics {
    /** The counts of one class or one tenant. */
    public static final class Counts {
        private long accepted;
        private long inTime;
        private long late;
        private double offeredWorth;
        private double earnedWorth;

        /** Returns the number of accepted requests. */
        public long accepted() {
            return accepted;
        }

        /** Returns the number of requests served within the latency objective. */
        public long inTime() {
            return inTime;
        }

        /** Returns the number of requests served after the latency objective. */
        public long late() {
            return late;
        }

        /** Returns the worth of all accepted requests. */
        public double offeredWorth() {
            return offeredWorth;
        }

        /** Returns the worth earned by the served requests. */
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

    /** Creates counts of 0 for the classes and tenants of {@code settings}. */
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
     * The counts that a request belongs to, and its worth, by the settings under which it was accepted.
     *
     * @param ofClass the counts of its class
     * @param ofTenant the counts of its tenant
     * @param worth the worth of a response in time
     * @param latencyObjectiveMicros the max. latency of a response in time
     * @param lateShare the share of {@code worth} that a late response earns
     */
    public record Entry(Counts ofClass, Counts ofTenant, double worth, long latencyObjectiveMicros, double lateShare) {}

    /**
     * Replaces the settings; classes and tenants that existed before keep their counts under their new numbers.
     *
     * @param formerClasses the former number of each class, -1 for a new class
     * @param formerTenants the former number of each tenant, -1 for a new tenant
     */
    public void reload(Policy.Settings newSettings, List<Integer> formerClasses, List<Integer> formerTenants) {
        settings = newSettings;
        byClass = renumbered(byClass, formerClasses);
        byTenant = newSettings.tenants().isEmpty() ? zeros(1) : renumbered(byTenant, formerTenants);
    }

    private static Counts[] renumbered(Counts[] before, List<Integer> formerNumbers) {
        return formerNumbers.stream()
                .map(number -> number < 0 ? new Counts() : before[number])
                .toArray(Counts[]::new);
    }

    /** Counts an accepted request. */
    public Entry received(ProxyRequest request) {
        Policy.RequestClass requestClass = settings.classes().get(request.requestClass());
        long stretchMicros = request.workMicros() > 0 ? (long) (requestClass.aimStretch() * request.workMicros()) : 0;
        Entry entry = new Entry(
                byClass[request.requestClass()],
                byTenant[request.tenant()],
                worth(request),
                requestClass.aimMicros() + stretchMicros,
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

    /** Counts a served request; {@code latencyMicros} is the time since the request was accepted. */
    public void served(Entry entry, long latencyMicros) {
        boolean inTime = latencyMicros <= entry.latencyObjectiveMicros();
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
    public void attemptEnded(Policy.Outcome outcome) {
        Long count = attemptsByOutcome.get(outcome);
        attemptsByOutcome.put(outcome, count == null ? 1 : count + 1);
    }

    private double worth(ProxyRequest request) {
        double worth = settings.classes().get(request.requestClass()).worth();
        return settings.worthByWork() && request.workMicros() > 0 ? worth * request.workMicros() : worth;
    }

    /** Returns the counts of all requests. */
    public Counts all() {
        return all;
    }

    /** Returns the counts of the class with this number in the settings. */
    public Counts ofClass(int number) {
        return byClass[number];
    }

    /** Returns the counts of the tenant with this number in the settings; 0 if the settings name no tenants. */
    public Counts ofTenant(int number) {
        return byTenant[number];
    }

    /** Returns the number of attempts by outcome; outcomes that have not occurred are absent. */
    public Map<Policy.Outcome, Long> attempts() {
        return new EnumMap<>(attemptsByOutcome);
    }

    /** Returns the counts as one line, for the summary at the end of a run. */
    public String summary() {
        return all.inTime + " served in time, " + all.late + " late, " + rejected + " refused, " + failed + " failed, "
                + disconnected + " gone";
    }

    /** Returns the number of rejected requests. */
    public long rejections() {
        return rejected;
    }

    /** Returns the number of failed requests. */
    public long failures() {
        return failed;
    }

    /** Returns the number of requests whose clients disconnected before the response. */
    public long disconnects() {
        return disconnected;
    }
}
