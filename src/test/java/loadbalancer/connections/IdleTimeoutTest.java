package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleTimeoutTest {
    @Test
    void theLastOneStaysAndSpareOnesGoSoon() {
        IdleTimeout rest = new IdleTimeout(30_000_000);
        assertFalse(rest.ends(5_000_000, 0));
        assertTrue(rest.ends(6_000_000, 0));
        assertTrue(rest.ends(500_000, 1));
        assertFalse(rest.ends(499_999, 3));
        assertTrue(rest.usable(500_000), "one that has not been ended yet is as good as any");
    }

    @Test
    void noneIsUsedNearTheTimeAtWhichItsUpstreamEndsIt() {
        assertFalse(new IdleTimeout(400_000).usable(200_000));
        assertTrue(new IdleTimeout(400_000).ends(200_000, 0));
        assertTrue(new IdleTimeout(0).usable(5_000_000));
        assertTrue(new IdleTimeout(400_000).every() <= 20_000);
    }
}
