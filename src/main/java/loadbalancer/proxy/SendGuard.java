package loadbalancer.proxy;

import loadbalancer.policy.Policy.Outcome;

/**
 * The last check of every attempt, right before its first byte, for all transports and however long the attempt was
 * queued. The conditions under which the policy chose the server may have changed, and the change may be unread in a
 * socket: the client has closed its connection, the client's deadline or the window for retries is over, or the
 * upstream drains or has another address. Does no I/O and reads no clock; times are in µs of the balancer's clock.
 */
public final class SendGuard {
    /** How long after a client's close its request may still be forwarded; a requirement of the operators. */
    public static final long CLOSE_GRACE_MICROS = 100_000;
    /** A permit is shorter than the grace by this margin: the write takes time, and clocks are not shared. */
    static final long PERMIT_MARGIN_MICROS = 50_000;
    /** Used in place of a time if no client waits for the attempt any more. */
    public static final long NOT_AWAITED = Long.MIN_VALUE;

    private SendGuard() {}

    /** Returns until when an attempt may start if the client's connection was read completely at that time. */
    static long awaitedUntilMicros(long readAtMicros) {
        return readAtMicros + CLOSE_GRACE_MICROS - PERMIT_MARGIN_MICROS;
    }

    /**
     * Decides whether an attempt may start.
     *
     * @param awaitedUntilMicros the result of {@link AttemptTransport.Listener#awaitedUntilMicros}
     * @param startDeadlineMicros the time from which the attempt may not run, or its response would be too late
     * @param drainDeadlineMicros the result of {@link DrainGrace#drainDeadlineMicros} for the upstream;
     *     {@link DrainGrace#NEVER} if the upstream is not draining
     * @param addressChanged whether the upstream has another address now, so that the server at the address of the
     *     connection is no longer that upstream
     * @param unreadDrainDeadlineMicros the result of {@link PendingUpdates#unreadDrainDeadlineMicros}
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
            return SendPermit.refused(Outcome.CONNECT_FAILED); // the policy may choose another upstream
        }
        return new SendPermit(
                null,
                Math.min(
                        Math.min(awaitedUntilMicros, startDeadlineMicros),
                        Math.min(drainDeadlineMicros, unreadDrainDeadlineMicros)));
    }
}
