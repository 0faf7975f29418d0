package loadbalancer.proxy;

import java.util.List;
import java.util.function.Function;
import loadbalancer.policy.Policy;

/**
 * Executes the attempts that the policy requests: hands them to the transport, cancels or withdraws them, and
 * reports the outcome of each attempt once. Only the transport writes an attempt to a connection, after a check by
 * {@link SendGuard} that uses the result of {@link AttemptTransport.Listener#awaitedUntilMicros} of this class.
 * To be used on the event loop; times are in µs.
 */
final class AttemptExecutor {
    /** Is notified of the outcomes of attempts. */
    interface Listener {
        /** An attempt has ended; {@code response} and {@code load} are null if none was received. */
        void attemptEnded(
                ProxyAttempt attempt,
                Policy.Outcome outcome,
                UpstreamResponse response,
                Policy.Load load,
                long latencyMicros);
    }

    private static final int UNKNOWN = -1; // a server's cell, model or zone

    private final Clock clock;
    private final RequestDeadlines deadlines;
    private final Invariants invariants;
    private final RecentRequestIds recentIds;
    private final Function<String, Policy.Server> endpoints;
    private final Listener listener;
    private AttemptTransport transport;
    private RequestLog requestLog = RequestLog.OFF;
    private boolean forwardingStopped;

    /** Creates an executor; {@code endpoints} returns the present entry of a server in the endpoint list, or null. */
    AttemptExecutor(
            Clock clock,
            RequestDeadlines deadlines,
            Invariants invariants,
            RecentRequestIds recentIds,
            Function<String, Policy.Server> endpoints,
            Listener listener) {
        this.recentIds = recentIds;
        this.endpoints = endpoints;
        this.clock = clock;
        this.deadlines = deadlines;
        this.invariants = invariants;
        this.listener = listener;
    }

    /** Sets the transport; to be called before the first attempt. */
    void attach(AttemptTransport attemptTransport) {
        transport = attemptTransport;
    }

    void setRequestLog(RequestLog log) {
        requestLog = log;
    }

    /** From now on no attempt starts, and none of those that have been chosen is sent. */
    void stopForwarding() {
        forwardingStopped = true;
    }

    boolean isForwardingStopped() {
        return forwardingStopped;
    }

    /**
     * Starts an attempt, or ends it as NOT_SENT if the limits of the request no longer allow it.
     *
     * @param timeoutMicros max. time to wait for the response; 0: as long as the client waits
     * @param startWithinMicros max. time from now until the first byte of the attempt is sent
     */
    void send(PendingRequest pending, String server, long timeoutMicros, long startWithinMicros) {
        long now = clock.now();
        ProxyAttempt attempt = pending.addAttempt(now);
        long responseTimeoutMicros = deadlines.attemptTimeoutMicros(pending, timeoutMicros, now);
        boolean mayStart =
                !forwardingStopped && responseTimeoutMicros > 0 && startWithinMicros > 0 && pending.allows(attempt);
        requestLog.attempt(RequestLog.Event.ATTEMPT_STARTED, pending.clientId(), attempt.number(), server);
        if (!mayStart) {
            end(attempt, Policy.Outcome.NOT_SENT, null, null);
            return;
        }
        attempt.setTimeoutMicros(responseTimeoutMicros);
        // No attempt starts after its response time-out. While a streamed body is received the time-out has not
        // started: it counts from the last byte of the body.
        long effectiveStartWithinMicros =
                pending.isReceivingBody() ? startWithinMicros : Math.min(startWithinMicros, responseTimeoutMicros);
        long startDeadlineMicros =
                effectiveStartWithinMicros < Long.MAX_VALUE - now ? now + effectiveStartWithinMicros : Long.MAX_VALUE;
        if (!pending.isReceivingBody()) {
            deadlines.arm(attempt);
        }
        Policy.Server listed = endpoints.apply(server);
        attempt.choose(
                listed == null ? unknown(server) : listed,
                startWithinMicros < Long.MAX_VALUE ? startDeadlineMicros : RepeatGuard.NO_LIMIT);
        attempt.start(transport.send(
                server, pending.request(), responseTimeoutMicros, startDeadlineMicros, new TransportListener(attempt)));
        updateSendDeadlines(pending);
    }

    /**
     * Updates the timers that withdraw the attempts of a request when they cannot be sent any more. To be called when
     * an attempt has started, is sent or has proved not to have run, and when the endpoint list has changed.
     */
    void updateSendDeadlines(PendingRequest pending) {
        for (ProxyAttempt attempt : pending.attempts()) {
            if (!attempt.hasEnded()) {
                deadlines.armSendDeadline(attempt, sendDeadlineMicros(attempt));
            }
        }
    }

    /**
     * Withdraws an attempt that cannot be sent any more, although its connection is not established, or the upstream
     * has not accepted all of it. A connection that is being established is kept for later requests.
     */
    void withdrawUnsendable(ProxyAttempt attempt) {
        if (attempt.hasEnded()) {
            return;
        }
        if (clock.now() < sendDeadlineMicros(attempt)) { // the timer was early
            updateSendDeadlines(attempt.pending());
        } else if (attempt.withdraw()) {
            requestLog.attempt(
                    RequestLog.Event.ATTEMPT_WITHDRAWN,
                    attempt.pending().clientId(),
                    attempt.number(),
                    "send_deadline");
            end(attempt, Policy.Outcome.NOT_SENT, null, null);
        }
    }

    private long sendDeadlineMicros(ProxyAttempt attempt) {
        long repeatDeadlineMicros = attempt.pending().sendDeadlineMicros(attempt, endpointOf(attempt));
        return attempt.isSent() ? repeatDeadlineMicros : Math.min(repeatDeadlineMicros, attempt.startDeadlineMicros());
    }

    // An upstream that has left the list keeps its group for the grace of its drain.
    private Policy.Server endpointOf(ProxyAttempt attempt) {
        Policy.Server listed = endpoints.apply(attempt.chosenServer().id());
        return listed == null ? attempt.chosenServer() : listed;
    }

    /**
     * Gives up an attempt whose timeout is over, unless its response has begun and is waited for. At the deadline of
     * the request, what has been received of a response that may be long is passed on, and the rest follows as it
     * comes: a response that is replaced while its server writes it is lost, and one that never ends has failed.
     */
    void timeOut(ProxyAttempt attempt) {
        if (attempt.hasEnded()) {
            return;
        }
        PendingRequest pending = attempt.pending();
        if (attempt.hasResponseBegun() && !pending.isClosed()) {
            long now = clock.now();
            long sinceProgressMicros = now - attempt.progressAtMicros();
            long timeLeftMicros = deadlines.attemptTimeLeftMicros(pending, now);
            long extensionMicros = AttemptTimeoutRules.extensionMicros(
                    pending.effect(), attempt.responseMayBeLong(), sinceProgressMicros, timeLeftMicros);
            if (extensionMicros > 0) {
                attempt.setTimeoutMicros(extensionMicros);
                deadlines.arm(attempt);
                return;
            }
            if (timeLeftMicros <= 0 && attempt.streamPartialResponse()) {
                requestLog.attempt(
                        RequestLog.Event.RESPONSE_PARTIAL, pending.clientId(), attempt.number(), sinceProgressMicros);
                return;
            }
        }
        giveUp(attempt, Policy.Outcome.TIMEOUT);
    }

    /**
     * Gives up an attempt, unless it has ended. An attempt that the transport has not accepted has not run; for any
     * other attempt the transport tells whether a server may have run it.
     *
     * @param outcomeIfRan the outcome to report if a server may have run the attempt
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
     * Withdraws the attempts of a closed request that have not been written completely: nothing may be forwarded
     * for a closed request, and an attempt that was not sent needs no cancellation. Attempts that were sent are left
     * to the policy, which cancels them if the settings allow it.
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
            return; // the transport may report an outcome after a time-out or a cancellation
        }
        attempt.end(outcome.neverRan());
        boolean continuesAsStream = response != null && response.remainingBody() != null;
        long latencyMicros = attempt.latencyMicros(clock.now(), continuesAsStream);
        requestLog.attempt(RequestLog.Event.ATTEMPT_ENDED, attempt.pending().clientId(), attempt.number(), outcome);
        updateSendDeadlines(attempt.pending()); // one that never ran limits the others no longer
        listener.attemptEnded(attempt, outcome, response, load, latencyMicros);
    }

    private static Policy.Server unknown(String server) {
        return new Policy.Server(server, Policy.State.GONE, 0, 0, UNKNOWN, UNKNOWN, UNKNOWN);
    }

    /** Receives the transport's reports on one attempt, and its check before the attempt's first byte. */
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
            if (attempt.hasEnded() || forwardingStopped) {
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
            long repeatUntilMicros = pending.sendDeadlineMicros(attempt, endpointOf(attempt));
            if (readAtMicros >= repeatUntilMicros) {
                requestLog.attempt(
                        RequestLog.Event.ATTEMPT_REFUSED, pending.clientId(), attempt.number(), "repeat_not_dropped");
                return SendGuard.NOT_AWAITED;
            }
            long timeLeftMicros = deadlines.attemptTimeLeftMicros(pending, readAtMicros);
            if (timeLeftMicros <= 0) { // an upload may have taken up its time since its first byte was sent
                requestLog.attempt(RequestLog.Event.ATTEMPT_REFUSED, pending.clientId(), attempt.number(), "deadline");
                return SendGuard.NOT_AWAITED;
            }
            return Math.min(
                    SendGuard.awaitedUntilMicros(readAtMicros),
                    Math.min(repeatUntilMicros, readAtMicros + timeLeftMicros));
        }

        @Override
        public void sending() {
            long now = clock.now();
            attempt.markSent(endpointOf(attempt), now);
            updateSendDeadlines(pending);
            if (pending.effect() != Policy.Effect.SAFE) {
                recentIds.add(pending.clientId(), now);
            }
            logWithElapsedTime(RequestLog.Event.ATTEMPT_SENT);
        }

        // The time-out of an upload begins with its last byte.
        @Override
        public long responseTimeLeftMicros() {
            long now = clock.now();
            return pending.isReceivingBody()
                    ? Math.min(attempt.timeoutMicros(), deadlines.attemptTimeLeftMicros(pending, now))
                    : attempt.startedAtMicros() + attempt.timeoutMicros() - now;
        }

        @Override
        public void responseProgress() {
            if (attempt.recordResponseProgress(clock.now())) {
                logWithElapsedTime(RequestLog.Event.RESPONSE_BEGUN);
            }
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
