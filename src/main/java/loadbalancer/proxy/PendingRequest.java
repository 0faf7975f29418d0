package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * The life of one accepted request, from {@link Dispatcher#dispatch} until its response has been written or
 * its client has disconnected, and its last attempt has ended. Holds state only: no I/O and no clock. For the
 * event loop's thread; times in µs.
 */
final class PendingRequest {
    /** How far the request has got. */
    enum State {
        /** Accepted; the policy has not been notified yet. */
        QUEUED,
        /** The policy has been notified, and the final response is pending. */
        ACTIVE,
        /** Responded to, or its client has disconnected, after the policy had been notified. */
        CLOSED,
        /** The same, before the policy had been notified: the policy never hears of this request. */
        CLOSED_UNDISPATCHED
    }

    /** Whether all of the request's body has been received. */
    enum BodyState {
        RECEIVING,
        COMPLETE
    }

    private final String id;
    private final ProxyRequest request;
    private final ResponseWriter response;
    private final int maxAttempts;
    private final Policy.Effect effect;
    private final Invariants invariants;
    private final List<ProxyAttempt> attempts = new ArrayList<>(2);
    private State state = State.QUEUED;
    private BodyState bodyState;
    private int attemptsInFlight;
    private RequestMetrics.Entry metrics;

    // Kept by RequestDeadlines.
    private long deadlineMicros;
    private Scheduler.Timer deadlineTimer;
    private Scheduler.Timer uploadStallTimer;

    /**
     * @param id the balancer's own name for it, unique in the process
     * @param maxAttempts by the settings that it was accepted under
     * @param effect of its class, by the same settings
     */
    PendingRequest(
            String id,
            ProxyRequest request,
            ResponseWriter response,
            int maxAttempts,
            Policy.Effect effect,
            Invariants invariants) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.maxAttempts = maxAttempts;
        this.effect = effect;
        this.invariants = invariants;
        this.bodyState = request.remainingBody() == null ? BodyState.COMPLETE : BodyState.RECEIVING;
    }

    // ---------------------------------------------------------------- transitions

    /** The policy is notified of it now: {@code QUEUED} to {@code ACTIVE}. */
    void activate() {
        if (state == State.QUEUED) {
            state = State.ACTIVE;
        } else {
            invariants.violated(Invariants.Violation.ILLEGAL_TRANSITION, request.id());
        }
    }

    /**
     * No response is pending any more: to {@code CLOSED} or {@code CLOSED_UNDISPATCHED}.
     *
     * @return false where it was closed before, which is counted as a bug
     */
    boolean close() {
        switch (state) {
            case QUEUED -> state = State.CLOSED_UNDISPATCHED;
            case ACTIVE -> state = State.CLOSED;
            case CLOSED, CLOSED_UNDISPATCHED -> {
                invariants.violated(Invariants.Violation.ILLEGAL_TRANSITION, request.id());
                return false;
            }
        }
        return true;
    }

    /** The last byte of its body has been received. */
    void completeBody() {
        bodyState = BodyState.COMPLETE;
    }

    /** Adds an attempt that starts at {@code now}. */
    ProxyAttempt addAttempt(long startedAtMicros) {
        ProxyAttempt attempt = new ProxyAttempt(this, attempts.size(), startedAtMicros, invariants);
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    /** One of its attempts has ended; to be called by that attempt. */
    void attemptEnded() {
        attemptsInFlight--;
    }

    // ---------------------------------------------------------------- queries

    /** Whether it has been responded to, or its client has disconnected. */
    boolean isClosed() {
        return state == State.CLOSED || state == State.CLOSED_UNDISPATCHED;
    }

    /** Whether the policy has been notified of it. */
    boolean isKnownToPolicy() {
        return state == State.ACTIVE || state == State.CLOSED;
    }

    /** Whether nothing more can happen to it. */
    boolean isFinished() {
        return isClosed() && attemptsInFlight == 0;
    }

    /** Whether its body is still being received. */
    boolean isReceivingBody() {
        return bodyState == BodyState.RECEIVING;
    }

    /** Whether an attempt besides {@code attempt} may run or have run although the request must run once only. */
    boolean mayRunTwice(ProxyAttempt attempt) {
        return effect == Policy.Effect.UNSAFE
                && attempts.stream().anyMatch(other -> other != attempt && !other.neverRan());
    }

    /** Whether its limits and its body still allow this attempt. */
    boolean allows(ProxyAttempt attempt) {
        return !isClosed()
                && attempt.number() < maxAttempts
                && (request.remainingBody() == null || !request.remainingBody().hasSubscriber());
    }

    /** The balancer's own name for it, which the policy uses. */
    String id() {
        return id;
    }

    /** What the client asked for. */
    ProxyRequest request() {
        return request;
    }

    /** The client's own name for it, as it is logged. */
    String clientId() {
        return request.id();
    }

    /** Where its one final response goes. */
    ResponseWriter response() {
        return response;
    }

    /** All attempts so far, by number. */
    List<ProxyAttempt> attempts() {
        return attempts;
    }

    /** Attempts that have not ended. */
    int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Its place in the metrics. */
    RequestMetrics.Entry metrics() {
        return metrics;
    }

    void setMetrics(RequestMetrics.Entry entry) {
        metrics = entry;
    }

    // ---------------------------------------------------------------- deadline and timers

    /** When its client stops waiting, by the balancer's clock. */
    long deadlineMicros() {
        return deadlineMicros;
    }

    void setDeadlineMicros(long newDeadlineMicros) {
        deadlineMicros = newDeadlineMicros;
    }

    /** Keeps the timer of its deadline, in place of an earlier one that has fired or been cancelled. */
    void setDeadlineTimer(Scheduler.Timer timer) {
        deadlineTimer = timer;
    }

    void cancelDeadlineTimer() {
        deadlineTimer.cancel();
    }

    /** Keeps the timer that runs while its upstream accepts nothing of its body. */
    void setUploadStallTimer(Scheduler.Timer timer) {
        uploadStallTimer = timer;
    }

    void cancelUploadStallTimer() {
        if (uploadStallTimer != null) {
            uploadStallTimer.cancel();
            uploadStallTimer = null;
        }
    }
}
