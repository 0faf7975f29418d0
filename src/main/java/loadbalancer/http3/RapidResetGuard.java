package loadbalancer.http3;

/**
 * Whether a connection opens streams only to end them (known as rapid reset): each stream that its client
 * ends before our answer costs one, each answer that it takes gives a half back, and time gives some. A
 * client that gives up on slow answers is far from it. Decides without I/O; time in ns.
 */
public final class RapidResetGuard {
    private static final double PER_ANSWER = 0.5;

    private final double burst;
    private final double perSecond;
    private double left;
    private long since;

    /** {@code burst}: streams ended at once that are borne; {@code perSecond}: in the long run. */
    public RapidResetGuard(double burst, double perSecond, long now) {
        this.burst = burst;
        this.perSecond = perSecond;
        this.left = burst;
        this.since = now;
    }

    /** A stream was ended by its client; returns whether the connection is still borne. */
    public boolean ended(long now) {
        left = Math.min(burst, left + Math.max(0, now - since) / 1e9 * perSecond) - 1;
        since = now;
        return left >= 0;
    }

    public void answered() {
        left = Math.min(burst, left + PER_ANSWER);
    }
}
