package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The four rules for each kind of request class, and over random but legal sequences of events. */
class FourRulesTest {
    private static final RequestClass UNSAFE = PolicyTestHarness.requestClass(Effect.UNSAFE, Scope.ALL);
    private static final RequestClass SAFE = PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL);

    private static PolicyTestHarness warmHarness(RequestClass requestClass) {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(requestClass), 5)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    private static PolicyTestHarness warmHarnessWithoutHedging(RequestClass requestClass) {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(1, false, Policy.Discovery.PUSH, List.of(), requestClass), 5)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void anUnsafeRequestThatMayHaveRunFails(Outcome outcome) {
        PolicyTestHarness harness = warmHarness(UNSAFE);
        harness.endAttempt(harness.request("r", 0), outcome);
        assertEquals("failed", harness.finalResponses.get("r"));
        assertEquals(1, harness.attemptsOf("r").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"FULL", "CONNECT_FAILED"})
    void anUnsafeRequestThatNeverRanIsRetriedElsewhere(Outcome outcome) {
        PolicyTestHarness harness = warmHarness(UNSAFE);
        PolicyTestHarness.SentAttempt first = harness.request("r", 0);
        harness.endAttempt(first, outcome);
        assertEquals(2, harness.attemptsOf("r").size());
        assertFalse(harness.attemptsOf("r").get(1).server.equals(first.server));
    }

    /** Servers drop repeats for 2 s from the first send, and a connection may be established later than that. */
    @Test
    void aRepeatOfAKeyedRequestCarriesAStartLimit() {
        PolicyTestHarness harness = warmHarnessWithoutHedging(PolicyTestHarness.requestClass(Effect.KEYED, Scope.CELL));
        PolicyTestHarness.SentAttempt first = harness.request("r", 0);
        harness.advanceTime(400_000);
        harness.endAttempt(first, Outcome.RESET);
        assertEquals(2, harness.attemptsOf("r").size());
        long sendWithinMicros = harness.lastSendWithinMicros.get("r");
        assertTrue(
                sendWithinMicros > 1_500_000 && sendWithinMicros <= first.sentAtMicros + 2_000_000 - harness.nowMicros,
                "start limit in µs: " + sendWithinMicros);
        assertFalse(
                harness.lastSendWithinMicros.containsKey("warm-" + PolicyTestHarness.START_MICROS + "-0"),
                "a first send has no start limit");
    }

    @Test
    void aKeyedRequestPastItsDeduplicationWindowFailsAtOnce() {
        RequestClass requestClass = new RequestClass(
                Effect.KEYED,
                Scope.CELL,
                300_000,
                PolicyTestHarness.OBJECTIVE_MICROS,
                PolicyTestHarness.DEADLINE_MICROS,
                0,
                1,
                1,
                false);
        PolicyTestHarness harness = warmHarnessWithoutHedging(requestClass);
        PolicyTestHarness.SentAttempt first = harness.request("r", 0);
        harness.advanceTime(310_000);
        harness.endAttempt(first, Outcome.RESET);
        assertEquals("failed", harness.finalResponses.get("r"), "the request must fail before its deadline is near");
        assertEquals(1, harness.attemptsOf("r").size());
    }

    @Test
    void anUnsafeRequestIsNotHedged() {
        PolicyTestHarness harness = warmHarness(UNSAFE);
        harness.request("r", 0);
        harness.advanceTime(PolicyTestHarness.DEADLINE_MICROS - 100_000);
        assertEquals(1, harness.attemptsOf("r").size());
    }

    @Test
    void noRequestIsHedgedWhereTheLimitsForbidIt() {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(1, false, Policy.Discovery.PUSH, List.of(), SAFE), 5)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        PolicyTestHarness.SentAttempt first = harness.request("r", 0);
        assertTrue(
                first.timeoutMicros > 0 && first.timeoutMicros < PolicyTestHarness.DEADLINE_MICROS,
                "the timeout must leave time for another attempt");
        harness.advanceTime(PolicyTestHarness.OBJECTIVE_MICROS);
        assertEquals(1, harness.attemptsOf("r").size());
    }

    @ParameterizedTest
    @EnumSource(Scope.class)
    void aKeyedRequestStaysWithinItsDeduplicationScope(Scope scope) {
        for (int seed = 0; seed < 20; seed++) {
            PolicyTestHarness harness = new PolicyTestHarness(
                            PolicyTestHarness.settings(PolicyTestHarness.requestClass(Effect.KEYED, scope)), seed)
                    .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
            harness.warmUp(40, 0, 40_000);
            PolicyTestHarness.SentAttempt first = harness.request("r", 0);
            harness.endAttempt(first, Outcome.ERROR);
            PolicyTestHarness.SentAttempt second = harness.attemptsOf("r").get(1);
            if (scope != Scope.ALL) { // cells and zones alternate over the fleet
                assertEquals(first.server.charAt(1) % 2, second.server.charAt(1) % 2);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Scope.class)
    void aKeyedRequestIsNotSentAgainAfterItsDeduplicationWindow(Scope scope) {
        PolicyTestHarness harness = warmHarness(PolicyTestHarness.requestClass(Effect.KEYED, scope));
        PolicyTestHarness.SentAttempt first = harness.request("r", 0);
        harness.advanceTime(2_500_000); // the deduplication window is 2 s from the first send
        for (PolicyTestHarness.SentAttempt attempt : harness.attemptsOf("r")) {
            assertTrue(attempt.sentAtMicros - first.sentAtMicros < 2_000_000);
        }
        int attemptsBefore = harness.attemptsOf("r").size();
        harness.attemptsOf("r").forEach(s -> harness.endAttempt(s, Outcome.ERROR));
        harness.advanceTime(1_000_000);
        assertEquals(attemptsBefore, harness.attemptsOf("r").size());
        assertEquals(scope == Scope.ALL ? "rejected" : "failed", harness.finalResponses.get("r"));
    }

    @Test
    void noRequestIsSentToADrainingOrRemovedServer() {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 1)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(3));
        harness.updateEndpoints(ListKind.PARTIAL, List.of(new Server("s0", State.DRAINING, 0, 1, 0, 0, 0)));
        harness.updateEndpoints(ListKind.PARTIAL, List.of(new Server("s1", State.GONE, 0, 1, 1, 1, 1)));
        for (int i = 0; i < 30; i++) {
            PolicyTestHarness.SentAttempt sent = harness.request("r" + i, 0);
            assertEquals("s2", sent.server);
            harness.advanceTime(30_000);
            harness.endAttempt(sent, Outcome.OK);
        }
        harness.updateEndpoints(ListKind.COMPLETE, List.of(PolicyTestHarness.runningServer("s1")));
        assertEquals("s1", harness.request("x", 0).server, "a server that a complete list lacks must be removed");
    }

    @Test
    void everyRequestIsAnsweredWithoutListedServers() {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE, UNSAFE), 1)
                .updateEndpoints(ListKind.PERSISTED, List.of());
        assertNull(harness.request("a", 0));
        assertNull(harness.request("b", 1, 0, 6_000));
        harness.advanceTime(30_000);
        assertTrue(harness.finalResponses.containsKey("b"), "a request with hardly any time left is answered at once");
        harness.advanceTime(PolicyTestHarness.DEADLINE_MICROS);
        assertEquals("rejected", harness.finalResponses.get("a"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void aColdServerGetsNoMoreThanItsProportion(int balancers) {
        // Four warm servers give this balancer 50 responses per second; the cold one may take its part of a quarter.
        Policy.Settings settings = PolicyTestHarness.settings(balancers, true, Policy.Discovery.PUSH, List.of(), SAFE);
        PolicyTestHarness harness =
                new PolicyTestHarness(settings, 1).updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(4));
        harness.warmUp(300, 0, 20_000);
        harness.updateEndpoints(ListKind.PARTIAL, List.of(new Server("cold", State.UP, harness.nowMicros, 1, 0, 0, 0)));
        long addedAtMicros = harness.nowMicros;
        harness.warmUp(150, 0, 20_000);
        long sent = harness.countAttemptsTo("cold", addedAtMicros);
        double seconds = (harness.nowMicros - addedAtMicros) / 1e6;
        double maxProportion = 0.2 + 0.8 * seconds / 20; // at the end; lower before
        assertTrue(sent <= 50.0 / 4 * maxProportion * 2.5 * seconds, sent + " sends in " + seconds + " s");
    }

    @Test
    void aRestartUnderTheSameIdIsColdAgain() {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 1)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(2));
        harness.warmUp(100, 0, 20_000);
        harness.updateEndpoints(ListKind.PARTIAL, List.of(new Server("s0", State.UP, harness.nowMicros, 1, 0, 0, 0)));
        long restartedAtMicros = harness.nowMicros;
        harness.warmUp(50, 0, 20_000);
        long sentWhileCold = harness.countAttemptsTo("s0", restartedAtMicros);
        assertTrue(sentWhileCold < 15, "a cold server took " + sentWhileCold + " of 50");
    }

    /** Unusual but legal events: late outcomes, stale, empty or partial lists, restarts, clients that disconnect. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomEventsKeepTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> classes = List.of(
                SAFE,
                UNSAFE,
                PolicyTestHarness.requestClass(Effect.KEYED, Scope.ALL),
                PolicyTestHarness.requestClass(Effect.KEYED, Scope.CELL),
                PolicyTestHarness.requestClass(Effect.KEYED, Scope.ZONE));
        boolean allowHedging = random.nextBoolean();
        PolicyTestHarness harness = new PolicyTestHarness(
                PolicyTestHarness.settings(
                        1 + random.nextInt(4),
                        allowHedging,
                        random.nextBoolean() ? Policy.Discovery.ASK : Policy.Discovery.PUSH,
                        List.of(new Policy.Tenant(5), new Policy.Tenant(50)),
                        classes.toArray(new RequestClass[0])),
                seed);
        Map<String, Server> servers = new TreeMap<>();
        Map<String, Long> deadlines = new TreeMap<>();
        Map<String, Integer> classById = new TreeMap<>();
        Map<String, Long> unusableSince = new TreeMap<>();
        Map<String, Map<Integer, Outcome>> outcomesById = new TreeMap<>();
        List<String> disconnected = new ArrayList<>();
        harness.updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(random.nextInt(8)));
        PolicyTestHarness.fleet(8).forEach(s -> servers.put(s.id(), s));
        int checkedSends = 0;
        for (int step = 0; step < 6000; step++) {
            int eventDraw = random.nextInt(100);
            if (eventDraw < 45) {
                String id = "r" + step;
                int classIndex = random.nextInt(classes.size());
                long timeLeftMicros =
                        random.nextInt(10) == 0 ? random.nextLong(30_000) : 200_000 + random.nextLong(2_800_000);
                deadlines.put(id, harness.nowMicros + timeLeftMicros);
                classById.put(id, classIndex);
                harness.request(id, classIndex, random.nextInt(2), timeLeftMicros);
            } else if (eventDraw < 88) {
                List<PolicyTestHarness.SentAttempt> inFlight =
                        harness.sentAttempts.stream().filter(s -> !s.ended).toList();
                if (!inFlight.isEmpty()) {
                    PolicyTestHarness.SentAttempt sent = inFlight.get(random.nextInt(inFlight.size()));
                    Outcome[] outcomes = Outcome.values();
                    Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : outcomes[random.nextInt(outcomes.length)];
                    if (outcome == Outcome.OK && disconnected.contains(sent.request)) {
                        outcome = Outcome.CANCELLED;
                    }
                    outcomesById
                            .computeIfAbsent(sent.request, k -> new TreeMap<>())
                            .put(sent.number, outcome);
                    harness.endAttempt(sent, outcome);
                }
            } else if (eventDraw < 90 && !deadlines.isEmpty()) {
                String id = "r" + random.nextInt(step + 1);
                if (deadlines.containsKey(id) && !harness.finalResponses.containsKey(id)) {
                    harness.finalResponses.put(id, "disconnected");
                    disconnected.add(id);
                    harness.policy.clientDisconnected(harness.nowMicros, id, harness);
                }
            } else if (eventDraw < 93) {
                String id = "s" + random.nextInt(8);
                State state = State.values()[random.nextInt(3)];
                long startedAtMicros = random.nextBoolean() ? 0 : harness.nowMicros - random.nextLong(5_000_000);
                Server server = new Server(
                        id,
                        state,
                        startedAtMicros,
                        1 + random.nextInt(3),
                        random.nextInt(2),
                        random.nextInt(2),
                        random.nextInt(2));
                servers.put(id, server);
                harness.updateEndpoints(ListKind.PARTIAL, List.of(server));
                if (state == State.UP) {
                    unusableSince.remove(id);
                } else {
                    unusableSince.put(id, harness.nowMicros);
                }
            } else if (eventDraw < 94) {
                harness.updateEndpoints(ListKind.FAILED, List.of());
            } else {
                harness.advanceTime(random.nextLong(60_000));
            }
            // An attempt ends at its own timeout or at its request's deadline, as it does in the real balancer.
            for (PolicyTestHarness.SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
                long endsAtMicros = attempt.timeoutMicros > 0
                        ? Math.min(attempt.sentAtMicros + attempt.timeoutMicros, deadlines.get(attempt.request))
                        : deadlines.get(attempt.request);
                if (!attempt.ended && harness.nowMicros >= endsAtMicros) {
                    outcomesById
                            .computeIfAbsent(attempt.request, k -> new TreeMap<>())
                            .put(attempt.number, Outcome.TIMEOUT);
                    harness.endAttempt(attempt, Outcome.TIMEOUT);
                }
            }
            for (; checkedSends < harness.sentAttempts.size(); checkedSends++) {
                PolicyTestHarness.SentAttempt attempt = harness.sentAttempts.get(checkedSends);
                Long unusableFrom = unusableSince.get(attempt.server);
                assertTrue(
                        unusableFrom == null || attempt.sentAtMicros <= unusableFrom,
                        "sent to a draining or removed server: " + attempt.server);
                assertMayBeSentAgain(
                        harness, attempt, classes.get(classById.get(attempt.request)), outcomesById, allowHedging);
            }
        }
        harness.advanceTime(PolicyTestHarness.DEADLINE_MICROS + 100_000);
        for (PolicyTestHarness.SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
            if (!attempt.ended) {
                harness.endAttempt(attempt, Outcome.TIMEOUT);
            }
        }
        harness.advanceTime(PolicyTestHarness.DEADLINE_MICROS + 100_000);
        assertEquals(0, harness.duplicateFinalResponses);
        for (String id : deadlines.keySet()) {
            assertTrue(harness.finalResponses.containsKey(id), "no final response for " + id);
        }
    }

    private static void assertMayBeSentAgain(
            PolicyTestHarness harness,
            PolicyTestHarness.SentAttempt attempt,
            RequestClass requestClass,
            Map<String, Map<Integer, Outcome>> outcomesById,
            boolean allowHedging) {
        for (PolicyTestHarness.SentAttempt earlier : harness.attemptsOf(attempt.request)) {
            if (earlier.number >= attempt.number) {
                continue;
            }
            Outcome outcome =
                    outcomesById.getOrDefault(attempt.request, Map.of()).get(earlier.number);
            boolean stillInFlight = outcome == null;
            assertTrue(allowHedging || !stillInFlight, "two attempts in flight though hedging is not allowed");
            if (stillInFlight || !outcome.neverRan()) {
                assertTrue(
                        requestClass.effect() != Effect.UNSAFE, "an unsafe request that may have run was sent again");
                assertTrue(
                        requestClass.effect() != Effect.KEYED
                                || attempt.sentAtMicros - earlier.sentAtMicros < requestClass.keyTtlMicros(),
                        "a keyed request was sent after its deduplication window");
            }
            assertTrue(outcome != Outcome.OK, "sent again after it had been served");
        }
    }
}
