package loadbalancer.downstream.http1;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts and logs the connections that were closed before their responses had been sent. To be used on the event loop.
 */
final class CutOffResponses {
    private final Consumer<String> log;
    private final Map<String, Long> countByReason = new TreeMap<>();

    CutOffResponses(Consumer<String> log) {
        this.log = log;
    }

    /** Counts a connection, and logs it if the count of its reason is a power of two. */
    void record(String closeReason) {
        long count = countByReason.merge(closeReason, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            log.accept("event=response_cut_off reason="
                    + closeReason.toLowerCase(Locale.ROOT).replace(' ', '_') + " count=" + count);
        }
    }

    /** Returns a log text with all counts. */
    String summary() {
        return "responses cut off by reason: " + countByReason;
    }
}
