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

    private final PriorityQueue<Long> expectedTimers = new PriorityQueue<>();
    private long reportedAt = Long.MIN_VALUE / 2;
    private long lastPollBegan = NEVER_POLLED;

    /** A timer is due at that time. */
    void timerExpected(long dueAt) {
        expectedTimers.add(dueAt);
    }

    /** A timer that was due at that time has fired. */
    void timerFired(long dueAt) {
        expectedTimers.remove(dueAt);
    }

    /** For how long what is read now may have lain unread. */
    long unreadFor(long now) {
        return expectedTimers.isEmpty() ? 0 : Math.max(0, now - expectedTimers.peek());
    }

    /** Whether an update of the endpoint list may lie unread behind what is read now. */
    boolean mayHideUpdates(long now) {
        return unreadFor(now) > STALE_LIST_MICROS;
    }

    /** All sockets have been polled since {@code began}. */
    void socketsPolled(long began) {
        lastPollBegan = lastPollBegan == NEVER_POLLED ? began : Math.max(lastPollBegan, began);
    }

    /**
     * Until when the grace of a drain that has not been read can't be over: the drain may have been announced
     * right behind the begin of the last poll.
     */
    long graceHolds(long grace) {
        return lastPollBegan == NEVER_POLLED
                ? NEVER_POLLED
                : Math.max(
                        lastPollBegan + STALE_LIST_MICROS, DrainGrace.stopAt(DrainGrace.NEVER, lastPollBegan, grace));
    }

    /** Whether a heartbeat that late is to be logged; not each time while stalls go on. */
    boolean shouldReport(long lateness, long now) {
        boolean report = lateness > REPORT_MIN_MICROS && now - reportedAt >= REPORT_INTERVAL_MICROS;
        if (report) {
            reportedAt = now;
        }
        return report;
    }
}
