package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

/** The choice of a server by JSQ-DAS. */
class DispatchTest {
    private static final Policy.Settings SETTINGS =
            PolicyTestHarness.settings(PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL));

    /** Six servers, the size of a subset, three of them of a machine model with a higher weight, so that p is 0.5. */
    private static PolicyTestHarness twoMachineModels(long seed) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            servers.add(new Server("s" + i, State.UP, 0, i < 3 ? 2 : 1, 0, i < 3 ? 0 : 1, 0));
        }
        return new PolicyTestHarness(SETTINGS, seed).updateEndpoints(ListKind.PERSISTED, servers);
    }

    @Test
    void withoutDispatchCountsEachBalancerHasItsOwnRanking() {
        // Guards against ranking by listed weight at a start: all balancers then sent their first requests to the
        // same half of the servers.
        Map<String, Integer> firstServerCounts = new HashMap<>();
        for (int seed = 0; seed < 2000; seed++) {
            firstServerCounts.merge(twoMachineModels(seed).request("r", 0).server, 1, Integer::sum);
        }
        assertEquals(Set.of("s0", "s1", "s2", "s3", "s4", "s5"), firstServerCounts.keySet());
        for (int count : firstServerCounts.values()) {
            assertTrue(
                    count > 250 && count < 420,
                    "first requests are not spread evenly over the servers: " + firstServerCounts);
        }
    }

    @Test
    void tiesAreWonInTheProportionsOfSamplingTwoWithoutReplacement() {
        // Where dispatch counts differ and fix the ranks, ranks 0, 1 and 2 win with probability 2/3, 1/3 and 0.
        Map<Integer, Integer> wins = new HashMap<>();
        for (int seed = 0; seed < 3000; seed++) {
            PolicyTestHarness harness = twoMachineModels(seed);
            List<String> servers = new ArrayList<>();
            for (int i = 0; i < 60; i++) { // so that the dispatch counts differ
                PolicyTestHarness.SentAttempt sent = harness.request("w" + i, 0);
                harness.nowMicros += 1000;
                harness.endAttempt(sent, Outcome.OK);
                servers.add(sent.server);
            }
            Map<String, Integer> counts = new HashMap<>();
            servers.forEach(s -> counts.merge(s, 1, Integer::sum));
            List<String> ranked = counts.entrySet().stream()
                    .sorted((a, b) -> b.getValue() - a.getValue())
                    .map(Map.Entry::getKey)
                    .toList();
            if (new HashSet<>(counts.values()).size() == counts.size()) {
                wins.merge(ranked.indexOf(harness.request("x", 0).server), 1, Integer::sum);
            }
        }
        double total = wins.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(total > 300, "too few samples with distinct counts: " + total);
        assertEquals(0.67, wins.getOrDefault(0, 0) / total, 0.08);
        assertEquals(0.33, wins.getOrDefault(1, 0) / total, 0.08);
        assertEquals(0.0, wins.getOrDefault(2, 0) / total, 0.001, "the last of the top set never wins a tie");
    }

    @Test
    void theShortestSampledQueueWins() {
        // Once each server of the top set has an attempt in flight, one of the other, idle servers must win.
        for (int seed = 0; seed < 50; seed++) {
            PolicyTestHarness harness = twoMachineModels(seed);
            Set<String> busy = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                busy.add(harness.request("r" + i, 0).server);
            }
            if (busy.size() == 3) {
                assertTrue(!busy.contains(harness.request("next", 0).server));
            }
        }
    }

    @Test
    void requestsAreSentWithFewerServersThanAreSampled() {
        for (int size = 1; size <= 3; size++) {
            PolicyTestHarness harness = new PolicyTestHarness(SETTINGS, 7)
                    .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(size));
            assertNotNull(harness.request("r", 0));
        }
    }

    @Test
    void sameEventsGiveSameActions() {
        List<String> actions = actionsOfScript(42);
        assertEquals(actions, actionsOfScript(42));
        assertTrue(!actions.equals(actionsOfScript(43)), "another seed gave the same actions");
    }

    private static List<String> actionsOfScript(long seed) {
        PolicyTestHarness harness = twoMachineModels(seed);
        for (int i = 0; i < 300; i++) {
            PolicyTestHarness.SentAttempt sent = harness.request("r" + i, 0);
            harness.advanceTime(7_000 + i % 13 * 1000);
            if (sent != null) {
                harness.endAttempt(sent, i % 11 == 0 ? Outcome.ERROR : Outcome.OK);
            }
        }
        return harness.actionLog;
    }

    @Test
    void aFastFailureKeepsItsQueuePlaceAndEarnsNoRank() {
        PolicyTestHarness harness =
                new PolicyTestHarness(SETTINGS, 3).updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(4));
        harness.warmUp(40, 0, 50_000);
        PolicyTestHarness.SentAttempt failed = harness.request("bad", 0);
        harness.nowMicros += 500;
        harness.endAttempt(failed, Outcome.ERROR); // the retry goes elsewhere
        assertEquals(2, harness.attemptsOf("bad").size());
        assertTrue(!harness.attemptsOf("bad").get(1).server.equals(failed.server));
        for (int i = 0; i < 2; i++) { // two other servers are idle: the failed attempt still counts in a queue
            assertTrue(!harness.request("n" + i, 0).server.equals(failed.server));
        }
    }

    /** Proportion of 1,000 balancers whose first request goes to a connected server; three of six are connected. */
    private static double connectedProportion(double handshakePrice) {
        Policy.Settings settings = PolicyTestHarness.settings(
                new Policy.Prices(0, handshakePrice),
                1,
                true,
                Policy.Discovery.PUSH,
                List.of(),
                PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL));
        int onConnected = 0;
        for (int seed = 0; seed < 1_000; seed++) {
            PolicyTestHarness harness = new PolicyTestHarness(settings, seed)
                    .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
            harness.connections = Set.of("s0", "s1", "s2")::contains;
            onConnected += harness.connections.isConnected(harness.request("r", 0).server) ? 1 : 0;
        }
        return onConnected / 1_000.0;
    }

    @Test
    void equalQueuesGoToAConnectedServerWhereHandshakesHaveAPrice() {
        assertEquals(0.5, connectedProportion(0), 0.08);
        assertEquals(1, connectedProportion(0.08), 0.001); // of four sampled servers at least one is connected
    }

    @Test
    void aQueueLongerByMoreThanTheHandshakePriceLosesDespiteItsConnection() {
        Policy.Settings settings = PolicyTestHarness.settings(
                new Policy.Prices(0, 0.08),
                1,
                true,
                Policy.Discovery.PUSH,
                List.of(),
                PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL));
        for (int seed = 0; seed < 50; seed++) {
            PolicyTestHarness harness = new PolicyTestHarness(settings, seed)
                    .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
            harness.connections = Set.of("s0")::contains;
            int queued = 0;
            for (int i = 0; i < 200; i++) {
                PolicyTestHarness.SentAttempt sent = harness.request("r" + i, 0);
                if (sent.server.equals("s0") && queued < 3) {
                    queued++;
                } else {
                    assertTrue(!sent.server.equals("s0"), "s0 was chosen though three requests wait there");
                    harness.endAttempt(sent, Outcome.OK);
                }
            }
        }
    }
}
