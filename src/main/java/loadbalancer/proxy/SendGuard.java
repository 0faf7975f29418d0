package loadbalancer.proxy;

import loadbalancer.policy.Policy.Outcome;

/**
 * The last check of every attempt, right before its first byte, whatever transport carries it and however long
 * it waited. What was true when the policy chose the server may have changed since, and the change may lie
 * unread in a socket: the client has closed, its time or the window for retries is over, the upstream drains or
 * has another address. No I/O and no clock; times in µs of the balancer's clock.
 */
public final class SendGuard {
    /** How long after a client's close its request may still be forwarded (the operators' rule). */
    public static final long CLOSE_GRACE_MICROS = 100_000;
    /** By how much a permit is shorter than that: the write takes time, and the clock is not shared. */
    static final long PERMIT_MARGIN_MICROS = 50_000;
    /** In place of a time: nobody waits for the attempt any more. */
    public static final long NOT_AWAITED = Long.MIN_VALUE;

    private SendGuard() {}

    /** Until when an attempt may begin whose client's connection was read completely at {@code readAtMicros}. */
    static long awaitedUntilMicros(long readAtMicros) {
        return readAtMicros + CLOSE_GRACE_MICROS - PERMIT_MARGIN_MICROS;
    }

    /**
     * Decides whether an attempt may begin.
     *
     * @param awaitedUntilMicros as {@link AttemptTransport.Listener#awaitedUntilMicros} says
     * @param startDeadlineMicros from then on it may not run any more, or its response would be too late
     * @param drainDeadlineMicros when the grace of its upstream's drain is over; {@link DrainGrace#NEVER} while it
     *     serves
     * @param addressChanged whether its upstream has another address now: the server at this one is not that upstream
     * @param unreadDrainDeadlineMicros as {@link PendingUpdates#unreadDrainDeadlineMicros} says
     */
    public static SendPermit decide(
            long now,
            long awaitedUntilMicros,
            long startDeadlineMicros,
            long drainDeadlineMicros,
            boolean addressChanged,
            long unreadDrainDeadlineMicros) {
        if (awaitedUntilMicros == NOT_AWAITED || now >= startDeadlineMicros) {
            return SendPermit.refused(Outcome.NOT_SENT);
        }
        if (now >= drainDeadlineMicros || addressChanged) {
            return SendPermit.refused(Outcome.CONNECT_FAILED); // another upstream may run it
        }
        return new SendPermit(
                null,
                Math.min(
                        Math.min(awaitedUntilMicros, startDeadlineMicros),
                        Math.min(drainDeadlineMicros, unreadDrainDeadlineMicros)));
    }
}
