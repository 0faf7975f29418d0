package loadbalancer.policy;

/** How long an attempt may take. */
final class TimeoutPolicy {
    /** No time-out but the request's deadline. */
    static final long NONE = 0;
    /** A class whose late responses earn less than this part of its worth is given up at its objective. */
    private static final double MIN_LATE_SHARE = 0.5;
    /** Typical latencies that an attempt gets at least before another one is tried in its place. */
    private static final double MIN_LATENCIES = 3;

    private TimeoutPolicy() {}

    /**
     * The time-out of an attempt that is sent now, in microseconds, or {@link #NONE}. The attempt is among those of the
     * request already.
     *
     * <p>A request that is not safe to repeat is given up at its objective where a late response earns little: its
     * client won't resubmit it, and waiting work dropped then frees capacity for work that can be in time. A safe one
     * would be resubmitted; it leaves time for another attempt where hedged requests are forbidden, and is not cut
     * otherwise.
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
