package loadbalancer.proxy;

import java.util.PriorityQueue;

/**
 * For how long the loop has not looked at its sockets, as far as its timers tell, and what follows from it:
 * what was due and has not come still waits for its turn, so what is read now may have lain there since.
 * Guards against answers that are in time by the balancer's count and too late by their client's, and against
 * sends by a list whose change lies unread. Decides without I/O or clock; times in µs of one clock. For one
 * thread.
 */
final class EventLoopStallDetector {
    /** Between signs of life of the loop: what has lain unread is known to that. */
    static final long BEAT = 20_000;

    private static final long OLD_LIST = 100_000; // behind which the list may have changed
    private static final long TOLD_LEAST = 200_000; // that a beat may be late before it is told
    private static final long TOLD_EVERY = 5_000_000;

    private final PriorityQueue<Long> due = new PriorityQueue<>();
    private long toldAt = Long.MIN_VALUE / 2;
    private long passed = Long.MAX_VALUE; // MAX: it has not been told of any pass

    /** A timer is to come then. */
    void expect(long at) {
        due.add(at);
    }

    /** A timer that was due then has come. */
    void came(long at) {
        due.remove(at);
    }

    /** For how long what is read now may have lain unread. */
    long unread(long now) {
        return due.isEmpty() ? 0 : Math.max(0, now - due.peek());
    }

    /** Whether news of the list may lie unread behind what is read now. */
    boolean hidesNews(long now) {
        return unread(now) > OLD_LIST;
    }

    /** A whole pass over the sockets has begun then or later, and ended. */
    void passed(long began) {
        passed = passed == Long.MAX_VALUE ? began : Math.max(passed, began);
    }

    /**
     * Until when the grace of no drain can be over of which nothing has been read: it may have been told
     * right behind the begin of the last pass.
     */
    long graceHolds(long grace) {
        return passed == Long.MAX_VALUE
                ? passed
                : Math.max(passed + OLD_LIST, DrainGrace.stopAt(DrainGrace.NEVER, passed, grace));
    }

    /** Whether operators are to hear that a beat came so late; not each time where it goes on. */
    boolean tells(long late, long now) {
        boolean tells = late > TOLD_LEAST && now - toldAt >= TOLD_EVERY;
        toldAt = tells ? now : toldAt;
        return tells;
    }
}
