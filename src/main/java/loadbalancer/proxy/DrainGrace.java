package loadbalancer.proxy;

/**
 * Until when a carrier may still begin a request to an upstream that drains (rule 3). Decides without I/O;
 * times in µs.
 */
public final class DrainGrace {
    /** While it serves. */
    public static final long NEVER = Long.MAX_VALUE;
    /** After its grace: that long a stopped upstream is kept, against a table that only grows. */
    public static final long FORGET = 60_000_000;

    private static final long MARGIN = 50_000; // before the grace is over: the clock is not shared

    private DrainGrace() {}

    /**
     * @param earlier what held until now: a drain that is told again is no later for it
     * @param grace as the settings have it
     */
    public static long stopAt(long earlier, long now, long grace) {
        return Math.min(earlier, now + Math.max(0, grace - Math.min(MARGIN, grace / 2)));
    }
}
