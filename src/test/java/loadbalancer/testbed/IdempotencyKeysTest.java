package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which requests the servers of a cell drop as repeats. */
class IdempotencyKeysTest {
    private static final long TTL_MICROS = 500_000;

    private final IdempotencyKeys keys = new IdempotencyKeys();

    @Test
    void aRepeatIsDroppedWithinTheTimeToLive() {
        assertTrue(keys.firstUse("k", TTL_MICROS, 0, 0));
        assertFalse(keys.firstUse("k", TTL_MICROS, 499_999, 499_999));
        assertTrue(keys.firstUse("k", TTL_MICROS, 500_000, 500_000));
    }

    @Test
    void aRepeatThatArrivesInTimeIsDroppedWheneverItsServerGetsToIt() {
        assertTrue(keys.firstUse("k", TTL_MICROS, 0, 0));
        assertTrue(keys.firstUse("other", TTL_MICROS, 1_900_000, 1_900_000));
        assertFalse(keys.firstUse("k", TTL_MICROS, 20_000, 2_000_000));
        assertTrue(keys.firstUse("k", TTL_MICROS, 510_000, 2_000_000), "it arrived when the key was forgotten");
    }

    @Test
    void theTimeToLiveCountsFromTheExecution() {
        assertTrue(keys.firstUse("k", TTL_MICROS, 0, 300_000));
        assertFalse(keys.firstUse("k", TTL_MICROS, 700_000, 700_000));
    }
}
