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

    private final ActiveSettings activeSettings;
    private final SplittableRandom random;
    /** Decaying number of first submissions of each tenant. */
    private double[] arrivalsByTenant = {};
    /** Requests that each tenant may still bring within its quota, and when they were counted. */
    private double[] tokensByTenant = {};

    private long[] tokensUpdatedAtMicros = {};

    TenantQuotas(ActiveSettings activeSettings, SplittableRandom random) {
        this.activeSettings = activeSettings;
        this.random = random;
    }

    /**
     * Takes the tenants of the active settings over.
     *
     * @param formerTenants for each tenant the number that it had before, or -1 if it is new
     */
    void reload(long nowMicros, List<Integer> formerTenants) {
        double[] formerTokens = tokensByTenant;
        double[] formerArrivals = arrivalsByTenant;
        tokensByTenant = new double[activeSettings.settings().tenants().size()];
        tokensUpdatedAtMicros = new long[tokensByTenant.length];
        arrivalsByTenant = new double[Math.max(1, tokensByTenant.length)];
        Arrays.fill(tokensUpdatedAtMicros, nowMicros);
        for (int i = 0; i < tokensByTenant.length; i++) {
            int former = formerTenants.get(i);
            // Random, as buckets that were all full at once overran the servers at a start.
            tokensByTenant[i] = former < 0 ? MIN_BURST_REQUESTS * random.nextDouble() : formerTokens[former];
            arrivalsByTenant[i] = former < 0 ? 0 : formerArrivals[former];
        }
    }

    /** Starts to fill the buckets at {@code nowMicros}. */
    void start(long nowMicros) {
        Arrays.fill(tokensUpdatedAtMicros, nowMicros);
    }

    void recordArrival(int tenantIndex, boolean resubmission) {
        arrivalsByTenant[tenantIndex] += resubmission ? 0 : 1;
    }

    /** Takes a token for a request; false if there was one. */
    boolean exceedsQuota(int tenantIndex, long nowMicros) {
        if (tokensByTenant.length == 0) {
            return false;
        }
        double rate = activeSettings.settings().tenants().get(tenantIndex).allowancePerSecond() * ownShare();
        double capacity = Math.max(MIN_BURST_REQUESTS, rate * BURST_MICROS / MICROS_PER_SECOND);
        tokensByTenant[tenantIndex] = Math.min(
                capacity,
                tokensByTenant[tenantIndex]
                        + rate * (nowMicros - tokensUpdatedAtMicros[tenantIndex]) / MICROS_PER_SECOND);
        tokensUpdatedAtMicros[tenantIndex] = nowMicros;
        if (tokensByTenant[tenantIndex] < 1) {
            return true;
        }
        tokensByTenant[tenantIndex]--;
        return false;
    }

    void decay(double decayFactor) {
        for (int i = 0; i < arrivalsByTenant.length; i++) {
            arrivalsByTenant[i] *= decayFactor;
        }
    }

    /**
     * This balancer's part of the traffic: even, or more where its median tenant brings more. Traffic is not spread
     * evenly over balancers; one tenant far over its quota must not widen the quotas of all.
     */
    private double ownShare() {
        int balancers = activeSettings.settings().balancers();
        double[] ratios = new double[arrivalsByTenant.length];
        for (int i = 0; i < ratios.length; i++) {
            double evenShareArrivals =
                    activeSettings.settings().tenants().get(i).allowancePerSecond()
                            / balancers
                            * DecayScale.TIME_CONSTANT_MICROS
                            / MICROS_PER_SECOND;
            ratios[i] = (arrivalsByTenant[i] + PRIOR_REQUESTS) / (evenShareArrivals + PRIOR_REQUESTS);
        }
        Arrays.sort(ratios);
        double median = ratios[(ratios.length - 1) / 2];
        return Math.min(1, Math.max(1, median) / balancers);
    }
}
