package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What users of the library rely on. */
class EmbeddingTest {
    private static final RequestClass SAFE = PolicyTestHarness.kind(Effect.SAFE, Scope.ALL);

    @Test
    void theExampleOfTheReadmeRuns() throws IOException {
        String readme = Files.readString(Path.of("README.md"));
        String example = Files.readString(Path.of("src/test/java/loadbalancer/policy/EmbeddingExample.java"));
        int from = readme.indexOf("```java\n") + 8;
        String shown = readme.substring(from, readme.indexOf("```\n", from));
        assertTrue(example.contains(shown.strip()), "the README shows the code of Example.java");
        assertEquals(List.of("send r1 to a:80"), EmbeddingExample.run());
    }

    @Test
    void impossibleSettingsAreNamed() {
        assertEquals(
                "impossible aim: 0",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new RequestClass(Effect.SAFE, Scope.ALL, 0, 0, 1, 0, 1, 0, false))
                        .getMessage());
        assertEquals(
                "impossible coldFrom: 0.0",
                assertThrows(IllegalArgumentException.class, () -> new Policy.Bounds(1, 1, 1, 0, 1, 2, 1, 0))
                        .getMessage());
        assertEquals(
                "impossible maxAttempts: 0",
                assertThrows(IllegalArgumentException.class, () -> new Policy.Limits(0, true, true, true, 1, 0))
                        .getMessage());
        assertEquals(
                "impossible classes: none",
                assertThrows(IllegalArgumentException.class, () -> PolicyTestHarness.settings())
                        .getMessage());
    }

    @ParameterizedTest
    @CsvSource({"0, 0, impossible balancers: 0", "2, 2, impossible rank: 2", "2, -1, impossible rank: -1"})
    void impossibleNumbersOfBalancersAreNamed(int balancers, int rank, String complaint) {
        Policy.Settings s = PolicyTestHarness.settings(SAFE);
        assertEquals(
                complaint,
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new Policy.Settings(
                                        balancers,
                                        rank,
                                        0,
                                        s.classes(),
                                        List.of(),
                                        1,
                                        s.goal(),
                                        s.prices(),
                                        false,
                                        s.discovery(),
                                        s.reports(),
                                        false,
                                        s.limits(),
                                        s.bounds(),
                                        1_000))
                        .getMessage());
    }

    /** Settings unlike any deployment: sensible behaviour, every request answered. */
    @ParameterizedTest
    @CsvSource({
        // servers, balancers, aim, deadline, attempts, copies, rate a second, latency
        "1, 1, 600000, 1200000, 3, true, 20, 20000",
        "60, 12, 600000, 1200000, 3, true, 200, 40000",
        "5, 2, 4000, 10000, 3, true, 500, 1000",
        "8, 3, 20000000, 60000000, 3, false, 8, 2000000",
        "6, 1, 600000, 1200000, 1, false, 50, 30000",
    })
    void oddSettingsAreServed(
            int servers, int balancers, long aim, long deadline, int attempts, boolean copies, int rate, long latency) {
        for (Effect effect : Effect.values()) {
            RequestClass kind = new RequestClass(effect, Scope.CELL, deadline, aim, deadline, 0, 1, 0, false);
            Policy.Settings base =
                    PolicyTestHarness.settings(balancers, copies, Policy.Discovery.PUSH, List.of(), kind);
            PolicyTestHarness harness = new PolicyTestHarness(
                    new Policy.Settings(
                            balancers,
                            0,
                            0,
                            base.classes(),
                            List.of(),
                            1,
                            base.goal(),
                            base.prices(),
                            false,
                            base.discovery(),
                            Policy.Reports.NONE,
                            false,
                            new Policy.Limits(attempts, copies, false, false, 1000, 0),
                            base.bounds(),
                            1_000),
                    9);
            harness.list(ListKind.PERSISTED, PolicyTestHarness.fleet(servers));
            for (int i = 0; i < 400; i++) {
                harness.request("r" + i, 0, 0, deadline);
                harness.pass(1_000_000 / rate);
                harness.sends.stream()
                        .filter(s -> !s.ended && harness.now - s.at >= latency)
                        .toList()
                        .forEach(s -> harness.end(s, Outcome.OK));
            }
            harness.pass(deadline);
            harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, Outcome.TIMEOUT));
            harness.pass(deadline);
            assertEquals(400, harness.finals.size());
            assertEquals(0, harness.doubleFinals);
            long ok = harness.finals.values().stream().filter("ok"::equals).count();
            assertTrue(ok >= 360, "served " + ok + " of 400, " + effect);
        }
    }

    @Test
    void memoryDoesNotGrowWithTime() throws ReflectiveOperationException {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 1)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(4));
        for (int i = 0; i < 30_000; i++) {
            PolicyTestHarness.Sent sent = harness.request("r" + i, 0);
            harness.pass(5_000);
            harness.sends.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> harness.end(s, s.number % 7 == 6 ? Outcome.ERROR : Outcome.OK));
            if (i % 50 == 0) { // machines are replaced under new names
                harness.list(
                        ListKind.COMPLETE,
                        List.of(
                                PolicyTestHarness.up("a" + i),
                                PolicyTestHarness.up("b" + i),
                                PolicyTestHarness.up("c")));
                harness.sends.clear();
                harness.attempts.clear();
                harness.finals.clear();
                harness.log.clear();
            }
            assertTrue(sent == null || sent.ended);
        }
        harness.list(ListKind.COMPLETE, List.of(new Server("c", State.UP, 0, 1, 0, 0, 0)));
        assertEquals(0, size(harness.policy, "requests"));
        assertTrue(size(field(harness.policy, "endpoints"), "servers") <= 1);
    }

    @Test
    void theReadmeQuotesLogLinesThatTheModuleWrites() throws IOException {
        String sources = sourcesOfThePackage();
        String page = Files.readString(Path.of("docs/on-call.md"));
        for (String line : List.of(
                "load_shedding level=",
                "server_ejected server=",
                " duration_ms=",
                "server_recovered server=",
                "discovery_failed attempts=")) {
            assertTrue(sources.contains(line), "the module writes: " + line);
            assertTrue(page.contains(line.strip()), "the on-call page names: " + line);
        }
    }

    private static String sourcesOfThePackage() throws IOException {
        StringBuilder sources = new StringBuilder();
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(Path.of("src/main/java/loadbalancer/policy"), "*.java")) {
            for (Path file : files) {
                sources.append(Files.readString(file));
            }
        }
        return sources.toString();
    }

    private static Object field(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }

    private static int size(Object owner, String name) throws ReflectiveOperationException {
        Object value = field(owner, name);
        return value instanceof Map ? ((Map<?, ?>) value).size() : ((Collection<?>) value).size();
    }
}
