package loadbalancer.testbed;

import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that the servers of one cell remember together, each for its time to live. Does no I/O. */
final class IdempotencyKeys {
    private static final long SWEEP_INTERVAL_MICROS = 1_000_000;

    private final Map<String, Long> expiresAt = new HashMap<>();
    private long lastSweptAt;

    /** Whether this is the first use of the key within its time to live; from then on it is remembered. */
    boolean firstUse(String key, long ttlMicros, long now) {
        if (now - lastSweptAt > SWEEP_INTERVAL_MICROS) {
            lastSweptAt = now;
            expiresAt.values().removeIf(end -> end <= now);
        }
        Long end = expiresAt.get(key);
        if (end != null && end > now) {
            return false;
        }
        expiresAt.put(key, now + ttlMicros);
        return true;
    }
}
