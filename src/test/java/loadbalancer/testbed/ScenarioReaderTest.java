package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import loadbalancer.config.toml.Problems;
import org.junit.jupiter.api.Test;

class ScenarioReaderTest {
    static final String SMALL = """
        rate = 200
        lasting = "2s"
        [[boxes]]
        name = "box"
        count = 4
        [[class]]
        name = "read"
        effect = "safe"
        work = "2ms"
        aim = "100ms"
        deadline = "1s"
        [[class]]
        name = "order"
        effect = "unsafe"
        work = "2ms"
        aim = "200ms"
        deadline = "2s"
        """;

    @Test
    void everyProblemIsReportedAtOnceInFileOrder() {
        String text = """
            rate = "many"
            lastin = "2s"
            connections = 0
            [cold]
            ramp = "8"
            [[boxes]]
            name = "a"
            cores = 2.5e9
            [[boxes]]
            name = "a"
            [[class]]
            name = "read"
            effect = "harmless"
            work = "2ms"
            aim = "2s"
            deadline = "1s"
            [[fault]]
            at = "1s"
            what = "stal"
            boxes = "b-1"
            """;
        List<String> problems = assertThrows(Problems.Bad.class, () -> ScenarioReader.read("f.toml", text))
                .problems();
        assertEquals(
                List.of(
                        "f.toml:1: rate: not a number: many",
                        "f.toml:2: lastin: unknown; the nearest known is 'lasting'",
                        "f.toml:3: connections: not between 1 and 10000: 0",
                        "f.toml:5: cold.ramp: not a time like 250ms or 1.5s: '8'",
                        "f.toml:8: boxes[0].cores: not between 1 and 1000: 2.5E9",
                        "f.toml:9: boxes[1].name: a second group of this name: 'a'",
                        "f.toml:11: class[0].aim: longer than its deadline",
                        "f.toml:13: class[0].effect: not one of safe, keyed, unsafe: 'harmless'",
                        "f.toml:17: fault[0].boxes: no such box: 'b-1'; there are a-1, a-1",
                        "f.toml:19: fault[0].what: not one of stall, drain, kill, slow, errors, fast-errors, refuse, "
                                + "reset, late-connections, discovery-silent, discovery-down, watches-cut, "
                                + "discovery-lies: 'stal'"),
                problems);
    }

    /** Scenario files of 2 December 2026 go on meaning the same. */
    @Test
    void theRecordedScenarioFileIsReadUnchanged() throws IOException, Problems.Bad {
        String text;
        try (InputStream in = ScenarioReaderTest.class.getResourceAsStream("recorded-surge.toml")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        Scenario scenario = ScenarioReader.read("f.toml", text);
        assertEquals(2_180, scenario.seed());
        assertEquals(2_180, scenario.rate());
        assertEquals(
                List.of("fast", "slow"),
                scenario.serverGroups().stream().map(Scenario.ServerGroup::name).toList());
        assertEquals(
                List.of(150_000L, 250_000L, 600_000L),
                scenario.classes().stream()
                        .map(Scenario.RequestClass::latencyObjectiveMicros)
                        .toList());
        assertEquals(11, scenario.faults().size());
    }

    @Test
    void missingKeysAreReported() {
        assertEquals(
                List.of(
                        "f.toml:1: rate: missing",
                        "f.toml:1: class: missing: at least one [[class]]",
                        "f.toml:1: boxes[0].name: missing"),
                assertThrows(Problems.Bad.class, () -> ScenarioReader.read("f.toml", "[[boxes]]\n")).problems().stream()
                        .sorted(java.util.Comparator.comparing((String p) -> !p.contains("rate"))
                                .thenComparing(p -> p.contains("boxes")))
                        .toList());
    }

    @Test
    void aSyntaxErrorIsReportedWithItsLine() {
        assertEquals(
                "f.toml:2: not TOML",
                assertThrows(Problems.Bad.class, () -> ScenarioReader.read("f.toml", "rate = 1\nlasting = = 2\n"))
                        .problems()
                        .get(0)
                        .substring(0, 18));
    }

    @Test
    void theSameSeedGivesTheSameScheduleAndAnotherSeedAnother() throws Problems.Bad {
        Scenario scenario = ScenarioReader.read("f.toml", SMALL);
        List<ArrivalSchedule.ScheduledRequest> first = ArrivalSchedule.of(scenario);
        assertEquals(first, ArrivalSchedule.of(scenario));
        assertEquals(false, first.equals(ArrivalSchedule.of(ScenarioReader.read("f.toml", "seed = 2\n" + SMALL))));
        assertEquals(400, first.size(), 80);
    }
}
