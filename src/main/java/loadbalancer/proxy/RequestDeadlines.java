package loadbalancer.proxy;

import java.util.List;
import loadbalancer.policy.Policy;

/**
 * Sets the deadlines of requests and the time-outs of attempts, and runs their timers. The listener acts when a timer
 * fires. To be used on the event loop; times are in µs.
 */
final class RequestDeadlines {
    /** A request without a response is failed this long before its client stops waiting. */
    static final long LAST_RESORT_LEAD_MICROS = 6_000;
    /** The last attempt times out this long before the request is failed, so that the policy can choose a response. */
    static final long LAST_ATTEMPT_LEAD_MICROS = 6_000;

    /** Max. time for which an upstream may accept no more bytes of a streamed body although bytes are ready. */
    private static final long UPLOAD_STALL_TIMEOUT_MICROS = 10_000_000;

    /** Is notified when a timer fires. */
    interface Listener {
        /** The client stops waiting soon and has no response. */
        void deadlineReached(PendingRequest pending);

        /** The time-out of this attempt is over; the attempt may have ended before. */
        void attemptTimedOut(ProxyAttempt attempt);

        /** From now on this attempt may not be sent; it may have been sent or have ended before. */
        void sendDeadlineReached(ProxyAttempt attempt);
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

    /**
     * Limits all deadlines that are assigned after this call to the longest one of the classes and {@code slackMicros}
     * from now; the earliest limit of all calls applies. Returns the longest deadline of the classes, in µs.
     */
    long limitDeadlines(List<Policy.RequestClass> classes, long slackMicros) {
        long longestMicros = classes.stream()
                .mapToLong(Policy.RequestClass::deadlineMicros)
                .max()
                .getAsLong();
        latestDeadlineMicros = Math.min(latestDeadlineMicros, clock.now() + longestMicros + slackMicros);
        return longestMicros;
    }

    /** Sets the deadline of a request, counted from the earliest time at which the request may have been readable. */
    void assign(PendingRequest pending) {
        long unreadMicros = Math.max(stallMonitor.maxUnreadMicros(), unreadBodyMicros(pending));
        pending.setDeadlineMicros(
                Math.min(clock.now() + pending.request().timeLeftMicros() - unreadMicros, latestDeadlineMicros));
    }

    // The client may have sent the rest of a body, and count its time, while the body was not read.
    private static long unreadBodyMicros(PendingRequest pending) {
        BodyStream body = pending.request().remainingBody();
        return body == null ? 0 : body.maxUnreadMicros();
    }

    private static long uploadTimeLeftMicros(PendingRequest pending) {
        return pending.request().timeLeftMicros() - unreadBodyMicros(pending);
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
        long timeLeftMicros = uploadTimeLeftMicros(pending);
        boolean uploading = pending.isReceivingBody() && pending.attemptsInFlight() > 0;
        if (uploading && timeLeftMicros > LAST_RESORT_LEAD_MICROS) {
            arm(pending, timeLeftMicros); // the client may not have sent the last byte
        } else {
            listener.deadlineReached(pending);
        }
    }

    /** Cancels the timers of a request that is closed. */
    void cancel(PendingRequest pending) {
        pending.cancelDeadlineTimer();
        pending.cancelUploadStallTimer();
    }

    /**
     * Returns the max. time to wait for the response to an attempt that starts at {@code now}.
     *
     * @param timeoutMicros the time-out that the policy requests, or 0 for none
     */
    long attemptTimeoutMicros(PendingRequest pending, long timeoutMicros, long now) {
        long maxTimeoutMicros = attemptTimeLeftMicros(pending, now);
        return timeoutMicros == 0 ? maxTimeoutMicros : Math.min(timeoutMicros, maxTimeoutMicros);
    }

    /** Returns the time from {@code now} until attempts of the request end at the latest. */
    long attemptTimeLeftMicros(PendingRequest pending, long now) {
        long timeLeftMicros =
                pending.isReceivingBody() ? uploadTimeLeftMicros(pending) : pending.deadlineMicros() - now;
        return timeLeftMicros - LAST_RESORT_LEAD_MICROS - LAST_ATTEMPT_LEAD_MICROS;
    }

    /** Starts the timer of an attempt's time-out. */
    void arm(ProxyAttempt attempt) {
        attempt.setTimeoutTimer(scheduler.schedule(attempt.timeoutMicros(), () -> listener.attemptTimedOut(attempt)));
    }

    /**
     * Starts or moves the timer of the time from which an attempt may not be sent.
     *
     * @param sendDeadlineMicros {@link RepeatGuard#NO_LIMIT} for none, {@link RepeatGuard#NEVER} for at once
     */
    void armSendDeadline(ProxyAttempt attempt, long sendDeadlineMicros) {
        if (sendDeadlineMicros == attempt.sendDeadlineMicros()) {
            return;
        }
        if (sendDeadlineMicros == RepeatGuard.NO_LIMIT) {
            attempt.setSendDeadline(sendDeadlineMicros, null);
            return;
        }
        long now = clock.now();
        long delayMicros = sendDeadlineMicros <= now ? 0 : sendDeadlineMicros - now;
        attempt.setSendDeadline(sendDeadlineMicros, scheduler.schedule(delayMicros, () -> {
            attempt.setSendDeadline(RepeatGuard.NO_LIMIT, null);
            listener.sendDeadlineReached(attempt);
        }));
    }

    /** Observes the streamed body of a request, if it has one, to set the timers that depend on its progress. */
    void trackUpload(StreamedUpload upload, PendingRequest pending) {
        if (upload == null) {
            return;
        }
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

    // While the upstream accepts no more bytes of a streamed body the attempt has not run, and the wait is limited.
    private void setUploadStalled(PendingRequest pending, boolean stalled) {
        pending.cancelUploadStallTimer();
        if (stalled && !pending.isClosed()) {
            pending.setUploadStallTimer(scheduler.schedule(
                    UPLOAD_STALL_TIMEOUT_MICROS,
                    () -> List.copyOf(pending.attempts()).forEach(listener::attemptTimedOut)));
        }
    }

    // The deadline of a request counts from its last byte, and so do the time-outs of its attempts.
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
