package loadbalancer.proxy;

/**
 * The life of one attempt of a request: from the policy's choice of a server until its outcome is known.
 * Holds state only: no I/O and no clock. For the event loop's thread; times in µs.
 */
final class ProxyAttempt {
    /** How far the attempt has got. */
    enum State {
        /** Chosen; the transport has not taken it over. */
        CREATED,
        /** The transport has taken it over. */
        STARTED,
        /** Ended, and its outcome proves that no server has run it. */
        ENDED_NEVER_RAN,
        /** Ended; a server may have run it. */
        ENDED_MAY_HAVE_RUN
    }

    private final PendingRequest pending;
    private final int number;
    private final Invariants invariants;
    private State state = State.CREATED;
    private AttemptTransport.Attempt transportAttempt;
    private long startedAtMicros;
    private long timeoutMicros;
    private Scheduler.Timer timeoutTimer;

    ProxyAttempt(PendingRequest pending, int number, long startedAtMicros, Invariants invariants) {
        this.pending = pending;
        this.number = number;
        this.startedAtMicros = startedAtMicros;
        this.invariants = invariants;
    }

    // ---------------------------------------------------------------- transitions

    /**
     * The transport has taken it over: {@code CREATED} to {@code STARTED}. An attempt that failed within the
     * transport's {@code send} has ended by then, and stays so.
     */
    void start(AttemptTransport.Attempt handle) {
        if (state == State.CREATED) {
            transportAttempt = handle;
            state = State.STARTED;
        }
    }

    /**
     * Its outcome is known; ends its timer.
     *
     * @param neverRan whether the outcome proves that no server has run it
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
        pending.attemptEnded();
    }

    /** Its latency counts from {@code now}: the last byte of the request has been received. */
    void restartLatency(long now) {
        startedAtMicros = now;
    }

    // ---------------------------------------------------------------- actions on the transport

    /** Cancels it in the transport, if that has it; whether a server may run it all the same. */
    boolean cancelMayHaveRun() {
        return state == State.STARTED && transportAttempt.cancel() == AttemptTransport.AttemptEffect.MAY_HAVE_RUN;
    }

    /** Withdraws it from the transport where that has it, and has not written it completely. */
    boolean withdraw() {
        return state == State.STARTED && transportAttempt.withdraw();
    }

    // ---------------------------------------------------------------- queries

    boolean hasEnded() {
        return state == State.ENDED_NEVER_RAN || state == State.ENDED_MAY_HAVE_RUN;
    }

    /** Whether it is proven that no server has run it, nor will. */
    boolean neverRan() {
        return state == State.ENDED_NEVER_RAN;
    }

    /** The request that it belongs to. */
    PendingRequest pending() {
        return pending;
    }

    /** Its number among the attempts of its request, from 0. */
    int number() {
        return number;
    }

    /** From when its latency counts. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /** How long its response is waited for. */
    long timeoutMicros() {
        return timeoutMicros;
    }

    void setTimeoutMicros(long newTimeoutMicros) {
        timeoutMicros = newTimeoutMicros;
    }

    void setTimeoutTimer(Scheduler.Timer timer) {
        timeoutTimer = timer;
    }
}
