package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Collectors;
import loadbalancer.config.toml.Problems;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs over loopback: of the real balancer, and of reference models whose faults the ledger has to find. */
class DemoTest {
    // The class path of the program, without the libraries of tests.
    static final String CLASS_PATH = Arrays.stream(
                    System.getProperty("java.class.path").split(File.pathSeparator))
            .filter(e -> !e.contains("slf4j") && !e.contains("archunit"))
            .collect(Collectors.joining(File.pathSeparator));

    private static final String MANY_FAULTS = ScenarioReaderTest.SMALL
                    .replace("\"2s\"\n[[boxes]]", "\"6s\"\n[[boxes]]")
                    .replace("count = 4", "count = 8\ncores = 4\ncell = 2")
            + """
        [[class]]
        name = "stamp"
        effect = "keyed"
        work = "2ms"
        aim = "250ms"
        deadline = "1s"
        [[fault]]
        at = "1s"
        what = "kill"
        boxes = "box-1"
        lasting = "2s"
        [[fault]]
        at = "1s"
        what = "kill"
        boxes = "box-2"
        lasting = "2s"
        [[fault]]
        at = "1s"
        what = "kill"
        boxes = "box-3"
        lasting = "1s"
        [[fault]]
        at = "1s"
        what = "stall"
        boxes = "box-4"
        lasting = "2s"
        [[fault]]
        at = "1500ms"
        what = "drain"
        boxes = "box-5"
        lasting = "3s"
        [[fault]]
        at = "2s"
        what = "reset"
        boxes = "box-6"
        amount = 0.2
        lasting = "2s"
        [[fault]]
        at = "3s"
        what = "discovery-down"
        lasting = "1s"
        [[fault]]
        at = "4s"
        what = "discovery-lies"
        boxes = "box-7"
        lasting = "1s"
        """;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private Demo.RunResult play(String scenario, Demo.BalancerFactory balancerFactory)
            throws IOException, InterruptedException, Problems.Bad {
        try (PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
                Demo demo = new Demo(
                        ScenarioReader.read("test.toml", scenario), balancerFactory, out, ProgressDisplay.Mode.PLAIN)) {
            return demo.play();
        }
    }

    private String output() {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static final Demo.BalancerFactory REAL =
            (scenario, known, discovery) -> BalancerProcess.start(CLASS_PATH, scenario, known, discovery, 60);

    @ParameterizedTest
    @CsvSource({
        "NONE, CLEAN, booked twice: 0",
        "DOUBLES, BROKEN, booked twice:",
        "FORGETS, BROKEN, unanswered:",
        "REFUSES_WHAT_RAN, BROKEN, refused after it ran:"
    })
    void theLedgerFindsABrokenRuleOfAFaultyBalancer(ReferenceBalancer.Fault fault, Demo.RunResult end, String words)
            throws IOException, InterruptedException, Problems.Bad {
        assertEquals(
                end,
                play(
                        ScenarioReaderTest.SMALL.replace("\"2s\"\n[[boxes]]", "\"1s\"\n[[boxes]]"),
                        (scenario, known, discovery) -> new ReferenceBalancer(known, fault)),
                this::output);
        assertTrue(output().contains(words), this::output);
        if (end == Demo.RunResult.BROKEN) {
            String request = output().lines()
                    .filter(l -> l.startsWith("order o"))
                    .findFirst()
                    .orElseThrow();
            assertTrue(request.contains(words.replace(":", "")), request);
            assertTrue(output().contains("asked, UNSAFE"), this::output);
        }
    }

    /** Where no request is accepted no rule is broken either: that is no clean run all the same. */
    @Test
    void aBalancerThatAcceptsNothingIsNotClean() throws IOException, InterruptedException, Problems.Bad {
        assertEquals(
                Demo.RunResult.BROKEN,
                play(
                        ScenarioReaderTest.SMALL.replace("\"2s\"", "\"1s\""),
                        (scenario, known, discovery) ->
                                new ReferenceBalancer(known, ReferenceBalancer.Fault.KNOWS_NOTHING)),
                this::output);
    }

    /** Both protocols on both sides, over a path with loss, while servers are killed and drained. */
    @Test
    void theRealBalancerKeepsTheRulesOverBothHttpVersions() throws IOException, InterruptedException, Problems.Bad {
        String scenario = ScenarioReaderTest.SMALL
                        .replace("\"2s\"\n[[boxes]]", "\"4s\"\n[[boxes]]")
                        .replace("count = 4", "count = 8\ncores = 4")
                + """
            [[fault]]
            at = "1s"
            what = "kill"
            boxes = "box-1"
            lasting = "1s"
            [[fault]]
            at = "1s"
            what = "drain"
            boxes = "box-3"
            lasting = "2s"
            """;
        Http3Run run = new Http3Run(0.02, 4, 1);
        try (PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
                Demo demo = new Demo(
                        ScenarioReader.read("test.toml", scenario),
                        (s, known, discovery) -> BalancerProcess.http3(CLASS_PATH, s, discovery, run.pem(), 60),
                        run,
                        out,
                        ProgressDisplay.Mode.PLAIN)) {
            assertEquals(Demo.RunResult.CLEAN, demo.play(), this::output);
        }
        assertTrue(output().contains("booked twice: 0, refused after it ran: 0, unanswered: 0"), this::output);
    }

    /** Servers are killed with requests in flight and restart in slow start; others are drained or stalled. */
    @Test
    void theRealBalancerKeepsTheRulesUnderServerAndDiscoveryFaults()
            throws IOException, InterruptedException, Problems.Bad {
        assertEquals(Demo.RunResult.CLEAN, play(MANY_FAULTS, REAL), this::output);
        assertTrue(output().contains("unanswered: 0"), this::output);
        assertTrue(output().contains("event=stopped "), this::output);
    }

    /**
     * The watch is cut off right after a heartbeat: a drain that follows has to be learned by another way in
     * time.
     */
    @Test
    void aDrainIsHonouredAlthoughTheWatchWasCut() throws IOException, InterruptedException, Problems.Bad {
        String scenario = ScenarioReaderTest.SMALL.replace("\"2s\"\n[[boxes]]", "\"11s\"\n[[boxes]]") + """
            [[fault]]
            at = "1900ms"
            what = "watches-cut"
            lasting = "9s"
            [[fault]]
            at = "2s"
            what = "drain"
            boxes = "box-1"
            lasting = "20s"
            """;
        assertEquals(Demo.RunResult.CLEAN, play(scenario, REAL), this::output);
    }
}
