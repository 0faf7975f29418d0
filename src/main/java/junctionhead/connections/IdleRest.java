package junctionhead.connections;

/**
 * How long idle connections to one upstream rest. One stays for longer: the next request will want it, and
 * a new handshake costs. Spare ones, which only requests at the same time had use for, go soon: an upstream
 * holds few, and those of 14 balancers that nobody uses keep out the requests of the others. Decides only:
 * no clock, no socket. Immutable. Times are in µs.
 */
public final class IdleRest {
    private static final double SHARE = 0.5;        // of the time after which upstreams close an idle one
    private static final long MOST = 6_000_000;
    private static final long SPARE = 500_000;

    private final long most;

    /** {@code closedAfter}: when upstreams close an idle connection themselves, 0 where that isn't known. */
    public IdleRest(long closedAfter) {
        most = closedAfter > 0 ? (long) Math.min(MOST, closedAfter * SHARE) : MOST;
    }

    /** Whether a connection idle for so long may still take a request. */
    public boolean usable(long idle) {
        return idle < most;
    }

    /** Whether it ends, where {@code others} that were used later are idle besides. */
    public boolean ends(long idle, int others) {
        return !usable(idle) || others > 0 && idle >= SPARE;
    }

    /** How often to look. */
    public long every() {
        return Math.max(10_000, Math.min(SPARE / 2, most / 10));
    }
}
