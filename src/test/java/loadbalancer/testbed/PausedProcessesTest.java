package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each request that the machine of a paused process accepted gets its one response when the process continues. */
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
    void everyRequestAcceptedDuringThePauseIsServedOnce(PausedProcesses.PausePoint point, int kept, int fresh)
            throws IOException, InterruptedException {
        PausedProcesses.Size size = new PausedProcesses.Size(3, kept, fresh);
        try (PausedProcesses run = new PausedProcesses(DemoTest.CLASS_PATH, size)) {
            PausedProcesses.Outcome outcome = run.play(point);
            assertTrue(outcome.isClean(), () -> outcome.summary() + " | " + outcome.log());
        }
    }
}
