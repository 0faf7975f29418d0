package loadbalancer.policy;

/**
 * Bounds retries after failures that may have run, and hedged requests, to a proportion of the requests. Guards
 * against retries that multiply an overload.
 */
final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final double MAX_RETRIES = 10;
    /** What hedged requests leave of the budget to retries. */
    private static final double RESERVED_FOR_RETRIES = 4;

    private double availableRetries = MAX_RETRIES;

    void recordRequest() {
        availableRetries = Math.min(MAX_RETRIES, availableRetries + RETRIES_PER_REQUEST);
    }

    boolean allowsRetry() {
        return availableRetries >= 1;
    }

    boolean allowsHedge() {
        return availableRetries >= RESERVED_FOR_RETRIES;
    }

    void consume() {
        availableRetries--;
    }
}
