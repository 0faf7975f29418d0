package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * The state of one attempt of a request, from the policy's choice of a server until the outcome is known. Does no I/O
 * and reads no clock. To be used on the event loop's thread; times are in µs.
 */
final class ProxyAttempt {
    /** The progress of an attempt. */
    enum State {
        /** The server is chosen; the transport has not accepted the attempt yet. */
        CREATED,
        /** The transport has accepted the attempt. */
        STARTED,
        /** Ended, with an outcome that proves that no server has run the attempt. */
        ENDED_NEVER_RAN,
        /** Ended; a server may have run the attempt. */
        ENDED_MAY_HAVE_RUN
    }

    private static final long NO_RESPONSE = Long.MIN_VALUE;

    private final PendingRequest pending;
    private final int number;
    private final Invariants invariants;
    private State state = State.CREATED;
    private AttemptTransport.Attempt transportAttempt;
    private long startedAtMicros;
    private long timeoutMicros;
    private long beganAtMicros; // the response
    private long progressAtMicros = NO_RESPONSE; // of the response
    private Scheduler.Timer timeoutTimer;
    private Policy.Server chosenServer;
    private long startDeadlineMicros = RepeatGuard.NO_LIMIT;
    private long sendDeadlineMicros = RepeatGuard.NO_LIMIT;
    private Scheduler.Timer sendDeadlineTimer; // null without a deadline
    private Policy.Server sentTo; // null before its first byte
    private long sentAtMicros;

    ProxyAttempt(PendingRequest pending, int number, long startedAtMicros, Invariants invariants) {
        this.pending = pending;
        this.number = number;
        this.startedAtMicros = startedAtMicros;
        this.invariants = invariants;
    }

    // ---------------------------------------------------------------- transitions

    /**
     * Changes from {@code CREATED} to {@code STARTED}, when the transport has accepted the attempt. An attempt that
     * failed within the transport's {@code send} has ended before this call and stays ended.
     */
    void start(AttemptTransport.Attempt handle) {
        if (state == State.CREATED) {
            transportAttempt = handle;
            state = State.STARTED;
        }
    }

    /**
     * Ends the attempt and cancels its timer, when the outcome is known.
     *
     * @param neverRan whether the outcome proves that no server has run the attempt
     */
    void end(boolean neverRan) {
        if (hasEnded()) {
            invariants.violated(Invariants.Violation.ILLEGAL_TRANSITION, pending.clientId());
            return;
        }
        state = neverRan ? State.ENDED_NEVER_RAN : State.ENDED_MAY_HAVE_RUN;
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        if (sendDeadlineTimer != null) {
            sendDeadlineTimer.cancel();
        }
        pending.attemptEnded();
    }

    /**
     * Records that the first byte is sent now, at the earliest; a later call changes nothing.
     *
     * @param server the entry of the attempt's server in the endpoint list at that time
     */
    void markSent(Policy.Server server, long now) {
        if (sentTo == null) {
            sentTo = server;
            sentAtMicros = now;
        }
    }

    /** Measures the latency from {@code now}, when the last byte of the request has been received. */
    void restartLatency(long now) {
        startedAtMicros = now;
    }

    /** Records that bytes of the response have been received at {@code now}; returns whether they are the first. */
    boolean recordResponseProgress(long now) {
        boolean first = !hasResponseBegun();
        if (first) {
            beganAtMicros = now;
        }
        progressAtMicros = now;
        return first;
    }

    // ---------------------------------------------------------------- actions on the transport

    /** Whether a response has begun that may become longer than what is buffered. */
    boolean responseMayBeLong() {
        return state == State.STARTED && transportAttempt.responseMayBeLong();
    }

    /** Ends the attempt with the part of its response that has been received; false if that is not possible. */
    boolean streamPartialResponse() {
        return state == State.STARTED && transportAttempt.streamPartialResponse();
    }

    /** Cancels the attempt in the transport; returns whether a server may have run or may still run the attempt. */
    boolean cancelMayHaveRun() {
        return state == State.STARTED && transportAttempt.cancel() == AttemptTransport.AttemptEffect.MAY_HAVE_RUN;
    }

    /** Withdraws the attempt if the transport has not written it completely; returns whether it was withdrawn. */
    boolean withdraw() {
        return state == State.STARTED && transportAttempt.withdraw();
    }

    // ---------------------------------------------------------------- queries

    boolean hasEnded() {
        return state == State.ENDED_NEVER_RAN || state == State.ENDED_MAY_HAVE_RUN;
    }

    /** Whether the attempt has ended and no server has run or will run it, by proof of the protocol. */
    boolean neverRan() {
        return state == State.ENDED_NEVER_RAN;
    }

    /** Returns the entry of the attempt's server in the endpoint list when the server was chosen. */
    Policy.Server chosenServer() {
        return chosenServer;
    }

    /**
     * Sets the server and the time from which the attempt may not be started.
     *
     * @param newStartDeadlineMicros {@link RepeatGuard#NO_LIMIT} for none
     */
    void choose(Policy.Server server, long newStartDeadlineMicros) {
        chosenServer = server;
        startDeadlineMicros = newStartDeadlineMicros;
    }

    /** Returns the time from which the attempt may not be started. */
    long startDeadlineMicros() {
        return startDeadlineMicros;
    }

    /** Whether the first byte may have been sent. */
    boolean isSent() {
        return sentTo != null;
    }

    /** Returns the entry of the server, in the endpoint list at that time, to which the first byte was sent. */
    Policy.Server sentTo() {
        return sentTo;
    }

    /** Returns the earliest time at which the first byte was sent. */
    long sentAtMicros() {
        return sentAtMicros;
    }

    /** Whether the response has begun, completely received or not. */
    boolean hasResponseBegun() {
        return progressAtMicros != NO_RESPONSE;
    }

    /** Returns the time of the last bytes of a response that has begun. */
    long progressAtMicros() {
        return progressAtMicros;
    }

    /**
     * Returns the latency of an attempt that ends at {@code now}. A short response is timed by its last byte, a long
     * one by its first: how fast the rest comes depends on its length, and on pauses that are no sign of load.
     */
    long latencyMicros(long now, boolean longResponse) {
        return (longResponse && hasResponseBegun() ? beganAtMicros : now) - startedAtMicros;
    }

    /** Returns the request of this attempt. */
    PendingRequest pending() {
        return pending;
    }

    /** Returns the number of this attempt among the attempts of the request, from 0. */
    int number() {
        return number;
    }

    /** Returns the time from which the latency is measured. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /** Returns the max. time to wait for the response. */
    long timeoutMicros() {
        return timeoutMicros;
    }

    void setTimeoutMicros(long newTimeoutMicros) {
        timeoutMicros = newTimeoutMicros;
    }

    void setTimeoutTimer(Scheduler.Timer timer) {
        timeoutTimer = timer;
    }

    /** Returns the time of the timer that withdraws the attempt; {@link RepeatGuard#NO_LIMIT} for none. */
    long sendDeadlineMicros() {
        return sendDeadlineMicros;
    }

    /** Replaces the timer that withdraws the attempt; {@code timer} is null for none. */
    void setSendDeadline(long newSendDeadlineMicros, Scheduler.Timer timer) {
        if (sendDeadlineTimer != null) {
            sendDeadlineTimer.cancel();
        }
        sendDeadlineMicros = newSendDeadlineMicros;
        sendDeadlineTimer = timer;
    }
}
