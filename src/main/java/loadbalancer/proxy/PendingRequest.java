package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * The state of one accepted request, from {@link Dispatcher#dispatch} until the response has been written or the
 * client has disconnected, and the last attempt has ended. Does no I/O and reads no clock. To be used on the event
 * loop's thread; times are in µs.
 */
final class PendingRequest {
    /** The progress of a request. */
    enum State {
        /** Accepted; the policy has not been notified yet. */
        QUEUED,
        /** The policy has been notified, and the final response is pending. */
        ACTIVE,
        /** After the policy was notified, the response was sent or the client disconnected. */
        CLOSED,
        /** The request was closed before the policy was notified; the policy is never notified of this request. */
        CLOSED_UNDISPATCHED
    }

    /** The progress of the receipt of the request's body. */
    enum BodyState {
        RECEIVING,
        COMPLETE
    }

    private final String id;
    private final ProxyRequest request;
    private final ResponseWriter response;
    private final int maxAttempts;
    private final Policy.RequestClass requestClass;
    private final Invariants invariants;
    private final List<ProxyAttempt> attempts = new ArrayList<>(2);
    private State state = State.QUEUED;
    private BodyState bodyState;
    private int attemptsInFlight;
    private RequestMetrics.Entry metrics;

    // Managed by RequestDeadlines.
    private long deadlineMicros;
    private Scheduler.Timer deadlineTimer;
    private Scheduler.Timer uploadStallTimer;

    /**
     * @param id the balancer's internal id of the request, unique in the process
     * @param maxAttempts the limit by the settings under which the request was accepted
     * @param requestClass the request's class, by the same settings
     */
    PendingRequest(
            String id,
            ProxyRequest request,
            ResponseWriter response,
            int maxAttempts,
            Policy.RequestClass requestClass,
            Invariants invariants) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.maxAttempts = maxAttempts;
        this.requestClass = requestClass;
        this.invariants = invariants;
        this.bodyState = request.remainingBody() == null ? BodyState.COMPLETE : BodyState.RECEIVING;
    }

    // ---------------------------------------------------------------- transitions

    /** Changes from {@code QUEUED} to {@code ACTIVE}, when the policy is notified of the request. */
    void activate() {
        if (state == State.QUEUED) {
            state = State.ACTIVE;
        } else {
            invariants.violated(Invariants.Violation.ILLEGAL_TRANSITION, request.id());
        }
    }

    /**
     * Changes to {@code CLOSED} or {@code CLOSED_UNDISPATCHED}, when no response is pending any more.
     *
     * @return false if the request was closed before, which is counted as a violated invariant
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

    /** Records that the last byte of the body has been received. */
    void completeBody() {
        bodyState = BodyState.COMPLETE;
    }

    /** Adds an attempt that starts at {@code startedAtMicros}. */
    ProxyAttempt addAttempt(long startedAtMicros) {
        ProxyAttempt attempt = new ProxyAttempt(this, attempts.size(), startedAtMicros, invariants);
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    /** Records the end of an attempt; to be called by that attempt. */
    void attemptEnded() {
        attemptsInFlight--;
    }

    // ---------------------------------------------------------------- queries

    /** Whether the response was sent or the client has disconnected. */
    boolean isClosed() {
        return state == State.CLOSED || state == State.CLOSED_UNDISPATCHED;
    }

    /** Whether the policy has been notified of the request. */
    boolean isKnownToPolicy() {
        return state == State.ACTIVE || state == State.CLOSED;
    }

    /** Whether the request is closed and all attempts have ended. */
    boolean isFinished() {
        return isClosed() && attemptsInFlight == 0;
    }

    /** Whether the body is still being received. */
    boolean isReceivingBody() {
        return bodyState == BodyState.RECEIVING;
    }

    /** Whether the request must run only once and an attempt other than {@code attempt} may run or have run. */
    boolean mayRunTwice(ProxyAttempt attempt) {
        return effect() == Policy.Effect.UNSAFE
                && attempts.stream().anyMatch(other -> other != attempt && !other.neverRan());
    }

    /** Whether the attempts that have not ended have not been sent either. */
    boolean awaitsConnection() {
        return attempts.stream().noneMatch(attempt -> attempt.isSent() && !attempt.hasEnded());
    }

    /** Whether a server may have run an attempt. */
    boolean mayHaveRun() {
        return !attempts.stream().allMatch(ProxyAttempt::neverRan);
    }

    /**
     * Whether {@code attempt} may start: the request is open, the attempt is within the limit, and no earlier attempt
     * has subscribed to a streamed body.
     */
    boolean allows(ProxyAttempt attempt) {
        return !isClosed()
                && attempt.number() < maxAttempts
                && (request.remainingBody() == null || !request.remainingBody().hasSubscriber());
    }

    /** Returns the effect of the request's class. */
    Policy.Effect effect() {
        return requestClass.effect();
    }

    /**
     * Returns the time from which {@code attempt}, to {@code server}, may not be sent: see {@link RepeatGuard}. An
     * attempt whose streamed body another one has taken may not be sent at all.
     */
    long sendDeadlineMicros(ProxyAttempt attempt, Policy.Server server) {
        if (!attempt.isSent()
                && request.remainingBody() != null
                && request.remainingBody().hasSubscriber()) {
            return RepeatGuard.NEVER;
        }
        return RepeatGuard.sendDeadlineMicros(requestClass, attempts, attempt, server);
    }

    /** Returns the balancer's internal id of the request, which the policy uses. */
    String id() {
        return id;
    }

    ProxyRequest request() {
        return request;
    }

    /** Returns the id that the client assigned to the request; used in logs. */
    String clientId() {
        return request.id();
    }

    /** Returns the writer of the one final response. */
    ResponseWriter response() {
        return response;
    }

    /** Returns all attempts so far, indexed by their numbers. */
    List<ProxyAttempt> attempts() {
        return attempts;
    }

    /** Returns the number of attempts that have not ended. */
    int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Returns the entry of the request in the metrics. */
    RequestMetrics.Entry metrics() {
        return metrics;
    }

    void setMetrics(RequestMetrics.Entry entry) {
        metrics = entry;
    }

    // ---------------------------------------------------------------- deadline and timers

    /** Returns the time when the client stops waiting, by the balancer's clock. */
    long deadlineMicros() {
        return deadlineMicros;
    }

    void setDeadlineMicros(long newDeadlineMicros) {
        deadlineMicros = newDeadlineMicros;
    }

    /** Sets the timer of the deadline; an earlier timer has fired or been cancelled before. */
    void setDeadlineTimer(Scheduler.Timer timer) {
        deadlineTimer = timer;
    }

    void cancelDeadlineTimer() {
        deadlineTimer.cancel();
    }

    /** Sets the timer that runs while the upstream accepts no more bytes of the body. */
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
