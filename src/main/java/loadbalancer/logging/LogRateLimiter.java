package loadbalancer.logging;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the messages of one logger to one line per level and interval, and formats the lines. The next line that is
 * written gives the number of messages that were suppressed before it, of all levels together. Thread-safe.
 */
final class LogRateLimiter {
    /** Min. time between two lines of the same level. */
    static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<String, Long> lastNanosByLevel = new HashMap<>();
    private long suppressed;

    /**
     * Returns the log line, or null if a line of the same level was written less than an interval ago.
     *
     * @param cause the logged exception, or null
     * @param nowNanos the current time by {@link System#nanoTime}
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
