package loadbalancer.proxy;

/**
 * Computes the time until which a transport may start an attempt to a draining upstream (rule 3). Does no I/O and
 * reads no clock; times are in µs.
 */
public final class DrainGrace {
    /** The drain deadline of an upstream that is not draining. */
    public static final long NEVER = Long.MAX_VALUE;
    /** How long a drained upstream is kept after its grace; the limit keeps the table of upstreams bounded. */
    public static final long RETENTION_MICROS = 60_000_000;

    private static final long MARGIN_MICROS = 50_000; // balancer and upstream do not share a clock

    private DrainGrace() {}

    /**
     * Returns the time from which no attempt may start any more: the end of the grace, less a margin of at most half
     * of the grace.
     *
     * @param earlierDeadlineMicros the deadline by an earlier announcement of the drain, or {@link #NEVER}; a
     *     repeated announcement does not extend the deadline
     * @param announcedAtMicros when the drain was announced
     * @param graceMicros the grace from the settings
     */
    public static long drainDeadlineMicros(long earlierDeadlineMicros, long announcedAtMicros, long graceMicros) {
        return Math.min(
                earlierDeadlineMicros,
                announcedAtMicros + Math.max(0, graceMicros - Math.min(MARGIN_MICROS, graceMicros / 2)));
    }
}
