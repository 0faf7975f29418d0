package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whatever the machines of processes that stand still accepted gets its one answer when they go on. */
class PausedProcessesTest {
    /** In service with two hundred requests in the sockets of each. */
    @ParameterizedTest
    @Timeout(300)
    @CsvSource({
        "START, 0, 25",
        "SERVICE, 144, 92",
        "SIGHUP, 60, 25",
        "DRAIN, 60, 25",
        "RESTS, 60, 25",
        "EVACUATION, 60, 25",
        "SIGTERM, 60, 25",
        "STOPPING, 60, 25"
    })
    void nothingIsLost(PausedProcesses.When when, int kept, int fresh) throws IOException, InterruptedException {
        PausedProcesses.Size size = new PausedProcesses.Size(3, kept, fresh);
        try (PausedProcesses run = new PausedProcesses(DemoTest.CLASS_PATH, size)) {
            PausedProcesses.Outcome outcome = run.play(when);
            assertTrue(outcome.isClean(), () -> outcome.summary() + " | " + outcome.log());
        }
    }
}
