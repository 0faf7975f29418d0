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

/** The behaviour that programs that embed the library rely on. */
class EmbeddingTest {
    private static final RequestClass SAFE = PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL);

    @Test
    void theReadmeExampleRuns() throws IOException {
        String readme = Files.readString(Path.of("README.md"));
        String example = Files.readString(Path.of("src/test/java/loadbalancer/policy/EmbeddingExample.java"));
        int from = readme.indexOf("```java\n") + 8;
        String readmeExample = readme.substring(from, readme.indexOf("```\n", from));
        assertTrue(
                example.contains(readmeExample.strip()), "the README's example is not part of EmbeddingExample.java");
        assertEquals(List.of("send r1 to a:80"), EmbeddingExample.run());
    }

    @Test
    void invalidSettingsAreRejectedByName() {
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
    void invalidBalancerNumbersAreRejectedByName(int balancers, int rank, String expectedMessage) {
        Policy.Settings baseSettings = PolicyTestHarness.settings(SAFE);
        assertEquals(
                expectedMessage,
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new Policy.Settings(
                                        balancers,
                                        rank,
                                        0,
                                        baseSettings.classes(),
                                        List.of(),
                                        1,
                                        baseSettings.goal(),
                                        baseSettings.prices(),
                                        false,
                                        baseSettings.discovery(),
                                        baseSettings.reports(),
                                        false,
                                        baseSettings.limits(),
                                        baseSettings.bounds(),
                                        1_000))
                        .getMessage());
    }

    /** Unusual settings: every request gets one final response, and at least 360 of 400 requests are served. */
    @ParameterizedTest
    @CsvSource({
        // servers, balancers, objective, deadline, attempts, hedging, requests per second, latency; times in µs
        "1, 1, 600000, 1200000, 3, true, 20, 20000",
        "60, 12, 600000, 1200000, 3, true, 200, 40000",
        "5, 2, 4000, 10000, 3, true, 500, 1000",
        "8, 3, 20000000, 60000000, 3, false, 8, 2000000",
        "6, 1, 600000, 1200000, 1, false, 50, 30000",
    })
    void unusualSettingsAreServed(
            int servers,
            int balancers,
            long objectiveMicros,
            long deadlineMicros,
            int maxAttempts,
            boolean allowHedging,
            int requestsPerSecond,
            long latencyMicros) {
        for (Effect effect : Effect.values()) {
            RequestClass requestClass = new RequestClass(
                    effect, Scope.CELL, deadlineMicros, objectiveMicros, deadlineMicros, 0, 1, 0, false);
            Policy.Settings baseSettings =
                    PolicyTestHarness.settings(balancers, allowHedging, Policy.Discovery.PUSH, List.of(), requestClass);
            PolicyTestHarness harness = new PolicyTestHarness(
                    new Policy.Settings(
                            balancers,
                            0,
                            0,
                            baseSettings.classes(),
                            List.of(),
                            1,
                            baseSettings.goal(),
                            baseSettings.prices(),
                            false,
                            baseSettings.discovery(),
                            Policy.Reports.NONE,
                            false,
                            new Policy.Limits(maxAttempts, allowHedging, false, false, 1000, 0),
                            baseSettings.bounds(),
                            1_000),
                    9);
            harness.updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(servers));
            for (int i = 0; i < 400; i++) {
                harness.request("r" + i, 0, 0, deadlineMicros);
                harness.advanceTime(1_000_000 / requestsPerSecond);
                harness.sentAttempts.stream()
                        .filter(s -> !s.ended && harness.nowMicros - s.sentAtMicros >= latencyMicros)
                        .toList()
                        .forEach(s -> harness.endAttempt(s, Outcome.OK));
            }
            harness.advanceTime(deadlineMicros);
            harness.sentAttempts.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> harness.endAttempt(s, Outcome.TIMEOUT));
            harness.advanceTime(deadlineMicros);
            assertEquals(400, harness.finalResponses.size());
            assertEquals(0, harness.duplicateFinalResponses);
            long served = harness.finalResponses.values().stream()
                    .filter("ok"::equals)
                    .count();
            assertTrue(served >= 360, "served " + served + " of 400, " + effect);
        }
    }

    @Test
    void memoryDoesNotGrowWithTime() throws ReflectiveOperationException {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 1)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(4));
        for (int i = 0; i < 30_000; i++) {
            PolicyTestHarness.SentAttempt sent = harness.request("r" + i, 0);
            harness.advanceTime(5_000);
            harness.sentAttempts.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> harness.endAttempt(s, s.number % 7 == 6 ? Outcome.ERROR : Outcome.OK));
            if (i % 50 == 0) { // servers are replaced by others with new ids
                harness.updateEndpoints(
                        ListKind.COMPLETE,
                        List.of(
                                PolicyTestHarness.runningServer("a" + i),
                                PolicyTestHarness.runningServer("b" + i),
                                PolicyTestHarness.runningServer("c")));
                harness.sentAttempts.clear();
                harness.attemptCounts.clear();
                harness.finalResponses.clear();
                harness.actionLog.clear();
            }
            assertTrue(sent == null || sent.ended);
        }
        harness.updateEndpoints(ListKind.COMPLETE, List.of(new Server("c", State.UP, 0, 1, 0, 0, 0)));
        assertEquals(0, sizeOf(harness.policy, "requests"));
        assertTrue(sizeOf(field(harness.policy, "endpoints"), "servers") <= 1);
    }

    @Test
    void theOnCallPageQuotesLogLinesThatTheModuleWrites() throws IOException {
        String sources = packageSources();
        String page = Files.readString(Path.of("docs/on-call.md"));
        for (String line : List.of(
                "load_shedding level=",
                "server_ejected server=",
                " duration_ms=",
                "server_recovered server=",
                "discovery_failed attempts=")) {
            assertTrue(sources.contains(line), "no source file of the module writes: " + line);
            assertTrue(page.contains(line.strip()), "the on-call page does not quote: " + line);
        }
    }

    private static String packageSources() throws IOException {
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

    private static int sizeOf(Object owner, String name) throws ReflectiveOperationException {
        Object value = field(owner, name);
        return value instanceof Map ? ((Map<?, ?>) value).size() : ((Collection<?>) value).size();
    }
}
