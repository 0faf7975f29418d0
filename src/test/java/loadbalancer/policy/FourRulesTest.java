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

/** The four rules, class kind by class kind, and over random but legal sequences of events. */
class FourRulesTest {
    private static final RequestClass UNSAFE = PolicyTestHarness.kind(Effect.UNSAFE, Scope.ALL);
    private static final RequestClass SAFE = PolicyTestHarness.kind(Effect.SAFE, Scope.ALL);

    private static PolicyTestHarness warm(RequestClass kind) {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(kind), 5)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    private static PolicyTestHarness warmWithoutCopies(RequestClass kind) {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(1, false, Policy.Discovery.PUSH, List.of(), kind), 5)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void anUnsafeRequestThatMayHaveRunFails(Outcome outcome) {
        PolicyTestHarness harness = warm(UNSAFE);
        harness.end(harness.request("r", 0), outcome);
        assertEquals("failed", harness.finals.get("r"));
        assertEquals(1, harness.sentFor("r").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"FULL", "CONNECT_FAILED"})
    void anUnsafeRequestThatNeverRanGoesElsewhere(Outcome outcome) {
        PolicyTestHarness harness = warm(UNSAFE);
        PolicyTestHarness.Sent first = harness.request("r", 0);
        harness.end(first, outcome);
        assertEquals(2, harness.sentFor("r").size());
        assertFalse(harness.sentFor("r").get(1).server.equals(first.server));
    }

    /** Repeats are dropped for 2 s from the first send: a connection may be established later than that. */
    @Test
    void aKeyedRepeatSaysHowLongItMayTakeToBegin() {
        PolicyTestHarness harness = warmWithoutCopies(PolicyTestHarness.kind(Effect.KEYED, Scope.CELL));
        PolicyTestHarness.Sent first = harness.request("r", 0);
        harness.pass(400_000);
        harness.end(first, Outcome.RESET);
        assertEquals(2, harness.sentFor("r").size());
        long left = harness.within.get("r");
        assertTrue(left > 1_500_000 && left <= first.at + 2_000_000 - harness.now, "left: " + left);
        assertFalse(harness.within.containsKey("warm-" + PolicyTestHarness.START + "-0"), "a first send may be late");
    }

    @Test
    void aKeyedRequestThatMayNotBeRepeatedAnyMoreIsAnsweredAtOnce() {
        RequestClass kind = new RequestClass(
                Effect.KEYED, Scope.CELL, 300_000, PolicyTestHarness.AIM, PolicyTestHarness.DEADLINE, 0, 1, 1, false);
        PolicyTestHarness harness = warmWithoutCopies(kind);
        PolicyTestHarness.Sent first = harness.request("r", 0);
        harness.pass(310_000);
        harness.end(first, Outcome.RESET);
        assertEquals("failed", harness.finals.get("r"), "not held until its deadline nears");
        assertEquals(1, harness.sentFor("r").size());
    }

    @Test
    void anUnsafeRequestGetsNoSecondCopy() {
        PolicyTestHarness harness = warm(UNSAFE);
        harness.request("r", 0);
        harness.pass(PolicyTestHarness.DEADLINE - 100_000);
        assertEquals(1, harness.sentFor("r").size());
    }

    @Test
    void noSecondCopyWhereTheSiteForbidsIt() {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(1, false, Policy.Discovery.PUSH, List.of(), SAFE), 5)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        PolicyTestHarness.Sent first = harness.request("r", 0);
        assertTrue(first.timeout > 0 && first.timeout < PolicyTestHarness.DEADLINE, "time is left for another attempt");
        harness.pass(PolicyTestHarness.AIM);
        assertEquals(1, harness.sentFor("r").size());
    }

    @ParameterizedTest
    @EnumSource(Scope.class)
    void aKeyedRequestStaysWithinTheGroupThatRemembersIt(Scope scope) {
        for (int seed = 0; seed < 20; seed++) {
            PolicyTestHarness harness = new PolicyTestHarness(
                            PolicyTestHarness.settings(PolicyTestHarness.kind(Effect.KEYED, scope)), seed)
                    .list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
            harness.warmUp(40, 0, 40_000);
            PolicyTestHarness.Sent first = harness.request("r", 0);
            harness.end(first, Outcome.ERROR);
            PolicyTestHarness.Sent second = harness.sentFor("r").get(1);
            if (scope != Scope.ALL) { // cell and zone alternate over the fleet
                assertEquals(first.server.charAt(1) % 2, second.server.charAt(1) % 2);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Scope.class)
    void aKeyedRequestIsNotSentAgainAfterItsWindow(Scope scope) {
        PolicyTestHarness harness = warm(PolicyTestHarness.kind(Effect.KEYED, scope));
        PolicyTestHarness.Sent first = harness.request("r", 0);
        harness.pass(2_500_000); // the window is 2 s from the first send
        for (PolicyTestHarness.Sent copy : harness.sentFor("r")) {
            assertTrue(copy.at - first.at < 2_000_000);
        }
        int before = harness.sentFor("r").size();
        harness.sentFor("r").forEach(s -> harness.end(s, Outcome.ERROR));
        harness.pass(1_000_000);
        assertEquals(before, harness.sentFor("r").size());
        assertEquals(scope == Scope.ALL ? "refused" : "failed", harness.finals.get("r"));
    }

    @Test
    void nothingNewGoesToADrainingOrGoneServer() {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 1)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(3));
        harness.list(ListKind.PARTIAL, List.of(new Server("s0", State.DRAINING, 0, 1, 0, 0, 0)));
        harness.list(ListKind.PARTIAL, List.of(new Server("s1", State.GONE, 0, 1, 1, 1, 1)));
        for (int i = 0; i < 30; i++) {
            PolicyTestHarness.Sent sent = harness.request("r" + i, 0);
            assertEquals("s2", sent.server);
            harness.pass(30_000);
            harness.end(sent, Outcome.OK);
        }
        harness.list(ListKind.COMPLETE, List.of(PolicyTestHarness.up("s1")));
        assertEquals("s1", harness.request("x", 0).server, "missing in a complete list is removed");
    }

    @Test
    void everyRequestIsAnsweredWhenNoServerIsListed() {
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(SAFE, UNSAFE), 1).list(ListKind.PERSISTED, List.of());
        assertNull(harness.request("a", 0));
        assertNull(harness.request("b", 1, 0, 6_000));
        harness.pass(30_000);
        assertTrue(harness.finals.containsKey("b"), "a nearly spent request is answered at once");
        harness.pass(PolicyTestHarness.DEADLINE);
        assertEquals("refused", harness.finals.get("a"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void aColdServerGetsLessThanItsPart(int balancers) {
        // One warm server gives 50 answers a second to this balancer; the cold one may take its part of that.
        Policy.Settings settings = PolicyTestHarness.settings(balancers, true, Policy.Discovery.PUSH, List.of(), SAFE);
        PolicyTestHarness harness =
                new PolicyTestHarness(settings, 1).list(ListKind.PERSISTED, PolicyTestHarness.fleet(4));
        harness.warmUp(300, 0, 20_000);
        harness.list(ListKind.PARTIAL, List.of(new Server("cold", State.UP, harness.now, 1, 0, 0, 0)));
        long born = harness.now;
        harness.warmUp(150, 0, 20_000);
        long sent = harness.sentTo("cold", born);
        double seconds = (harness.now - born) / 1e6;
        double part = 0.2 + 0.8 * seconds / 20; // at the end; less before
        assertTrue(sent <= 50.0 / 4 * part * 2.5 * seconds, sent + " in " + seconds + " s");
    }

    @Test
    void aRestartUnderTheSameIdIsColdAgain() {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 1)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(2));
        harness.warmUp(100, 0, 20_000);
        harness.list(ListKind.PARTIAL, List.of(new Server("s0", State.UP, harness.now, 1, 0, 0, 0)));
        long restarted = harness.now;
        harness.warmUp(50, 0, 20_000);
        long cold = harness.sentTo("s0", restarted);
        assertTrue(cold < 15, "a cold server took " + cold + " of 50");
    }

    /** Odd but legal: late outcomes, lists that are stale, empty or partial, restarts, clients that leave. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomEventsKeepTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> kinds = List.of(
                SAFE,
                UNSAFE,
                PolicyTestHarness.kind(Effect.KEYED, Scope.ALL),
                PolicyTestHarness.kind(Effect.KEYED, Scope.CELL),
                PolicyTestHarness.kind(Effect.KEYED, Scope.ZONE));
        boolean copies = random.nextBoolean();
        PolicyTestHarness harness = new PolicyTestHarness(
                PolicyTestHarness.settings(
                        1 + random.nextInt(4),
                        copies,
                        random.nextBoolean() ? Policy.Discovery.ASK : Policy.Discovery.PUSH,
                        List.of(new Policy.Tenant(5), new Policy.Tenant(50)),
                        kinds.toArray(new RequestClass[0])),
                seed);
        Map<String, Server> truth = new TreeMap<>();
        Map<String, Long> deadlines = new TreeMap<>();
        Map<String, Integer> classOf = new TreeMap<>();
        Map<String, Long> unusable = new TreeMap<>();
        Map<String, Map<Integer, Outcome>> ended = new TreeMap<>();
        List<String> disconnected = new ArrayList<>();
        harness.list(ListKind.PERSISTED, PolicyTestHarness.fleet(random.nextInt(8)));
        PolicyTestHarness.fleet(8).forEach(s -> truth.put(s.id(), s));
        int checked = 0;
        for (int step = 0; step < 6000; step++) {
            int what = random.nextInt(100);
            if (what < 45) {
                String id = "r" + step;
                int kind = random.nextInt(kinds.size());
                long left = random.nextInt(10) == 0 ? random.nextLong(30_000) : 200_000 + random.nextLong(2_800_000);
                deadlines.put(id, harness.now + left);
                classOf.put(id, kind);
                harness.request(id, kind, random.nextInt(2), left);
            } else if (what < 88) {
                List<PolicyTestHarness.Sent> out =
                        harness.sends.stream().filter(s -> !s.ended).toList();
                if (!out.isEmpty()) {
                    PolicyTestHarness.Sent sent = out.get(random.nextInt(out.size()));
                    Outcome[] all = Outcome.values();
                    Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : all[random.nextInt(all.length)];
                    if (outcome == Outcome.OK && disconnected.contains(sent.request)) {
                        outcome = Outcome.CANCELLED;
                    }
                    ended.computeIfAbsent(sent.request, k -> new TreeMap<>()).put(sent.number, outcome);
                    harness.end(sent, outcome);
                }
            } else if (what < 90 && !deadlines.isEmpty()) {
                String id = "r" + random.nextInt(step + 1);
                if (deadlines.containsKey(id) && !harness.finals.containsKey(id)) {
                    harness.finals.put(id, "disconnected");
                    disconnected.add(id);
                    harness.policy.clientDisconnected(harness.now, id, harness);
                }
            } else if (what < 93) {
                String id = "s" + random.nextInt(8);
                State state = State.values()[random.nextInt(3)];
                long started = random.nextBoolean() ? 0 : harness.now - random.nextLong(5_000_000);
                Server s = new Server(
                        id,
                        state,
                        started,
                        1 + random.nextInt(3),
                        random.nextInt(2),
                        random.nextInt(2),
                        random.nextInt(2));
                truth.put(id, s);
                harness.list(ListKind.PARTIAL, List.of(s));
                if (state == State.UP) {
                    unusable.remove(id);
                } else {
                    unusable.put(id, harness.now);
                }
            } else if (what < 94) {
                harness.list(ListKind.FAILED, List.of());
            } else {
                harness.pass(random.nextLong(60_000));
            }
            // Attempts whose own time-out or request's deadline is over end then, as on the wire.
            for (PolicyTestHarness.Sent s : new ArrayList<>(harness.sends)) {
                long until =
                        s.timeout > 0 ? Math.min(s.at + s.timeout, deadlines.get(s.request)) : deadlines.get(s.request);
                if (!s.ended && harness.now >= until) {
                    ended.computeIfAbsent(s.request, k -> new TreeMap<>()).put(s.number, Outcome.TIMEOUT);
                    harness.end(s, Outcome.TIMEOUT);
                }
            }
            for (; checked < harness.sends.size(); checked++) {
                PolicyTestHarness.Sent s = harness.sends.get(checked);
                Long since = unusable.get(s.server);
                assertTrue(since == null || s.at <= since, "sent to a draining or removed server: " + s.server);
                checkRepeat(harness, s, kinds.get(classOf.get(s.request)), ended, copies);
            }
        }
        harness.pass(PolicyTestHarness.DEADLINE + 100_000);
        for (PolicyTestHarness.Sent s : new ArrayList<>(harness.sends)) {
            if (!s.ended) {
                harness.end(s, Outcome.TIMEOUT);
            }
        }
        harness.pass(PolicyTestHarness.DEADLINE + 100_000);
        assertEquals(0, harness.doubleFinals);
        for (String id : deadlines.keySet()) {
            assertTrue(harness.finals.containsKey(id), "no answer for " + id);
        }
    }

    private static void checkRepeat(
            PolicyTestHarness harness,
            PolicyTestHarness.Sent s,
            RequestClass kind,
            Map<String, Map<Integer, Outcome>> ended,
            boolean copies) {
        for (PolicyTestHarness.Sent earlier : harness.sentFor(s.request)) {
            if (earlier.number >= s.number) {
                continue;
            }
            Outcome outcome = ended.getOrDefault(s.request, Map.of()).get(earlier.number);
            boolean open = outcome == null;
            assertTrue(copies || !open, "two attempts at once");
            if (open || !outcome.neverRan()) {
                assertTrue(kind.effect() != Effect.UNSAFE, "an unsafe request went out twice");
                assertTrue(
                        kind.effect() != Effect.KEYED || s.at - earlier.at < kind.keyTtlMicros(),
                        "sent after its window");
            }
            assertTrue(outcome != Outcome.OK, "sent after it was served");
        }
    }
}
