package loadbalancer.proxy;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.policy.Policy;

/**
 * Gives each request its one final response (rule 1), and releases what a closed request still holds: its timers and
 * the attempts that have not been sent. To be used on the event loop.
 */
final class FinalResponses {
    private static final long NO_RETRY_AFTER = 0;

    private final Clock clock;
    private final RequestTable requests;
    private final RequestDeadlines deadlines;
    private final AttemptExecutor attempts;
    private final RequestMetrics metrics;
    private final LastResortResponses lastResortResponses;
    private final Consumer<PendingRequest> policyOfDisconnect;
    private RequestLog requestLog = RequestLog.OFF;

    /**
     * Creates the writer of the final responses of one dispatcher.
     *
     * @param policyOfDisconnect notifies the policy of a request that needs no response from it any more
     */
    FinalResponses(
            Clock clock,
            RequestTable requests,
            RequestDeadlines deadlines,
            AttemptExecutor attempts,
            RequestMetrics metrics,
            LastResortResponses lastResortResponses,
            Consumer<PendingRequest> policyOfDisconnect) {
        this.clock = clock;
        this.requests = requests;
        this.deadlines = deadlines;
        this.attempts = attempts;
        this.metrics = metrics;
        this.lastResortResponses = lastResortResponses;
        this.policyOfDisconnect = policyOfDisconnect;
    }

    void setRequestLog(RequestLog log) {
        requestLog = log;
    }

    /** Returns the number of requests that were failed because nobody else had responded in time. */
    long lastResortCount() {
        return lastResortResponses.count();
    }

    /** Forwards the response to an attempt of an open request. */
    void serve(ProxyAttempt attempt, UpstreamResponse response) {
        PendingRequest pending = attempt.pending();
        close(pending);
        requestLog.request(RequestLog.Event.RESPONSE_SERVED, pending.clientId(), attempt.number());
        metrics.served(
                pending.metrics(), pending.request().timeLeftMicros() - (pending.deadlineMicros() - clock.now()));
        pending.response().serve(response);
    }

    /** Rejects an open request; {@code retryAfterMicros} is 0 if no delay is advised. */
    void reject(PendingRequest pending, long retryAfterMicros) {
        close(pending);
        metrics.rejected();
        requestLog.request(RequestLog.Event.RESPONSE_REFUSED, pending.clientId(), retryAfterMicros);
        pending.response().reject(retryAfterMicros);
        releaseAttempts(pending);
    }

    /** Fails an open request; {@code reason} is logged. */
    void fail(PendingRequest pending, String reason) {
        close(pending);
        metrics.failed();
        requestLog.request(RequestLog.Event.RESPONSE_FAILED, pending.clientId(), reason);
        pending.response().fail();
        releaseAttempts(pending);
    }

    /** Responds to a request that is forwarded no more, unless it is closed or has an attempt under way. */
    void endUnforwarded(PendingRequest pending) {
        if (pending.isClosed() || pending.attemptsInFlight() > 0) {
            return;
        }
        if (pending.mayHaveRun()) {
            fail(pending, "forwarding_stopped");
        } else {
            reject(pending, NO_RETRY_AFTER);
        }
        notifyPolicy(pending);
    }

    /**
     * Fails a request, unless it is closed, while its client still waits: the policy has requested no response, or has
     * thrown.
     */
    void failAsLastResort(PendingRequest pending) {
        if (!pending.isClosed()) {
            lastResortResponses.record();
            close(pending);
            metrics.failed();
            requestLog.request(RequestLog.Event.RESPONSE_FAILED, pending.clientId(), "last_resort");
            pending.response().fail();
            notifyPolicy(pending);
            List.copyOf(pending.attempts()).forEach(a -> attempts.giveUp(a, Policy.Outcome.CANCELLED));
            requests.removeIfFinished(pending, clock.now());
        }
    }

    /** Closes a request, unless it is closed, whose client has disconnected and gets no response. */
    void clientDisconnected(PendingRequest pending) {
        if (!pending.isClosed()) {
            close(pending);
            metrics.clientDisconnected();
            requestLog.request(RequestLog.Event.CLIENT_CLOSED, pending.clientId(), pending.attemptsInFlight());
            notifyPolicy(pending);
            releaseAttempts(pending);
        }
    }

    /** Withdraws the attempts of a closed request that have not been sent, and forgets it if it is finished. */
    void releaseAttempts(PendingRequest closed) {
        attempts.withdrawUnsent(closed);
        requests.removeIfFinished(closed, clock.now());
    }

    private void notifyPolicy(PendingRequest pending) {
        if (pending.isKnownToPolicy()) {
            policyOfDisconnect.accept(pending);
        }
    }

    private void close(PendingRequest pending) {
        if (pending.close()) {
            deadlines.cancel(pending);
            requests.responseDone();
        }
    }
}
