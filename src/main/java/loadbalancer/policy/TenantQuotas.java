package loadbalancer.policy;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Tells which requests exceed their tenant's quota: one token bucket for each tenant, filled at this balancer's part
 * of the tenant's rate.
 */
final class TenantQuotas {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Requests added to what a tenant brought and should bring: fewer say little of its rate. */
    private static final double PRIOR_REQUESTS = 5;
    /** Requests that even a small tenant may bring at once, by chance. */
    private static final double MIN_BURST_REQUESTS = 4;
    /** What a tenant may bring at once, as a time at its rate. */
    private static final double BURST_MICROS = 1e6;

    private final ActiveSettings active;
    private final SplittableRandom random;
    /** Decaying number of first submissions of each tenant. */
    private double[] arrivals = {};
    /** Requests that each tenant may still bring within its quota, and when they were counted. */
    private double[] tokens = {};

    private long[] tokensAt = {};

    TenantQuotas(ActiveSettings active, SplittableRandom random) {
        this.active = active;
        this.random = random;
    }

    /**
     * Takes the tenants of the active settings over.
     *
     * @param formerTenants for each tenant the number that it had before, or -1 if it is new
     */
    void reload(long now, List<Integer> formerTenants) {
        double[] formerTokens = tokens;
        double[] formerArrivals = arrivals;
        tokens = new double[active.settings().tenants().size()];
        tokensAt = new long[tokens.length];
        arrivals = new double[Math.max(1, tokens.length)];
        Arrays.fill(tokensAt, now);
        for (int i = 0; i < tokens.length; i++) {
            int former = formerTenants.get(i);
            // Random, as buckets that were all full at once overran the servers at a start.
            tokens[i] = former < 0 ? MIN_BURST_REQUESTS * random.nextDouble() : formerTokens[former];
            arrivals[i] = former < 0 ? 0 : formerArrivals[former];
        }
    }

    /** Starts to fill the buckets at {@code now}. */
    void start(long now) {
        Arrays.fill(tokensAt, now);
    }

    void recordArrival(int tenant, boolean resubmission) {
        arrivals[tenant] += resubmission ? 0 : 1;
    }

    /** Takes a token for a request; false if there was one. */
    boolean exceedsQuota(int tenant, long now) {
        if (tokens.length == 0) {
            return false;
        }
        double rate = active.settings().tenants().get(tenant).allowancePerSecond() * ownPart();
        double capacity = Math.max(MIN_BURST_REQUESTS, rate * BURST_MICROS / MICROS_PER_SECOND);
        tokens[tenant] = Math.min(capacity, tokens[tenant] + rate * (now - tokensAt[tenant]) / MICROS_PER_SECOND);
        tokensAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    void decay(double keep) {
        for (int i = 0; i < arrivals.length; i++) {
            arrivals[i] *= keep;
        }
    }

    /**
     * This balancer's part of the traffic: even, or more where its median tenant brings more. Traffic is not spread
     * evenly over balancers; one tenant far over its quota must not widen the quotas of all.
     */
    private double ownPart() {
        int balancers = active.settings().balancers();
        double[] ratios = new double[arrivals.length];
        for (int i = 0; i < ratios.length; i++) {
            double even = active.settings().tenants().get(i).allowancePerSecond()
                    / balancers
                    * DecayScale.TIME_CONSTANT_MICROS
                    / MICROS_PER_SECOND;
            ratios[i] = (arrivals[i] + PRIOR_REQUESTS) / (even + PRIOR_REQUESTS);
        }
        Arrays.sort(ratios);
        double median = ratios[(ratios.length - 1) / 2];
        return Math.min(1, Math.max(1, median) / balancers);
    }
}
