package loadbalancer.proxy;

import java.util.List;

/**
 * The deadlines of requests and the time-outs of attempts, with their timers. Decides when; what is done then
 * is its listener's. On the event loop; times in µs.
 */
final class RequestDeadlines {
    /** How long before its client stops waiting a request without a response is failed. */
    static final long LAST_RESORT_LEAD_MICROS = 6_000;
    /** How long before that the last attempt times out, so that the policy can choose the response itself. */
    static final long LAST_ATTEMPT_LEAD_MICROS = 6_000;

    /** How long an upstream may accept nothing of a long body that is ready for it. */
    private static final long UPLOAD_STALL_TIMEOUT_MICROS = 10_000_000;

    /** What happens when a timer fires. */
    interface Listener {
        /** The client stops waiting soon, and has no response. */
        void deadlineReached(PendingRequest pending);

        /** The response to this attempt is not waited for any longer; it may have ended already. */
        void attemptTimedOut(ProxyAttempt attempt);
    }

    private final Scheduler scheduler;
    private final Clock clock;
    private final EventLoopStallMonitor stallMonitor;
    private final Listener listener;
    private long latestDeadlineMicros = Long.MAX_VALUE; // during shutdown, no response may be later

    RequestDeadlines(Scheduler scheduler, Clock clock, EventLoopStallMonitor stallMonitor, Listener listener) {
        this.scheduler = scheduler;
        this.clock = clock;
        this.stallMonitor = stallMonitor;
        this.listener = listener;
    }

    /** From here on no request gets a deadline behind {@code latestMicros}; the earliest such time holds. */
    void limitDeadlines(long latestMicros) {
        latestDeadlineMicros = Math.min(latestDeadlineMicros, latestMicros);
    }

    /** Sets the deadline of a request, which counts from when it may have become readable. */
    void assign(PendingRequest pending) {
        long timeLeftMicros = pending.request().timeLeftMicros();
        pending.setDeadlineMicros(
                Math.min(clock.now() + timeLeftMicros - stallMonitor.maxUnreadMicros(), latestDeadlineMicros));
    }

    /** Starts the timer of a request's deadline. */
    void arm(PendingRequest pending) {
        arm(pending, pending.deadlineMicros() - clock.now());
    }

    private void arm(PendingRequest pending, long timeLeftMicros) {
        long delayMicros = Math.max(0, timeLeftMicros - LAST_RESORT_LEAD_MICROS);
        pending.setDeadlineTimer(scheduler.schedule(delayMicros, () -> expire(pending)));
    }

    private void expire(PendingRequest pending) {
        if (pending.isReceivingBody() && pending.attemptsInFlight() > 0) {
            arm(pending, pending.request().timeLeftMicros()); // being forwarded: its time has not begun
        } else {
            listener.deadlineReached(pending);
        }
    }

    /** Ends the timers of a request that is closed. */
    void cancel(PendingRequest pending) {
        pending.cancelDeadlineTimer();
        pending.cancelUploadStallTimer();
    }

    /**
     * How long an attempt that starts at {@code now} is waited for; {@code timeoutMicros}: the policy's, 0 for none.
     */
    long attemptTimeoutMicros(PendingRequest pending, long timeoutMicros, long now) {
        long timeLeftMicros =
                pending.isReceivingBody() ? pending.request().timeLeftMicros() : pending.deadlineMicros() - now;
        long maxTimeoutMicros = timeLeftMicros - LAST_RESORT_LEAD_MICROS - LAST_ATTEMPT_LEAD_MICROS;
        return timeoutMicros == 0 ? maxTimeoutMicros : Math.min(timeoutMicros, maxTimeoutMicros);
    }

    /** Starts the timer of an attempt's time-out. */
    void arm(ProxyAttempt attempt) {
        attempt.setTimeoutTimer(scheduler.schedule(attempt.timeoutMicros(), () -> listener.attemptTimedOut(attempt)));
    }

    /** Notifies of what happens to a request's streamed body from here on. */
    void trackUpload(StreamedUpload upload, PendingRequest pending) {
        upload.setListener(new StreamedUpload.Listener() {
            @Override
            public void uploadComplete() {
                bodyComplete(pending);
            }

            @Override
            public void uploadStalled(boolean stalled) {
                setUploadStalled(pending, stalled);
            }
        });
    }

    // While its upstream accepts no more of a long body the attempt has not run; it is not waited for for ever.
    private void setUploadStalled(PendingRequest pending, boolean stalled) {
        pending.cancelUploadStallTimer();
        if (stalled && !pending.isClosed()) {
            pending.setUploadStallTimer(scheduler.schedule(
                    UPLOAD_STALL_TIMEOUT_MICROS,
                    () -> List.copyOf(pending.attempts()).forEach(listener::attemptTimedOut)));
        }
    }

    // The time of a request counts from its last byte, and so do the time-outs of its attempts.
    private void bodyComplete(PendingRequest pending) {
        pending.completeBody();
        pending.cancelUploadStallTimer();
        if (pending.isClosed()) {
            return;
        }
        pending.cancelDeadlineTimer();
        assign(pending);
        arm(pending);
        for (ProxyAttempt attempt : pending.attempts()) {
            if (!attempt.hasEnded()) {
                attempt.restartLatency(clock.now());
                arm(attempt);
            }
        }
    }
}
