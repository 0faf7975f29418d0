package loadbalancer.policy;

/**
 * Decides which requests are hedged: a request that may be repeated and has waited longer than nearly all requests of
 * this amount of work gets a second attempt at another server. Guards against missing responses of any cause: lost
 * responses, stalls, connections dropped without notice.
 *
 * <p>Hedged requests draw on the retry budget and are suspended while requests are rejected, so that they can't amplify
 * an overload. Where all servers slow down at once they can add load, limited to the budget's proportion of the
 * requests. A keyed request is hedged at the servers that drop repeats, and early: it is given up at its objective, and
 * its client may not resubmit it. A fleet of 60 lost a fifth of its most expensive class to queues that a single
 * balancer can't see.
 */
final class HedgingPolicy {
    /** Safe requests are not hedged while servers lacked capacity for more than this proportion of the arrivals. */
    private static final double MAX_REJECTED_ATTEMPT_SHARE = 0.02;

    private final RetryBudget retryBudget;
    private final ArrivalRate arrivalRate;
    /** Decaying number of attempts that no server accepted. */
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

    /** Whether servers lack capacity; safe requests are not hedged in that case. */
    boolean serversLackCapacity() {
        return rejectedAttempts > MAX_REJECTED_ATTEMPT_SHARE * arrivalRate.arrivalCount();
    }

    /** Whether the request should get a second attempt now, provided that there is a server for it. */
    boolean isDue(RequestState request, boolean serversLackCapacity, long nowMicros) {
        if (!mayBeHedged(request, serversLackCapacity, nowMicros)) {
            return false;
        }
        AttemptState last = request.attempts.get(request.attempts.size() - 1);
        return nowMicros - last.sentAtMicros >= hedgingDelayMicros(request);
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

    private static double hedgingDelayMicros(RequestState request) {
        double expectedMicros = request.classLatency.typicalMicros() * request.relativeWork;
        double spareMicros =
                request.isSafe() ? request.objectiveAtMicros - request.arrivedAtMicros - 2 * expectedMicros : 0;
        return Math.max(expectedMicros, spareMicros);
    }
}
