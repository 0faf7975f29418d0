package loadbalancer.http3;

/**
 * Detects a connection that opens streams only to reset them (rapid reset, CVE-2023-44487), with a token
 * bucket: each stream that its client resets before our response takes a token, each response that it accepts
 * gives half a token back, and time gives some. A client that cancels slow requests stays far within it.
 * Decides without I/O; time in ns; for one thread.
 */
public final class RapidResetGuard {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double TOKENS_PER_RESPONSE = 0.5;

    private final double burst;
    private final double perSecond;
    private double tokens;
    private long refilledAtNanos;

    /**
     * A full bucket.
     *
     * @param burst resets that are tolerated at once
     * @param perSecond resets that are tolerated in the long run
     * @param now in ns
     */
    public RapidResetGuard(double burst, double perSecond, long now) {
        this.burst = burst;
        this.perSecond = perSecond;
        this.tokens = burst;
        this.refilledAtNanos = now;
    }

    /** The client has reset a stream; returns whether the connection is still tolerated. */
    public boolean ended(long now) {
        tokens = Math.min(burst, tokens + Math.max(0, now - refilledAtNanos) / NANOS_PER_SECOND * perSecond) - 1;
        refilledAtNanos = now;
        return tokens >= 0;
    }

    /** The client has accepted a response. */
    public void answered() {
        tokens = Math.min(burst, tokens + TOKENS_PER_RESPONSE);
    }
}
