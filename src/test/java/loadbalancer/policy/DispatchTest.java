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

/** The ordinary path is JSQ-DAS. */
class DispatchTest {
    private static final Policy.Settings SAFE =
            PolicyTestHarness.settings(PolicyTestHarness.kind(Effect.SAFE, Scope.ALL));

    /** Six servers, as many as a subset holds, three of them of a heavier kind, so that p is one half. */
    private static PolicyTestHarness twoKinds(long seed) {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            list.add(new Server("s" + i, State.UP, 0, i < 3 ? 2 : 1, 0, i < 3 ? 0 : 1, 0));
        }
        return new PolicyTestHarness(SAFE, seed).list(ListKind.PERSISTED, list);
    }

    @Test
    void withoutCountsEachBalancerRanksInAnOrderOfItsOwn() {
        // Ranked by listed weight, all balancers sent their first requests to the same half of the servers.
        Map<String, Integer> first = new HashMap<>();
        for (int seed = 0; seed < 2000; seed++) {
            first.merge(twoKinds(seed).request("r", 0).server, 1, Integer::sum);
        }
        assertEquals(Set.of("s0", "s1", "s2", "s3", "s4", "s5"), first.keySet());
        for (int count : first.values()) {
            assertTrue(count > 250 && count < 420, "even over balancers: " + first);
        }
    }

    @Test
    void theRankedWinTiesInTheProportionsOfSamplingTwoWithoutReplacement() {
        // With ranks fixed by different counts, rank i of three wins with probability 2, 1, 0 of 3.
        Map<Integer, Integer> wins = new HashMap<>();
        for (int seed = 0; seed < 3000; seed++) {
            PolicyTestHarness harness = twoKinds(seed);
            List<String> order = new ArrayList<>();
            for (int i = 0; i < 60; i++) { // until counts differ
                PolicyTestHarness.Sent sent = harness.request("w" + i, 0);
                harness.now += 1000;
                harness.end(sent, Outcome.OK);
                order.add(sent.server);
            }
            Map<String, Integer> counts = new HashMap<>();
            order.forEach(s -> counts.merge(s, 1, Integer::sum));
            List<String> ranked = counts.entrySet().stream()
                    .sorted((a, b) -> b.getValue() - a.getValue())
                    .map(Map.Entry::getKey)
                    .toList();
            if (new HashSet<>(counts.values()).size() == counts.size()) {
                wins.merge(ranked.indexOf(harness.request("x", 0).server), 1, Integer::sum);
            }
        }
        double all = wins.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(all > 300, "enough samples with distinct counts: " + all);
        assertEquals(0.67, wins.getOrDefault(0, 0) / all, 0.08);
        assertEquals(0.33, wins.getOrDefault(1, 0) / all, 0.08);
        assertEquals(0.0, wins.getOrDefault(2, 0) / all, 0.001, "the last of the top set never wins a tie");
    }

    @Test
    void theShortestSampledQueueWins() {
        // Every server of the top set is given work; then the empty ones of the rest must win.
        for (int seed = 0; seed < 50; seed++) {
            PolicyTestHarness harness = twoKinds(seed);
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
    void twoServersAndFewerThanSampledAreUsedToo() {
        for (int size = 1; size <= 3; size++) {
            PolicyTestHarness harness =
                    new PolicyTestHarness(SAFE, 7).list(ListKind.PERSISTED, PolicyTestHarness.fleet(size));
            assertNotNull(harness.request("r", 0));
        }
    }

    @Test
    void sameEventsGiveSameActions() {
        List<String> one = script(42);
        assertEquals(one, script(42));
        assertTrue(!one.equals(script(43)), "the seed matters");
    }

    private static List<String> script(long seed) {
        PolicyTestHarness harness = twoKinds(seed);
        for (int i = 0; i < 300; i++) {
            PolicyTestHarness.Sent sent = harness.request("r" + i, 0);
            harness.pass(7_000 + i % 13 * 1000);
            if (sent != null) {
                harness.end(sent, i % 11 == 0 ? Outcome.ERROR : Outcome.OK);
            }
        }
        return harness.log;
    }

    @Test
    void aFastFailureKeepsItsSlotAndEarnsNoRank() {
        PolicyTestHarness harness = new PolicyTestHarness(SAFE, 3).list(ListKind.PERSISTED, PolicyTestHarness.fleet(4));
        harness.warmUp(40, 0, 50_000);
        PolicyTestHarness.Sent bad = harness.request("bad", 0);
        harness.now += 500;
        harness.end(bad, Outcome.ERROR); // the retry goes elsewhere
        assertEquals(2, harness.sentFor("bad").size());
        assertTrue(!harness.sentFor("bad").get(1).server.equals(bad.server));
        for (int i = 0; i < 2; i++) { // two other servers are empty: the failed one's slot still counts
            assertTrue(!harness.request("n" + i, 0).server.equals(bad.server));
        }
    }

    /** The part of 1,000 requests, one at a time, that goes to servers with a connection: one of each set. */
    private static double onConnected(double handshake) {
        Policy.Settings settings = PolicyTestHarness.settings(
                new Policy.Prices(0, handshake),
                1,
                true,
                Policy.Discovery.PUSH,
                List.of(),
                PolicyTestHarness.kind(Effect.SAFE, Scope.ALL));
        int found = 0;
        for (int seed = 0; seed < 1_000; seed++) {
            PolicyTestHarness harness =
                    new PolicyTestHarness(settings, seed).list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
            harness.links = Set.of("s0", "s1", "s2")::contains;
            found += harness.links.connected(harness.request("r", 0).server) ? 1 : 0;
        }
        return found / 1_000.0;
    }

    @Test
    void ofQueuesAlikeTheOneThatNeedsNoHandshakeWinsWhereThatHasAPrice() {
        assertEquals(0.5, onConnected(0), 0.08);
        assertEquals(1, onConnected(0.08), 0.001); // four of six are sampled: one is always among them
    }

    @Test
    void aQueueThatIsLongerByMoreThanThePriceLosesForAllItsConnections() {
        Policy.Settings settings = PolicyTestHarness.settings(
                new Policy.Prices(0, 0.08),
                1,
                true,
                Policy.Discovery.PUSH,
                List.of(),
                PolicyTestHarness.kind(Effect.SAFE, Scope.ALL));
        for (int seed = 0; seed < 50; seed++) {
            PolicyTestHarness harness =
                    new PolicyTestHarness(settings, seed).list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
            harness.links = Set.of("s0")::contains;
            int queued = 0;
            for (int i = 0; i < 200; i++) {
                PolicyTestHarness.Sent sent = harness.request("r" + i, 0);
                if (sent.server.equals("s0") && queued < 3) {
                    queued++;
                } else {
                    assertTrue(!sent.server.equals("s0"), "three wait there already");
                    harness.end(sent, Outcome.OK);
                }
            }
        }
    }
}
