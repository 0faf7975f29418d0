package loadbalancer.logging;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides which messages of one logger are written, and formats their lines: at most one for each level in an
 * interval. The next line that is written counts those that were suppressed, of all levels. Thread-safe.
 */
final class LogRateLimiter {
    /** Min. time between two lines of one level. */
    static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<String, Long> lastNanosByLevel = new HashMap<>();
    private long suppressed;

    /**
     * Returns the line for the log, or null where another one of that level was written less than an interval ago.
     *
     * @param cause null where there is none
     * @param nowNanos as {@link System#nanoTime} gives it
     */
    synchronized String formatUnlessSuppressed(
            String level, String logger, String message, Throwable cause, long nowNanos) {
        Long lastNanos = lastNanosByLevel.get(level);
        if (lastNanos != null && nowNanos - lastNanos < INTERVAL_NANOS) {
            suppressed++;
            return null;
        }
        lastNanosByLevel.put(level, nowNanos);
        String oneLine = message.replace('\n', ' ').replace('\r', ' ');
        String causeField = cause == null ? "" : " cause=" + cause;
        String suppressedField = suppressed == 0 ? "" : " held_back=" + suppressed;
        suppressed = 0;
        return "event=netty_" + level + " logger=" + logger + " " + oneLine + causeField + suppressedField;
    }
}
