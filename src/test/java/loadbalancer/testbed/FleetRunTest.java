package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import loadbalancer.config.toml.Problems;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Several processes of the program together, of which some are stalled, killed and shut down under load. */
class FleetRunTest {
    private static final String PLAN = """
        name = "few"
        seed = 11
        lasting = "9s"
        rate = 40
        [fleet]
        processes = 4
        uneven = 0.5
        [[boxes]]
        name = "box"
        count = 40
        [[class]]
        name = "order"
        effect = "unsafe"
        work = "400ms"
        aim = "2s"
        deadline = "15s"
        """;

    private static FleetRunResult play(String plan) throws IOException, InterruptedException, Problems.Bad {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        List<Long> before = children();
        try (FleetRun run = new FleetRun(
                ScenarioReader.fleet("few.toml", plan),
                DemoTest.CLASS_PATH,
                new PrintStream(out, true, StandardCharsets.UTF_8))) {
            FleetRunResult result = run.play();
            assertTrue(result.isClean(), () -> result.json() + " " + result.breaches() + out);
            return result;
        } finally {
            assertEquals(before, children(), "it ends all that it started");
        }
    }

    private static List<Long> children() {
        return ProcessHandle.current()
                .children()
                .map(ProcessHandle::pid)
                .sorted()
                .collect(Collectors.toList());
    }

    /** One process of four each: the rules are kept over all of them, and every request has an outcome. */
    @Test
    @Timeout(240)
    void stalledKilledAndStoppedProcessesKeepTheRulesTogether() throws Exception {
        FleetRunResult result = play(PLAN + """
            [[trouble]]
            at = "1s"
            what = "stall"
            share = 0.25
            lasting = "1500ms"
            [[trouble]]
            at = "3s"
            what = "kill"
            share = 0.25
            lasting = "500ms"
            [[trouble]]
            at = "4s"
            what = "stop"
            share = 0.25
            lasting = "500ms"
            """);
        assertEquals(
                result.asked(),
                result.served() + result.refused() + result.failed() + result.lost(),
                "each has its end");
        assertTrue(result.lost() > 0, "the one that was killed held some");
        assertTrue(result.served() > 0.7 * result.asked(), result::json);
        assertTrue(result.connections() > 0 && result.cpu() > 0, result::json);
        assertTrue(result.json().contains("\"processes\":4,\"boxes\":40,"), result::json);
    }

    @Test
    void everyProblemOfAPlanIsReportedWithItsLine() {
        Problems.Bad bad = assertThrows(
                Problems.Bad.class,
                () -> ScenarioReader.fleet(
                        "few.toml",
                        PLAN.replace("processes = 4", "processes = 0").replace("uneven = 0.5", "uneven = 9\nwaves = 2")
                                + "[[trouble]]\nat = \"1s\"\nwhat = \"trip\"\n"));
        String message = bad.getMessage();
        assertTrue(message.contains("6: fleet.processes: not between 1 and 300: 0"), message);
        assertTrue(message.contains("7: fleet.uneven: not between 0 and 3"), message);
        assertTrue(message.contains("fleet.waves"), message);
        assertTrue(message.contains("trouble[0].what: not one of stall, kill, stop: 'trip'"), message);
    }
}
