package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Short fault soaks of few processes, the third with long responses that are read slowly, the fourth with a crowd; long
 * ones by the command {@code soak}.
 */
class FaultSoakTest {
    @ParameterizedTest
    @Timeout(300)
    @ValueSource(longs = {1, 2, 3, 4})
    void overlappingFaultsCauseNoViolation(long seed) throws IOException, InterruptedException {
        try (FaultSoak soak = new FaultSoak(DemoTest.CLASS_PATH, seed, 4, 8)) {
            SoakOutcome outcome = soak.play();
            assertTrue(outcome.isClean(), () -> outcome.summary() + " | " + outcome.violations());
        }
    }

    /** A keyed request whose attempt is not answered runs again over a connection that comes up behind the window. */
    @ParameterizedTest
    @Timeout(300)
    @ValueSource(longs = {21, 23})
    void lateConnectionsCauseNoViolation(long seed) throws IOException, InterruptedException {
        try (FaultSoak soak = new FaultSoak(DemoTest.CLASS_PATH, seed, 4, 8, true)) {
            SoakOutcome outcome = soak.play();
            assertTrue(outcome.isClean(), () -> outcome.summary() + " | " + outcome.violations());
        }
    }
}
