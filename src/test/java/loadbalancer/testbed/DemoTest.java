package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Collectors;
import loadbalancer.config.toml.Problems;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whole runs over loopback: of the real balancer, and of twins whose faults the ledger has to catch. */
class DemoTest {
    // What is served, without the libraries of tests.
    static final String CLASS_PATH = Arrays.stream(
                    System.getProperty("java.class.path").split(java.io.File.pathSeparator))
            .filter(e -> !e.contains("slf4j") && !e.contains("archunit"))
            .collect(Collectors.joining(java.io.File.pathSeparator));

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private Demo.End play(String scenario, Demo.Balancers balancers)
            throws IOException, InterruptedException, Problems.Bad {
        try (PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
                Demo demo = new Demo(ScenarioReader.read("test.toml", scenario), balancers, out, false)) {
            return demo.play();
        }
    }

    private String told() {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static final Demo.Balancers REAL =
            (scenario, known, discovery) -> BalancerProcess.start(CLASS_PATH, scenario, known, discovery, 60);

    @ParameterizedTest
    @CsvSource({
        "NONE, CLEAN, booked twice: 0",
        "DOUBLES, BROKEN, booked twice:",
        "FORGETS, BROKEN, unanswered:",
        "REFUSES_WHAT_RAN, BROKEN, refused after it ran:"
    })
    void theLedgerCatchesABalancerThatBreaksARule(ReferenceBalancer.Fault fault, Demo.End end, String words)
            throws IOException, InterruptedException, Problems.Bad {
        assertEquals(
                end,
                play(
                        ScenarioReaderTest.SMALL.replace("\"2s\"\n[[boxes]]", "\"1s\"\n[[boxes]]"),
                        (scenario, known, discovery) -> new ReferenceBalancer(known, fault)),
                this::told);
        assertTrue(told().contains(words), this::told);
        if (end == Demo.End.BROKEN) {
            String order = told().lines()
                    .filter(l -> l.startsWith("order o"))
                    .findFirst()
                    .orElseThrow();
            assertTrue(order.contains(words.replace(":", "")), order);
            assertTrue(told().contains("asked, UNSAFE"), this::told);
        }
    }

    /** Nothing is booked twice or unanswered where nothing is taken at all: that is no clean run. */
    @Test
    void aBalancerThatTakesNothingIsNotClean() throws IOException, InterruptedException, Problems.Bad {
        assertEquals(
                Demo.End.BROKEN,
                play(
                        ScenarioReaderTest.SMALL.replace("\"2s\"", "\"1s\""),
                        (scenario, known, discovery) ->
                                new ReferenceBalancer(known, ReferenceBalancer.Fault.KNOWS_NOTHING)),
                this::told);
    }

    /** Both protocols on both sides, over a path that loses, while boxes die and drain. */
    @Test
    void theRealBalancerKeepsTheRulesOverBothProtocols() throws IOException, InterruptedException, Problems.Bad {
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
                        false)) {
            assertEquals(Demo.End.CLEAN, demo.play(), this::told);
        }
        assertTrue(told().contains("booked twice: 0, refused after it ran: 0, unanswered: 0"), this::told);
    }

    /** Half of the boxes die with what they hold, and come back cold; others drain and are lied about. */
    @Test
    void theRealBalancerKeepsTheRulesThroughItsFaults() throws IOException, InterruptedException, Problems.Bad {
        String scenario = ScenarioReaderTest.SMALL
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
        assertEquals(Demo.End.CLEAN, play(scenario, REAL), this::told);
        assertTrue(told().contains("unanswered: 0"), this::told);
        assertTrue(told().contains("stopped: "), this::told);
    }

    /**
     * The watch's connection is cut off right after a beat: what drains then has to be learned anew in
     * time.
     */
    @Test
    void aDrainIsKeptThatACutWatchDoesNotTell() throws IOException, InterruptedException, Problems.Bad {
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
        assertEquals(Demo.End.CLEAN, play(scenario, REAL), this::told);
    }
}
