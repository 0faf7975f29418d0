package loadbalancer.proxy;

/**
 * Until when a transport may still begin an attempt to a draining upstream (rule 3). No I/O and no clock; times
 * in µs.
 */
public final class DrainGrace {
    /** The end of the grace of an upstream that is not draining. */
    public static final long NEVER = Long.MAX_VALUE;
    /** How long a drained upstream is kept after its grace, so that the table of upstreams stays bounded. */
    public static final long RETENTION_MICROS = 60_000_000;

    private static final long MARGIN_MICROS = 50_000; // the clock is not shared with the upstream

    private DrainGrace() {}

    /**
     * When the grace of a drain is over.
     *
     * @param earlierDeadlineMicros the result of an earlier announcement, or {@link #NEVER}; a repeated one
     *     extends nothing
     * @param announcedAtMicros when the drain was announced
     * @param graceMicros as the settings have it
     */
    public static long drainDeadlineMicros(long earlierDeadlineMicros, long announcedAtMicros, long graceMicros) {
        return Math.min(
                earlierDeadlineMicros,
                announcedAtMicros + Math.max(0, graceMicros - Math.min(MARGIN_MICROS, graceMicros / 2)));
    }
}
