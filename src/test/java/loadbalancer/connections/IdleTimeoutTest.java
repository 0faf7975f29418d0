package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which idle connections to upstreams are used and which are closed; times are in µs. */
class IdleTimeoutTest {
    private static final IdleTimeout LONG_UPSTREAM_TIMEOUT = new IdleTimeout(30_000_000);
    private static final IdleTimeout SHORT_UPSTREAM_TIMEOUT = new IdleTimeout(400_000);
    private static final IdleTimeout UNKNOWN_UPSTREAM_TIMEOUT = new IdleTimeout(0);

    @ParameterizedTest
    @CsvSource({"5000000, 0, false", "6000000, 0, true", "500000, 1, true", "499999, 3, false"})
    void lastIdleConnectionIsKeptForLongerThanSpareOnes(long idleMicros, int usedLater, boolean closed) {
        assertEquals(closed, LONG_UPSTREAM_TIMEOUT.isExpired(idleMicros, usedLater));
    }

    @Test
    void spareConnectionIsUsableUntilItIsClosed() {
        assertTrue(LONG_UPSTREAM_TIMEOUT.isUsable(500_000));
    }

    @Test
    void connectionIsNotUsedNearTheIdleTimeoutOfItsUpstream() {
        assertFalse(SHORT_UPSTREAM_TIMEOUT.isUsable(200_000));
        assertTrue(SHORT_UPSTREAM_TIMEOUT.isExpired(200_000, 0));
    }

    @Test
    void connectionIsUsableForSecondsWhereTheTimeoutOfItsUpstreamIsUnknown() {
        assertTrue(UNKNOWN_UPSTREAM_TIMEOUT.isUsable(5_000_000));
    }

    @Test
    void checksAreFrequentWhereTheTimeoutOfTheUpstreamIsShort() {
        assertTrue(SHORT_UPSTREAM_TIMEOUT.checkIntervalMicros() <= 20_000);
    }
}
