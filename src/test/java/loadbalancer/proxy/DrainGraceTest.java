package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DrainGraceTest {
    @Test
    void theDeadlineIsBeforeTheGraceEndsAndIsNotExtendedByARepeatedAnnouncement() {
        assertEquals(1_950_000, DrainGrace.drainDeadlineMicros(DrainGrace.NEVER, 1_000_000, 1_000_000));
        assertEquals(1_950_000, DrainGrace.drainDeadlineMicros(1_950_000, 1_500_000, 1_000_000));
        assertEquals(
                1_040_000,
                DrainGrace.drainDeadlineMicros(DrainGrace.NEVER, 1_000_000, 80_000),
                "the margin is at most half of the grace");
        assertEquals(1_000_000, DrainGrace.drainDeadlineMicros(DrainGrace.NEVER, 1_000_000, 0));
    }
}
