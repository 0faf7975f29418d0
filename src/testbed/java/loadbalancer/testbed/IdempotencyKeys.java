package loadbalancer.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * The idempotency keys that the servers of one cell remember together, each for its time to live. A repeat that arrives
 * within that time is dropped, also where a server that is stalled gets to it later. Does no I/O.
 */
final class IdempotencyKeys {
    private static final long SWEEP_INTERVAL_MICROS = 1_000_000;
    private static final long MAX_QUEUEING_MICROS = 60_000_000; // longer than any fault lasts

    private final Map<String, Long> expiresAt = new HashMap<>();
    private long lastSweptAt;

    /**
     * Whether a request whose execution starts at {@code now} is the first use of the key; from then on it is
     * remembered.
     *
     * @param arrivedAt when the request reached its server
     */
    boolean firstUse(String key, long ttlMicros, long arrivedAt, long now) {
        if (now - lastSweptAt > SWEEP_INTERVAL_MICROS) {
            lastSweptAt = now;
            expiresAt.values().removeIf(end -> end <= now - MAX_QUEUEING_MICROS);
        }
        Long end = expiresAt.get(key);
        if (end != null && end > arrivedAt) {
            return false;
        }
        expiresAt.put(key, now + ttlMicros);
        return true;
    }
}
