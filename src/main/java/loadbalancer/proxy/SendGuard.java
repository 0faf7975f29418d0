package loadbalancer.proxy;

import loadbalancer.policy.Policy.Outcome;

/**
 * The one look that every attempt passes right before its first byte, whatever transport carries it and
 * whatever it waited for. What was true when the module chose may have changed since, and the contrary may
 * lie unread in a socket: the client has closed, its time or the window for repeats is over, the upstream
 * drains or has another address. Decides without I/O or clock; times in µs of the node's clock.
 */
public final class SendGuard {
    /** After a client's close a request may be sent on for so long (the operators' rule). */
    public static final long CLOSE_GRACE = 100_000;
    /** What the permit is shorter by: the write takes its time, and the clock is not shared. */
    static final long MARGIN = 50_000;
    /** In place of a time: nobody waits for the attempt any more. */
    public static final long NOBODY = Long.MIN_VALUE;

    private SendGuard() {}

    /** Until when an attempt may begin whose client's connection was read to its end at {@code readAt}. */
    static long awaitedUntil(long readAt) {
        return readAt + CLOSE_GRACE - MARGIN;
    }

    /**
     * Decides whether an attempt may begin.
     *
     * @param awaitedUntil as {@link AttemptTransport.Listener#awaitedUntil} says
     * @param before from then on it may not run any more, or its answer would come too late
     * @param stopAt when the grace of its upstream's drain is over; {@link DrainGrace#NEVER} while it serves
     * @param moved its upstream has another address now: whoever listens at this one is not that upstream
     * @param graceHolds as {@link PendingUpdates#graceHolds} says
     */
    public static SendPermit decide(
            long now, long awaitedUntil, long before, long stopAt, boolean moved, long graceHolds) {
        if (awaitedUntil == NOBODY || now >= before) {
            return SendPermit.refused(Outcome.NOT_SENT);
        }
        if (now >= stopAt || moved) {
            return SendPermit.refused(Outcome.CONNECT_FAILED); // another upstream may take it
        }
        return new SendPermit(null, Math.min(Math.min(awaitedUntil, before), Math.min(stopAt, graceHolds)));
    }
}
