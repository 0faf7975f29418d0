package loadbalancer.connections;

/**
 * How long idle connections to one upstream rest. One stays for longer: the next request will want it, and
 * a new handshake costs. Spare ones, which only requests at the same time had use for, go soon: an upstream
 * holds few, and those of 14 balancers that nobody uses keep out the requests of the others. Decides only:
 * no clock, no socket. Immutable. Times are in µs.
 */
public final class IdleTimeout {
    private static final double SHARE = 0.5; // of the time after which upstreams close an idle one
    private static final long MOST = 6_000_000;
    private static final long SPARE = 500_000;
    private static final long SETTLES = 10_000;

    private final long most;
    private final long settles;

    /** {@code closedAfter}: when upstreams close an idle connection themselves, 0 where that isn't known. */
    public IdleTimeout(long closedAfter) {
        this(closedAfter, SETTLES);
    }

    private IdleTimeout(long closedAfter, long settles) {
        most = closedAfter > 0 ? (long) Math.min(MOST, closedAfter * SHARE) : MOST;
        this.settles = Math.min(settles, most / 4);
    }

    /** The same where the other side is known to answer once, as a rehearsal's own is. */
    public static IdleTimeout trusting(long closedAfter) {
        return new IdleTimeout(closedAfter, 0);
    }

    /**
     * Whether nothing more is to be feared on a connection idle for so long. Guards against a second answer
     * that comes some milliseconds behind the first: on a connection in use again it was taken for that of
     * the next request, for nothing in HTTP/1.1 tells them apart.
     */
    public boolean settled(long idle) {
        return idle >= settles;
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
