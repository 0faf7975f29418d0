package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Order and placement over random legal sequences of events, against a checker of its own. */
class RandomOrderAndPlacementTest {
    /** Knows the requests of a key in the order taken and what was sent; says what is wrong with a send. */
    private static final class Checker {
        private final Map<String, List<String>> taken = new LinkedHashMap<>();
        private final Map<String, String> keyOf = new LinkedHashMap<>();
        private final Map<String, Integer> out = new LinkedHashMap<>();
        private final Map<String, Boolean> over = new LinkedHashMap<>();
        private final Map<String, Long> rest = new LinkedHashMap<>();

        void taken(String id, String key) {
            taken.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
            keyOf.put(id, key);
        }

        void ended(String id, Outcome outcome, long now) {
            out.merge(id, -1, Integer::sum);
            if (Set.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED).contains(outcome)) {
                rest.put(id, now + PolicyTestHarness.PAUSE);
            }
        }

        String send(String id, long now) {
            String key = keyOf.get(id);
            for (String earlier : key == null ? List.<String>of() : taken.get(key)) {
                if (earlier.equals(id)) {
                    break;
                }
                if (!over.getOrDefault(earlier, false) || out.getOrDefault(earlier, 0) > 0) {
                    return id + " was sent before " + earlier + " was over";
                }
                if (rest.getOrDefault(earlier, 0L) > now) {
                    return id + " was sent while the key rests after " + earlier;
                }
            }
            out.merge(id, 1, Integer::sum);
            return null;
        }

        static String placed(RequestClass kind, Server server) {
            boolean zone = kind.zones().isEmpty() || kind.zones().contains(server.zone());
            boolean machine =
                    kind.machineModels().isEmpty() || kind.machineModels().contains(server.machineModel());
            return zone && machine ? null : "sent to " + server.id() + ", which is not open to the class";
        }
    }

    @Test
    void theCheckerCatchesViolations() {
        Checker checker = new Checker();
        checker.taken("a", "k");
        checker.taken("b", "k");
        assertEquals(null, checker.send("a", 0));
        assertTrue(checker.send("b", 1).contains("before a was over"));
        checker.over.put("a", true);
        assertTrue(checker.send("b", 1).contains("before a was over"), "an attempt is still out");
        checker.ended("a", Outcome.TIMEOUT, 2);
        assertTrue(checker.send("b", 3).contains("rests"));
        assertEquals(null, checker.send("b", 2 + PolicyTestHarness.PAUSE));
        RequestClass bound = kind(Effect.SAFE, false, Set.of(1), Set.of(0));
        assertTrue(Checker.placed(bound, new Server("s", State.UP, 0, 1, 0, 0, 0)) != null);
        assertTrue(Checker.placed(bound, new Server("s", State.UP, 0, 1, 0, 1, 1)) != null);
        assertEquals(null, Checker.placed(bound, new Server("s", State.UP, 0, 1, 0, 0, 1)));
    }

    private static RequestClass kind(Effect effect, boolean inOrder, Set<Integer> zones, Set<Integer> kinds) {
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
                inOrder,
                zones,
                kinds);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepOrderAndPlacement(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> kinds = List.of(
                kind(Effect.SAFE, true, Set.of(), Set.of()),
                kind(Effect.UNSAFE, true, Set.of(0), Set.of()),
                kind(Effect.KEYED, false, Set.of(), Set.of(1)),
                kind(Effect.SAFE, false, Set.of(1), Set.of(0)));
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(kinds.toArray(new RequestClass[0])), seed);
        Checker checker = new Checker();
        Map<String, Integer> classOf = new LinkedHashMap<>();
        Map<String, Server> servers = new LinkedHashMap<>();
        for (int i = 0; i < 8; i++) {
            servers.put("s" + i, new Server("s" + i, State.UP, 0, 1, 0, i / 2 % 2, i % 2));
        }
        harness.list(ListKind.PERSISTED, List.copyOf(servers.values()));
        int checked = 0;
        for (int step = 0; step < 3000; step++) {
            int what = random.nextInt(100);
            String key = "k" + random.nextInt(6);
            if (what < 40) {
                String id = "r" + step;
                int number = random.nextInt(kinds.size());
                classOf.put(id, number);
                if (kinds.get(number).inOrder()) {
                    checker.taken(id, key);
                }
                harness.request(id, number, 0, key, 500_000 + random.nextLong(2_000_000), false);
            } else if (what < 80) {
                List<PolicyTestHarness.Sent> out =
                        harness.sends.stream().filter(s -> !s.ended).toList();
                if (!out.isEmpty()) {
                    PolicyTestHarness.Sent sent = out.get(random.nextInt(out.size()));
                    Outcome[] all = Outcome.values();
                    Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : all[random.nextInt(all.length - 1)];
                    checked = end(harness, checker, sent, outcome, checked, kinds, classOf, servers);
                }
            } else if (what < 84) {
                Server s = servers.get("s" + random.nextInt(8));
                harness.list(ListKind.PARTIAL, List.of(s.withState(State.values()[random.nextInt(3)])));
            } else if (what < 86 && !classOf.isEmpty()) {
                String id = List.copyOf(classOf.keySet()).get(random.nextInt(classOf.size()));
                if (harness.finals.putIfAbsent(id, "disconnected") == null) {
                    checker.over.put(id, true);
                    harness.policy.clientDisconnected(harness.now, id, harness);
                }
            } else {
                harness.pass(random.nextLong(40_000));
            }
            checked = check(harness, checker, checked, kinds, classOf, servers);
        }
        assertTrue(checked > 500, "enough was sent: " + checked);
    }

    private static int end(
            PolicyTestHarness harness,
            Checker checker,
            PolicyTestHarness.Sent sent,
            Outcome outcome,
            int checked,
            List<RequestClass> kinds,
            Map<String, Integer> classOf,
            Map<String, Server> servers) {
        checker.ended(sent.request, outcome, harness.now);
        if (outcome == Outcome.OK) {
            checker.over.put(sent.request, true);
        }
        harness.end(sent, outcome);
        return check(harness, checker, checked, kinds, classOf, servers);
    }

    private static int check(
            PolicyTestHarness harness,
            Checker checker,
            int from,
            List<RequestClass> kinds,
            Map<String, Integer> classOf,
            Map<String, Server> servers) {
        harness.finals.keySet().forEach(id -> checker.over.put(id, true));
        int checked = from;
        for (; checked < harness.sends.size(); checked++) {
            PolicyTestHarness.Sent s = harness.sends.get(checked);
            assertEquals(null, checker.send(s.request, s.at));
            assertEquals(null, Checker.placed(kinds.get(classOf.get(s.request)), servers.get(s.server)));
        }
        return checked;
    }
}
