package loadbalancer.policy;

/** Determines how long an attempt may take. */
final class TimeoutPolicy {
    /** No timeout except the request's deadline. */
    static final long NONE = 0;
    /**
     * A request is given up at its objective if its class's late responses earn less than this proportion of its worth.
     */
    private static final double MIN_LATE_SHARE = 0.5;
    /**
     * Minimum time, as a multiple of the typical latency, that an attempt gets before another one is sent in its place.
     */
    private static final double MIN_LATENCIES = 3;

    private TimeoutPolicy() {}

    /**
     * The timeout of an attempt that is sent now, in microseconds, or {@link #NONE}. The request's list of attempts
     * includes the attempt already.
     *
     * <p>A request that is not safe to repeat is given up at its objective where a late response earns little: its
     * client won't resubmit it, and dropping its queued work frees capacity for work that can be in time. A safe
     * request would be resubmitted; its attempt ends early enough for another one where hedged requests are forbidden,
     * and has no timeout otherwise.
     */
    static long timeoutMicros(RequestState request, long nowMicros) {
        if (request.requestClass.streamed()) {
            return NONE;
        }
        if (!request.isSafe()) {
            boolean endsAtObjective =
                    request.requestClass.lateShare() < MIN_LATE_SHARE && request.objectiveAtMicros > nowMicros;
            return endsAtObjective ? request.objectiveAtMicros - nowMicros : NONE;
        }
        if (request.limits.mayDuplicate() || !request.hasAttemptsLeft()) {
            return NONE;
        }
        long timeLeftMicros = request.deadlineAtMicros - nowMicros;
        long attemptTimeoutMicros =
                Math.max(timeLeftMicros / 2, (long) (MIN_LATENCIES * request.classLatency.typicalMicros()));
        return Math.max(1, Math.min(timeLeftMicros, attemptTimeoutMicros));
    }
}
