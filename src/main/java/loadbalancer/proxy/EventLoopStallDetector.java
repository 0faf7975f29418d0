package loadbalancer.proxy;

import java.util.PriorityQueue;

/**
 * Decides from the lateness of timers for how long the event loop has been stalled, and what follows: as
 * long as a timer is overdue the sockets have not been polled either, so what is read now may have lain there
 * since. Guards against responses that are in time by the balancer's clock and too late by the client's, and
 * against attempts by an endpoint list whose update lies unread. No I/O and no clock; times in µs of one
 * clock. For one thread.
 */
final class EventLoopStallDetector {
    /** Between heartbeats of the event loop: the precision at which a stall is known. */
    static final long HEARTBEAT_MICROS = 20_000;

    private static final long STALE_LIST_MICROS = 100_000; // behind a longer stall the list may have changed
    private static final long REPORT_MIN_MICROS = 200_000; // shorter stalls are not logged
    private static final long REPORT_INTERVAL_MICROS = 5_000_000;

    private static final long NEVER_POLLED = Long.MAX_VALUE;

    private final PriorityQueue<Long> expectedTimersMicros = new PriorityQueue<>();
    private long reportedAtMicros = Long.MIN_VALUE / 2;
    private long lastPollStartMicros = NEVER_POLLED;

    /** A timer is due at that time. */
    void timerExpected(long dueAtMicros) {
        expectedTimersMicros.add(dueAtMicros);
    }

    /** A timer that was due at that time has fired. */
    void timerFired(long dueAtMicros) {
        expectedTimersMicros.remove(dueAtMicros);
    }

    /** For how long what is read now may have lain unread. */
    long maxUnreadMicros(long now) {
        return expectedTimersMicros.isEmpty() ? 0 : Math.max(0, now - expectedTimersMicros.peek());
    }

    /** Whether an update of the endpoint list may lie unread behind what is read now. */
    boolean mayHaveUnreadUpdates(long now) {
        return maxUnreadMicros(now) > STALE_LIST_MICROS;
    }

    /** All sockets have been polled since {@code pollStartMicros}. */
    void socketsPolled(long pollStartMicros) {
        lastPollStartMicros =
                lastPollStartMicros == NEVER_POLLED ? pollStartMicros : Math.max(lastPollStartMicros, pollStartMicros);
    }

    /**
     * Until when the grace of a drain that has not been read can't be over: the drain may have been announced
     * right behind the begin of the last poll.
     */
    long unreadDrainDeadlineMicros(long graceMicros) {
        return lastPollStartMicros == NEVER_POLLED
                ? NEVER_POLLED
                : Math.max(
                        lastPollStartMicros + STALE_LIST_MICROS,
                        DrainGrace.drainDeadlineMicros(DrainGrace.NEVER, lastPollStartMicros, graceMicros));
    }

    /** Whether a heartbeat that late is to be logged; not each time while stalls go on. */
    boolean shouldReport(long latenessMicros, long now) {
        boolean report = latenessMicros > REPORT_MIN_MICROS && now - reportedAtMicros >= REPORT_INTERVAL_MICROS;
        if (report) {
            reportedAtMicros = now;
        }
        return report;
    }
}
