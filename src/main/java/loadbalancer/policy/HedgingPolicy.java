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
    private static final double MAX_REJECTED_ATTEMPTS = 0.02;

    private final RetryBudget budget;
    private final ArrivalRate arrivals;
    /** Decaying number of attempts that no server took. */
    private double rejectedAttempts;

    HedgingPolicy(RetryBudget budget, ArrivalRate arrivals) {
        this.budget = budget;
        this.arrivals = arrivals;
    }

    /** Records an attempt that certainly did not run. */
    void recordRejectedAttempt() {
        rejectedAttempts++;
    }

    void decay(double keep) {
        rejectedAttempts *= keep;
    }

    /** Whether servers lack capacity: safe requests are not hedged then. */
    boolean isCrowded() {
        return rejectedAttempts > MAX_REJECTED_ATTEMPTS * arrivals.arrivals();
    }

    /** Whether the request should get a second attempt now, if there is a server for it. */
    boolean isDue(RequestState request, boolean crowded, long now) {
        return mayBeHedged(request, crowded, now) && now - lastSentAt(request) >= patienceMicros(request);
    }

    private boolean mayBeHedged(RequestState request, boolean crowded, long now) {
        return request.attemptsInFlight == 1
                && !request.closed
                && !request.streaming
                && !request.isUnsafe()
                && !(request.isSafe() && crowded)
                && now < request.objectiveAt
                && request.hasAttemptsLeft()
                && request.limits.mayDuplicate()
                && budget.allowsHedge();
    }

    private static long lastSentAt(RequestState request) {
        return request.attempts.get(request.attempts.size() - 1).sentAt;
    }

    private static double patienceMicros(RequestState request) {
        double expected = request.latency.typicalMicros() * request.relativeWork;
        double spare = request.isSafe() ? request.objectiveAt - request.arrivedAt - 2 * expected : 0;
        return Math.max(expected, spare);
    }
}
