package loadbalancer.connections;

/**
 * How long idle connections to one upstream are kept. The one used last is kept for longer: the next request needs it,
 * and a new handshake costs time. Spare ones, opened for requests that ran at the same time, are closed soon: an
 * upstream accepts few connections, and unused ones of many load balancers would keep out the requests of others.
 *
 * <p>Decides only: no clock, no socket. Immutable. Times are in µs.
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
     * The timeout for upstreams that close a connection themselves when it has been idle for so long.
     *
     * @param upstreamTimeoutMicros the upstreams' own idle timeout in µs, 0 where it isn't known
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

    /** The same for upstreams that never send a second response to one request, as those of the warm-up. */
    public static IdleTimeout withoutUnsolicitedResponses(long upstreamTimeoutMicros) {
        return new IdleTimeout(upstreamTimeoutMicros, 0);
    }

    /**
     * Whether a connection idle for so long may take the next request as far as its last response is concerned. Guards
     * against a superfluous second response that arrives some milliseconds after the first: on a connection in use it
     * would be taken for the response to the next request, as nothing in HTTP/1.1 tells them apart.
     */
    public boolean isPastUnsolicitedResponseWait(long idleMicros) {
        return idleMicros >= unsolicitedResponseWaitMicros;
    }

    /** Whether a connection idle for so long may still take a request. */
    public boolean isUsable(long idleMicros) {
        return idleMicros < maxIdleMicros;
    }

    /**
     * Whether a connection idle for so long is to be closed.
     *
     * @param connectionsUsedLater how many idle connections to the same upstream were used later
     */
    public boolean isExpired(long idleMicros, int connectionsUsedLater) {
        return !isUsable(idleMicros) || (connectionsUsedLater > 0 && idleMicros >= MAX_SPARE_IDLE_MICROS);
    }

    /** The interval in µs at which to check {@link #isExpired}. */
    public long checkIntervalMicros() {
        return Math.max(MIN_CHECK_INTERVAL_MICROS, Math.min(MAX_SPARE_IDLE_MICROS / 2, maxIdleMicros / 10));
    }
}
