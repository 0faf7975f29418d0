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

/** Order by key and placement. */
class OrderAndPlacementTest {
    private static final RequestClass SAFE = PolicyTestHarness.kind(Effect.SAFE, Scope.ALL);

    private static RequestClass ordered(Effect effect) {
        return new RequestClass(
                effect,
                Scope.ALL,
                2_000_000,
                PolicyTestHarness.AIM,
                PolicyTestHarness.DEADLINE,
                0,
                1,
                0.3,
                false,
                true,
                Set.of(),
                Set.of());
    }

    private static RequestClass bound(Set<Integer> zones, Set<Integer> kinds) {
        return new RequestClass(
                Effect.SAFE,
                Scope.ALL,
                0,
                PolicyTestHarness.AIM,
                PolicyTestHarness.DEADLINE,
                0,
                1,
                0.3,
                false,
                false,
                zones,
                kinds);
    }

    private static PolicyTestHarness fleet(RequestClass... kinds) {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(kinds), 3)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(30, 0, 20_000);
        return harness;
    }

    @Test
    void aKeysRequestsGoOneByOneInTheOrderTaken() {
        PolicyTestHarness harness = fleet(ordered(Effect.KEYED), ordered(Effect.SAFE));
        PolicyTestHarness.Sent first = harness.keyed("a", 0, "k");
        assertNull(harness.keyed("b", 1, "k"), "all ordered classes share their keys");
        assertNull(harness.keyed("c", 0, "k"));
        assertTrue(harness.keyed("other", 0, "l") != null, "another key is not held up");
        assertTrue(harness.request("none", 0) != null, "nor is a request without a key");
        harness.pass(30_000);
        harness.end(first, Outcome.OK);
        assertEquals(1, harness.sentFor("b").size());
        assertEquals(0, harness.sentFor("c").size());
        harness.end(harness.sentFor("b").get(0), Outcome.OK);
        assertEquals(1, harness.sentFor("c").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"TIMEOUT", "RESET", "CANCELLED"})
    void aKeyRestsAfterAnAttemptThatMayStillRun(Outcome outcome) {
        PolicyTestHarness harness = fleet(ordered(Effect.UNSAFE));
        PolicyTestHarness.Sent first = harness.keyed("a", 0, "k");
        harness.keyed("b", 0, "k");
        harness.pass(30_000);
        harness.end(first, outcome);
        assertEquals("failed", harness.finals.get("a"));
        harness.pass(PolicyTestHarness.PAUSE - 10_000);
        assertEquals(0, harness.sentFor("b").size(), "the key rests");
        harness.pass(50_000);
        assertEquals(1, harness.sentFor("b").size(), "then the next one goes");
    }

    @Test
    void theKeyRestsAlsoWhenTheClientHasLeft() {
        PolicyTestHarness harness = fleet(ordered(Effect.SAFE));
        PolicyTestHarness.Sent first = harness.keyed("a", 0, "k");
        harness.keyed("b", 0, "k");
        harness.finals.put("a", "disconnected");
        harness.policy.clientDisconnected(harness.now, "a", harness);
        harness.pass(50_000);
        assertEquals(0, harness.sentFor("b").size(), "its attempt has no outcome yet");
        harness.end(first, Outcome.CANCELLED);
        harness.pass(PolicyTestHarness.PAUSE - 10_000);
        assertEquals(0, harness.sentFor("b").size());
        harness.pass(50_000);
        assertEquals(1, harness.sentFor("b").size());
    }

    @Test
    void theRequestThatMayRunIsRetriedWithoutAWait() {
        PolicyTestHarness harness = fleet(ordered(Effect.SAFE));
        harness.end(harness.keyed("a", 0, "k"), Outcome.RESET);
        assertEquals(2, harness.sentFor("a").size());
    }

    @Test
    void aRequestThatNeverMayRunIsFinishedInTime() {
        PolicyTestHarness harness = fleet(ordered(Effect.SAFE));
        harness.keyed("a", 0, "k");
        long from = harness.now;
        harness.keyed("b", 0, "k");
        harness.pass(PolicyTestHarness.DEADLINE);
        assertEquals("refused", harness.finals.get("b"));
        assertTrue(harness.now - from <= PolicyTestHarness.DEADLINE);
    }

    @Test
    void aBoundClassGoesNowhereElse() {
        PolicyTestHarness harness = fleet(SAFE, bound(Set.of(1), Set.of()), bound(Set.of(), Set.of(0)));
        for (int i = 0; i < 40; i++) { // zones and kinds alternate over the fleet
            assertEquals(1, harness.request("z" + i, 1).server.charAt(1) % 2);
            assertEquals(0, harness.request("k" + i, 2).server.charAt(1) % 2);
            harness.pass(10_000);
        }
        harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, Outcome.ERROR));
        harness.pass(PolicyTestHarness.DEADLINE);
        harness.sends.stream()
                .filter(s -> s.request.startsWith("z"))
                .forEach(s -> assertEquals(1, s.server.charAt(1) % 2, "retries and copies too"));
        harness.sends.stream()
                .filter(s -> s.request.startsWith("k"))
                .forEach(s -> assertEquals(0, s.server.charAt(1) % 2, "retries and copies too"));
    }

    @Test
    void aBoundRequestWaitsForAServerOfItsOwnWithoutHoldingUpOthers() {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(SAFE, bound(Set.of(7), Set.of())), 3)
                .list(ListKind.PERSISTED, List.of());
        harness.request("bound", 1);
        harness.request("free", 0);
        harness.list(ListKind.PARTIAL, PolicyTestHarness.fleet(4));
        assertEquals(1, harness.sentFor("free").size());
        assertEquals(0, harness.sentFor("bound").size());
        harness.list(ListKind.PARTIAL, List.of(new Server("own", State.UP, 0, 1, 0, 0, 7)));
        assertEquals("own", harness.sentFor("bound").get(0).server);
        harness.request("bound2", 1);
        harness.list(ListKind.PARTIAL, List.of(new Server("own", State.GONE, 0, 1, 0, 0, 7)));
        harness.request("bound3", 1);
        harness.pass(PolicyTestHarness.DEADLINE);
        assertEquals("refused", harness.finals.get("bound3"), "held, then answered in time");
    }
}
