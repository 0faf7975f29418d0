package loadbalancer.policy;

/**
 * Which requests are hedged: a request that may be repeated, and has waited longer than nearly all do for such work,
 * gets a second attempt elsewhere. Guards against silence of any cause: lost responses, stalls, connections dropped
 * unseen.
 *
 * <p>Hedged requests draw on the budget of the retries and rest while requests are rejected, so that they can't feed
 * an overload; where all servers slow down at once they might hurt, by the budget's proportion at most. A keyed
 * request goes to the servers that drop repeats, and early: it is given up at its objective, and its client may not
 * resubmit it. A fleet of 60 lost a fifth of its most expensive class to queues that one balancer can't see.
 */
final class HedgingPolicy {
    /** Safe requests are not hedged while servers had no capacity for more than this proportion of the arrivals. */
    private static final double MAX_REJECTED_ATTEMPT_SHARE = 0.02;

    private final RetryBudget retryBudget;
    private final ArrivalRate arrivalRate;
    /** Decaying number of attempts that no server took. */
    private double rejectedAttempts;

    HedgingPolicy(RetryBudget retryBudget, ArrivalRate arrivalRate) {
        this.retryBudget = retryBudget;
        this.arrivalRate = arrivalRate;
    }

    /** Records an attempt that certainly did not run. */
    void recordRejectedAttempt() {
        rejectedAttempts++;
    }

    void decay(double decayFactor) {
        rejectedAttempts *= decayFactor;
    }

    /** Whether servers lack capacity: safe requests are not hedged then. */
    boolean serversLackCapacity() {
        return rejectedAttempts > MAX_REJECTED_ATTEMPT_SHARE * arrivalRate.arrivalCount();
    }

    /** Whether the request should get a second attempt now, if there is a server for it. */
    boolean isDue(RequestState request, boolean serversLackCapacity, long nowMicros) {
        return mayBeHedged(request, serversLackCapacity, nowMicros)
                && nowMicros - lastSentAtMicros(request) >= hedgingDelayMicros(request);
    }

    private boolean mayBeHedged(RequestState request, boolean serversLackCapacity, long nowMicros) {
        return request.attemptsInFlight == 1
                && !request.closed
                && !request.streaming
                && !request.isUnsafe()
                && !(request.isSafe() && serversLackCapacity)
                && nowMicros < request.objectiveAtMicros
                && request.hasAttemptsLeft()
                && request.limits.mayDuplicate()
                && retryBudget.allowsHedge();
    }

    private static long lastSentAtMicros(RequestState request) {
        return request.attempts.get(request.attempts.size() - 1).sentAtMicros;
    }

    private static double hedgingDelayMicros(RequestState request) {
        double expectedMicros = request.classLatency.typicalMicros() * request.relativeWork;
        double spareMicros =
                request.isSafe() ? request.objectiveAtMicros - request.arrivedAtMicros - 2 * expectedMicros : 0;
        return Math.max(expectedMicros, spareMicros);
    }
}
