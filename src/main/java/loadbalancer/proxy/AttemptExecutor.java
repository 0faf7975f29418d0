package loadbalancer.proxy;

import java.util.List;
import loadbalancer.policy.Policy;

/**
 * Carries out the policy's attempts: starts them at the transport, gives them up, withdraws them, and reports
 * each one's outcome once. An attempt is begun by the transport only, behind the {@link SendGuard}, which asks
 * {@link AttemptTransport.Listener#awaitedUntilMicros} here. On the event loop; times in µs.
 */
final class AttemptExecutor {
    /** Whom it notifies of outcomes. */
    interface Listener {
        /** An attempt has ended; {@code response} and {@code load} are null where none was received. */
        void attemptEnded(
                ProxyAttempt attempt,
                Policy.Outcome outcome,
                UpstreamResponse response,
                Policy.Load load,
                long latencyMicros);
    }

    private final Clock clock;
    private final RequestDeadlines deadlines;
    private final Invariants invariants;
    private final Listener listener;
    private AttemptTransport transport;
    private RequestLog requestLog = RequestLog.OFF;

    AttemptExecutor(Clock clock, RequestDeadlines deadlines, Invariants invariants, Listener listener) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.invariants = invariants;
        this.listener = listener;
    }

    /** To be called before the first attempt. */
    void attach(AttemptTransport attemptTransport) {
        transport = attemptTransport;
    }

    void setRequestLog(RequestLog log) {
        requestLog = log;
    }

    /**
     * Starts an attempt, or ends it as not sent where it is not allowed any more.
     *
     * @param timeoutMicros how long its response is waited for; 0: as long as the client waits
     * @param startWithinMicros from now on, it may begin for so long
     */
    void send(PendingRequest pending, String server, long timeoutMicros, long startWithinMicros) {
        long now = clock.now();
        ProxyAttempt attempt = pending.addAttempt(now);
        long responseTimeoutMicros = deadlines.attemptTimeoutMicros(pending, timeoutMicros, now);
        boolean mayStart = responseTimeoutMicros > 0 && startWithinMicros > 0 && pending.allows(attempt);
        requestLog.attempt(RequestLog.Event.ATTEMPT_STARTED, pending.clientId(), attempt.number(), server);
        if (!mayStart) {
            end(attempt, Policy.Outcome.NOT_SENT, null, null);
            return;
        }
        attempt.setTimeoutMicros(responseTimeoutMicros);
        // It is not begun once nobody waits for it; the time of a long body begins when it has been received.
        long effectiveStartWithinMicros =
                pending.isReceivingBody() ? startWithinMicros : Math.min(startWithinMicros, responseTimeoutMicros);
        long startDeadlineMicros =
                effectiveStartWithinMicros < Long.MAX_VALUE - now ? now + effectiveStartWithinMicros : Long.MAX_VALUE;
        if (!pending.isReceivingBody()) {
            deadlines.arm(attempt);
        }
        attempt.start(transport.send(
                server, pending.request(), responseTimeoutMicros, startDeadlineMicros, new TransportListener(attempt)));
    }

    /**
     * Gives an attempt up, unless it has ended. What the transport has not taken over has not run; of all else
     * the transport says whether it may have.
     *
     * @param outcomeIfRan its outcome where a server may have run it
     */
    void giveUp(ProxyAttempt attempt, Policy.Outcome outcomeIfRan) {
        if (!attempt.hasEnded()) {
            requestLog.attempt(
                    RequestLog.Event.ATTEMPT_GIVEN_UP, attempt.pending().clientId(), attempt.number(), outcomeIfRan);
            boolean mayHaveRun = attempt.cancelMayHaveRun();
            end(attempt, mayHaveRun ? outcomeIfRan : Policy.Outcome.NOT_SENT, null, null);
        }
    }

    /**
     * Withdraws the attempts of a closed request that have not been written completely: nothing is forwarded
     * for it any more, and they need no cancellation. The others are left to the policy, which cancels them
     * where the settings allow it.
     */
    void withdrawUnsent(PendingRequest pending) {
        for (ProxyAttempt attempt : List.copyOf(pending.attempts())) {
            if (attempt.withdraw()) {
                requestLog.attempt(RequestLog.Event.ATTEMPT_WITHDRAWN, pending.clientId(), attempt.number(), "unsent");
                end(attempt, Policy.Outcome.NOT_SENT, null, null);
            }
        }
    }

    private void end(ProxyAttempt attempt, Policy.Outcome outcome, UpstreamResponse response, Policy.Load load) {
        if (attempt.hasEnded()) {
            return; // a second outcome is ignored: it may follow a time-out or a cancellation
        }
        attempt.end(outcome.neverRan());
        long latencyMicros = clock.now() - attempt.startedAtMicros();
        requestLog.attempt(RequestLog.Event.ATTEMPT_ENDED, attempt.pending().clientId(), attempt.number(), outcome);
        listener.attemptEnded(attempt, outcome, response, load, latencyMicros);
    }

    /** What the transport reports of an attempt, and asks before it begins it. */
    private final class TransportListener implements AttemptTransport.Listener {
        private final ProxyAttempt attempt;
        private final PendingRequest pending;

        TransportListener(ProxyAttempt attempt) {
            this.attempt = attempt;
            this.pending = attempt.pending();
        }

        @Override
        public void ended(Policy.Outcome outcome, UpstreamResponse response, Policy.Load load) {
            end(attempt, outcome, response, load);
        }

        @Override
        public long awaitedUntilMicros() {
            long readAtMicros = clock.now();
            pending.response().readConnection();
            if (attempt.hasEnded()) {
                return SendGuard.NOT_AWAITED;
            }
            if (pending.isClosed()) {
                invariants.violated(Invariants.Violation.SEND_AFTER_END, pending.clientId());
                return SendGuard.NOT_AWAITED;
            }
            if (pending.mayRunTwice(attempt)) {
                invariants.violated(Invariants.Violation.SECOND_RUN, pending.clientId());
                return SendGuard.NOT_AWAITED;
            }
            logWithElapsedTime(RequestLog.Event.ATTEMPT_SENT);
            return SendGuard.awaitedUntilMicros(readAtMicros);
        }

        @Override
        public void sendDelayed() {
            logWithElapsedTime(RequestLog.Event.ATTEMPT_HELD_UP);
        }

        private void logWithElapsedTime(RequestLog.Event event) {
            requestLog.attempt(event, pending.clientId(), attempt.number(), clock.now() - attempt.startedAtMicros());
        }
    }
}
