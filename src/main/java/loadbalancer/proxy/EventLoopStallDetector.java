package loadbalancer.proxy;

import java.util.PriorityQueue;

/**
 * Derives from late timers for how long the event loop has been stalled. While a timer is overdue, the sockets have
 * not been polled either, so that data read now may have been in a socket since the timer was due. Prevents
 * responses that are in time by the balancer's clock but too late by the client's clock, and attempts that are based
 * on an outdated endpoint list while an update is unread. Does no I/O and reads no clock; times are in µs of one
 * clock. Not thread-safe.
 */
final class EventLoopStallDetector {
    /** Time between two heartbeats of the event loop, and therefore the precision of the detection. */
    static final long HEARTBEAT_MICROS = 20_000;

    private static final long STALE_LIST_MICROS = 100_000; // after a longer stall the list may have changed
    private static final long REPORT_MIN_MICROS = 200_000; // shorter stalls are not logged
    private static final long REPORT_INTERVAL_MICROS = 5_000_000;

    private static final long NEVER_POLLED = Long.MAX_VALUE;

    private final PriorityQueue<Long> expectedTimersMicros = new PriorityQueue<>();
    private long reportedAtMicros = Long.MIN_VALUE / 2;
    private long lastPollStartMicros = NEVER_POLLED;

    /** Records that a timer is due at {@code dueAtMicros}. */
    void timerExpected(long dueAtMicros) {
        expectedTimersMicros.add(dueAtMicros);
    }

    /** Records that a timer that was due at {@code dueAtMicros} has fired. */
    void timerFired(long dueAtMicros) {
        expectedTimersMicros.remove(dueAtMicros);
    }

    /** Returns the max. time for which data read now may have been unread in a socket. */
    long maxUnreadMicros(long now) {
        return expectedTimersMicros.isEmpty() ? 0 : Math.max(0, now - expectedTimersMicros.peek());
    }

    /** Whether an update of the endpoint list may still be unread in a socket. */
    boolean mayHaveUnreadUpdates(long now) {
        return maxUnreadMicros(now) > STALE_LIST_MICROS;
    }

    /** Records that all sockets have been polled by a poll that began at {@code pollStartMicros}. */
    void socketsPolled(long pollStartMicros) {
        lastPollStartMicros =
                lastPollStartMicros == NEVER_POLLED ? pollStartMicros : Math.max(lastPollStartMicros, pollStartMicros);
    }

    /**
     * Returns the time from which the grace of a drain may be over whose announcement is still unread: the drain may
     * have been announced right after the start of the last poll.
     */
    long unreadDrainDeadlineMicros(long graceMicros) {
        return lastPollStartMicros == NEVER_POLLED
                ? NEVER_POLLED
                : Math.max(
                        lastPollStartMicros + STALE_LIST_MICROS,
                        DrainGrace.drainDeadlineMicros(DrainGrace.NEVER, lastPollStartMicros, graceMicros));
    }

    /** Whether to log a heartbeat that is this late. Limits the number of log lines while stalls continue. */
    boolean shouldReport(long latenessMicros, long now) {
        boolean report = latenessMicros > REPORT_MIN_MICROS && now - reportedAtMicros >= REPORT_INTERVAL_MICROS;
        if (report) {
            reportedAtMicros = now;
        }
        return report;
    }
}
