package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which idle connections to upstreams are used and closed; times in µs. */
class IdleTimeoutTest {
    private static final IdleTimeout LONG = new IdleTimeout(30_000_000);
    private static final IdleTimeout SHORT = new IdleTimeout(400_000);
    private static final IdleTimeout UNKNOWN = new IdleTimeout(0);

    @ParameterizedTest
    @CsvSource({"5000000, 0, false", "6000000, 0, true", "500000, 1, true", "499999, 3, false"})
    void lastIdleConnectionIsKeptForLongerThanSpareOnes(long idle, int usedLater, boolean closed) {
        assertEquals(closed, LONG.ends(idle, usedLater));
    }

    @Test
    void spareConnectionIsUsableUntilItIsClosed() {
        assertTrue(LONG.usable(500_000));
    }

    @Test
    void connectionIsNotUsedNearTheIdleTimeoutOfItsUpstream() {
        assertFalse(SHORT.usable(200_000));
        assertTrue(SHORT.ends(200_000, 0));
    }

    @Test
    void connectionIsUsableForSecondsWhereTheTimeoutOfItsUpstreamIsUnknown() {
        assertTrue(UNKNOWN.usable(5_000_000));
    }

    @Test
    void checksAreFrequentWhereTheTimeoutOfTheUpstreamIsShort() {
        assertTrue(SHORT.every() <= 20_000);
    }
}
