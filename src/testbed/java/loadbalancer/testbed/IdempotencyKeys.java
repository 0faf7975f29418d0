package loadbalancer.testbed;

import java.util.HashMap;
import java.util.Map;

/** What boxes of one cell remember together: the keys whose effect has happened, each for its window. */
final class IdempotencyKeys {
    private final Map<String, Long> until = new HashMap<>();
    private long swept;

    /** Whether this is the key's first use within its window; it is remembered from then on. */
    boolean first(String key, long window, long now) {
        if (now - swept > 1_000_000) {
            swept = now;
            until.values().removeIf(end -> end <= now);
        }
        Long end = until.get(key);
        if (end != null && end > now) {
            return false;
        }
        until.put(key, now + window);
        return true;
    }
}
