package loadbalancer.connections;

/**
 * Decides how long idle connections to one upstream are kept. The most recently used connection is kept for longer:
 * the next request needs it, and a new handshake costs time. Spare connections, which were opened for concurrent
 * requests, are closed soon: an upstream accepts few connections, and unused connections of many load balancers would
 * block the requests of others.
 *
 * <p>Uses no clock and no socket. Immutable. Times are in µs.
 */
public final class IdleTimeout {
    private static final double SHARE_OF_UPSTREAM_TIMEOUT = 0.5;
    private static final long MAX_IDLE_MICROS = 6_000_000;
    private static final long MAX_SPARE_IDLE_MICROS = 500_000;
    private static final long UNSOLICITED_RESPONSE_WAIT_MICROS = 10_000;
    private static final long MIN_CHECK_INTERVAL_MICROS = 10_000;

    private final long maxIdleMicros;
    private final long unsolicitedResponseWaitMicros;

    /**
     * Creates the timeout for upstreams with an idle timeout of their own.
     *
     * @param upstreamTimeoutMicros the idle timeout of the upstreams in µs, 0 if it isn't known
     */
    public IdleTimeout(long upstreamTimeoutMicros) {
        this(upstreamTimeoutMicros, UNSOLICITED_RESPONSE_WAIT_MICROS);
    }

    private IdleTimeout(long upstreamTimeoutMicros, long unsolicitedResponseWaitMicros) {
        maxIdleMicros = upstreamTimeoutMicros > 0
                ? (long) Math.min(MAX_IDLE_MICROS, upstreamTimeoutMicros * SHARE_OF_UPSTREAM_TIMEOUT)
                : MAX_IDLE_MICROS;
        this.unsolicitedResponseWaitMicros = Math.min(unsolicitedResponseWaitMicros, maxIdleMicros / 4);
    }

    /** Creates the timeout for upstreams that never send a second response to a request, such as in the warm-up. */
    public static IdleTimeout withoutUnsolicitedResponses(long upstreamTimeoutMicros) {
        return new IdleTimeout(upstreamTimeoutMicros, 0);
    }

    /**
     * Returns whether a connection has been idle for long enough that no unsolicited response is expected on it. Guards
     * against a second response to a request, which arrives some milliseconds after the first. On a connection that is
     * in use again, it would be taken for the response to the next request, as HTTP/1.1 can't distinguish them.
     */
    public boolean isPastUnsolicitedResponseWait(long idleMicros) {
        return idleMicros >= unsolicitedResponseWaitMicros;
    }

    /** Returns whether a connection that has been idle for {@code idleMicros} may still take a request. */
    public boolean isUsable(long idleMicros) {
        return idleMicros < maxIdleMicros;
    }

    /**
     * Returns whether a connection that has been idle for {@code idleMicros} has to be closed.
     *
     * @param connectionsUsedLater how many idle connections to the same upstream were used more recently
     */
    public boolean isExpired(long idleMicros, int connectionsUsedLater) {
        return !isUsable(idleMicros) || (connectionsUsedLater > 0 && idleMicros >= MAX_SPARE_IDLE_MICROS);
    }

    /** Returns the interval in µs at which {@link #isExpired} has to be checked. */
    public long checkIntervalMicros() {
        return Math.max(MIN_CHECK_INTERVAL_MICROS, Math.min(MAX_SPARE_IDLE_MICROS / 2, maxIdleMicros / 10));
    }
}
