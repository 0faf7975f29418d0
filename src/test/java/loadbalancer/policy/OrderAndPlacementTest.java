package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
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

/** Order by key, and placement: classes that may use only some zones or machine models. */
class OrderAndPlacementTest {
    private static final RequestClass SAFE = PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL);

    private static RequestClass orderedClass(Effect effect) {
        return new RequestClass(
                effect,
                Scope.ALL,
                2_000_000,
                PolicyTestHarness.OBJECTIVE_MICROS,
                PolicyTestHarness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false,
                true,
                Set.of(),
                Set.of());
    }

    private static RequestClass restrictedTo(Set<Integer> zones, Set<Integer> machineModels) {
        return new RequestClass(
                Effect.SAFE,
                Scope.ALL,
                0,
                PolicyTestHarness.OBJECTIVE_MICROS,
                PolicyTestHarness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false,
                false,
                zones,
                machineModels);
    }

    private static PolicyTestHarness warmHarness(RequestClass... classes) {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(classes), 3)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(30, 0, 20_000);
        return harness;
    }

    @Test
    void requestsOfAKeyAreSentOneAtATimeInOrderOfArrival() {
        PolicyTestHarness harness = warmHarness(orderedClass(Effect.KEYED), orderedClass(Effect.SAFE));
        PolicyTestHarness.SentAttempt first = harness.requestWithKey("a", 0, "k");
        assertNull(harness.requestWithKey("b", 1, "k"), "all ordered classes share their keys");
        assertNull(harness.requestWithKey("c", 0, "k"));
        assertTrue(harness.requestWithKey("other", 0, "l") != null, "a request with another key is not delayed");
        assertTrue(harness.request("none", 0) != null, "a request without a key is not delayed");
        harness.advanceTime(30_000);
        harness.endAttempt(first, Outcome.OK);
        assertEquals(1, harness.attemptsOf("b").size());
        assertEquals(0, harness.attemptsOf("c").size());
        harness.endAttempt(harness.attemptsOf("b").get(0), Outcome.OK);
        assertEquals(1, harness.attemptsOf("c").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"TIMEOUT", "RESET", "CANCELLED"})
    void aKeyRestsAfterAnAttemptThatMayStillRun(Outcome outcome) {
        PolicyTestHarness harness = warmHarness(orderedClass(Effect.UNSAFE));
        PolicyTestHarness.SentAttempt first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.advanceTime(30_000);
        harness.endAttempt(first, outcome);
        assertEquals("failed", harness.finalResponses.get("a"));
        harness.advanceTime(PolicyTestHarness.ORDER_PAUSE_MICROS - 10_000);
        assertEquals(0, harness.attemptsOf("b").size(), "the pause of the key is not over");
        harness.advanceTime(50_000);
        assertEquals(1, harness.attemptsOf("b").size(), "the next request is sent after the pause");
    }

    @Test
    void theKeyRestsAlsoAfterTheClientHasDisconnected() {
        PolicyTestHarness harness = warmHarness(orderedClass(Effect.SAFE));
        PolicyTestHarness.SentAttempt first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.finalResponses.put("a", "disconnected");
        harness.policy.clientDisconnected(harness.nowMicros, "a", harness);
        harness.advanceTime(50_000);
        assertEquals(0, harness.attemptsOf("b").size(), "the attempt of the first request has no outcome yet");
        harness.endAttempt(first, Outcome.CANCELLED);
        harness.advanceTime(PolicyTestHarness.ORDER_PAUSE_MICROS - 10_000);
        assertEquals(0, harness.attemptsOf("b").size());
        harness.advanceTime(50_000);
        assertEquals(1, harness.attemptsOf("b").size());
    }

    @Test
    void theFirstRequestOfAKeyIsRetriedWithoutAPause() {
        PolicyTestHarness harness = warmHarness(orderedClass(Effect.SAFE));
        harness.endAttempt(harness.requestWithKey("a", 0, "k"), Outcome.RESET);
        assertEquals(2, harness.attemptsOf("a").size());
    }

    @Test
    void aRequestThatIsNeverItsKeysTurnIsRejectedByItsDeadline() {
        PolicyTestHarness harness = warmHarness(orderedClass(Effect.SAFE));
        harness.requestWithKey("a", 0, "k");
        long submittedAtMicros = harness.nowMicros;
        harness.requestWithKey("b", 0, "k");
        harness.advanceTime(PolicyTestHarness.DEADLINE_MICROS);
        assertEquals("rejected", harness.finalResponses.get("b"));
        assertTrue(harness.nowMicros - submittedAtMicros <= PolicyTestHarness.DEADLINE_MICROS);
    }

    @Test
    void aRestrictedClassIsSentOnlyToItsServers() {
        PolicyTestHarness harness =
                warmHarness(SAFE, restrictedTo(Set.of(1), Set.of()), restrictedTo(Set.of(), Set.of(0)));
        for (int i = 0; i < 40; i++) { // zones and machine models alternate over the fleet
            assertEquals(1, harness.request("z" + i, 1).server.charAt(1) % 2);
            assertEquals(0, harness.request("k" + i, 2).server.charAt(1) % 2);
            harness.advanceTime(10_000);
        }
        harness.sentAttempts.stream().filter(s -> !s.ended).toList().forEach(s -> harness.endAttempt(s, Outcome.ERROR));
        harness.advanceTime(PolicyTestHarness.DEADLINE_MICROS);
        harness.sentAttempts.stream()
                .filter(s -> s.request.startsWith("z"))
                .forEach(s -> assertEquals(1, s.server.charAt(1) % 2, "retries and hedged attempts too"));
        harness.sentAttempts.stream()
                .filter(s -> s.request.startsWith("k"))
                .forEach(s -> assertEquals(0, s.server.charAt(1) % 2, "retries and hedged attempts too"));
    }

    @Test
    void aRestrictedRequestWaitsForAPermittedServerWithoutDelayingOthers() {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(SAFE, restrictedTo(Set.of(7), Set.of())), 3)
                .updateEndpoints(ListKind.PERSISTED, List.of());
        harness.request("bound", 1);
        harness.request("free", 0);
        harness.updateEndpoints(ListKind.PARTIAL, PolicyTestHarness.fleet(4));
        assertEquals(1, harness.attemptsOf("free").size());
        assertEquals(0, harness.attemptsOf("bound").size());
        harness.updateEndpoints(ListKind.PARTIAL, List.of(new Server("own", State.UP, 0, 1, 0, 0, 7)));
        assertEquals("own", harness.attemptsOf("bound").get(0).server);
        harness.request("bound2", 1);
        harness.updateEndpoints(ListKind.PARTIAL, List.of(new Server("own", State.GONE, 0, 1, 0, 0, 7)));
        harness.request("bound3", 1);
        harness.advanceTime(PolicyTestHarness.DEADLINE_MICROS);
        assertEquals("rejected", harness.finalResponses.get("bound3"), "held, then rejected in time");
    }
}
