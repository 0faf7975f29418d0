package loadbalancer.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * Since when each balancer counts as notified that one server drains. A change that was not delivered to a balancer
 * counts as notified {@link #NOTIFIED_AFTER_MICROS} after discovery had it and could be reached. Balancers are told
 * apart by number; those that share a number are notified with the first of them. Does no I/O; for one thread; times
 * in µs.
 */
final class DrainNotifications {
    /** µs after which a change counts as notified, whether or not it was delivered. */
    static final long NOTIFIED_AFTER_MICROS = 6_000_000;
    /** The balancer of callers that are not told apart. */
    static final int SHARED = -1;

    private static final long NEVER = Long.MAX_VALUE;

    private final long grace;
    private final Map<Integer, Long> notifiedAt = new HashMap<>();
    private boolean draining;
    private long undeliveredNotifiedAt = NEVER; // of balancers to which the drain was not delivered

    /** {@code grace}: how long after its notification a balancer may still send, in µs. */
    DrainNotifications(long grace) {
        this.grace = grace;
    }

    /**
     * The server drains from now on; a repeated announcement changes nothing.
     *
     * @param reachable whether balancers can learn of it from discovery
     */
    void drainBegan(long now, boolean reachable) {
        if (draining) {
            return;
        }
        draining = true;
        undeliveredNotifiedAt = reachable ? now + NOTIFIED_AFTER_MICROS : NEVER;
    }

    /** The server is in service again. */
    void drainEnded() {
        draining = false;
        notifiedAt.clear();
        undeliveredNotifiedAt = NEVER;
    }

    /** The present state of the server was delivered to a balancer. */
    void delivered(int balancer, long now) {
        if (draining) {
            notifiedAt.merge(balancer, Math.min(now, undeliveredNotifiedAt), Math::min);
        }
    }

    /** Discovery can be reached again; a drain that could be learned of before gets no more time by that. */
    void discoveryReturned(long now) {
        if (draining && undeliveredNotifiedAt == NEVER) {
            undeliveredNotifiedAt = now + NOTIFIED_AFTER_MICROS;
        }
    }

    /** From when on a balancer may send no new request to the server; Long.MAX_VALUE where there is no such time. */
    long sendsEndAt(int balancer) {
        long notified = notifiedAt.getOrDefault(balancer, undeliveredNotifiedAt);
        return notified == NEVER ? NEVER : notified + grace;
    }
}
