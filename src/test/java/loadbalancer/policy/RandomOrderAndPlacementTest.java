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

/** Order by key and placement over random legal events, verified by a checker that has a test of its own. */
class RandomOrderAndPlacementTest {
    /** Knows the requests of each key in order of arrival and their attempts; tells which rule a send violates. */
    private static final class Checker {
        private final Map<String, List<String>> requestsByKey = new LinkedHashMap<>();
        private final Map<String, String> keyById = new LinkedHashMap<>();
        private final Map<String, Integer> inFlightById = new LinkedHashMap<>();
        private final Map<String, Boolean> finished = new LinkedHashMap<>();
        private final Map<String, Long> keyBlockedUntilMicros = new LinkedHashMap<>();

        void recordArrival(String id, String key) {
            requestsByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
            keyById.put(id, key);
        }

        void recordOutcome(String id, Outcome outcome, long nowMicros) {
            inFlightById.merge(id, -1, Integer::sum);
            if (Set.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED).contains(outcome)) {
                keyBlockedUntilMicros.put(id, nowMicros + PolicyTestHarness.ORDER_PAUSE_MICROS);
            }
        }

        String recordSend(String id, long nowMicros) {
            String key = keyById.get(id);
            for (String earlier : key == null ? List.<String>of() : requestsByKey.get(key)) {
                if (earlier.equals(id)) {
                    break;
                }
                if (!finished.getOrDefault(earlier, false) || inFlightById.getOrDefault(earlier, 0) > 0) {
                    return id + " was sent before " + earlier + " was finished";
                }
                if (keyBlockedUntilMicros.getOrDefault(earlier, 0L) > nowMicros) {
                    return id + " was sent during the pause of the key after " + earlier;
                }
            }
            inFlightById.merge(id, 1, Integer::sum);
            return null;
        }

        static String placementViolation(RequestClass requestClass, Server server) {
            boolean zoneAllowed =
                    requestClass.zones().isEmpty() || requestClass.zones().contains(server.zone());
            boolean machineModelAllowed = requestClass.machineModels().isEmpty()
                    || requestClass.machineModels().contains(server.machineModel());
            return zoneAllowed && machineModelAllowed
                    ? null
                    : "sent to " + server.id() + ", which the class may not use";
        }
    }

    @Test
    void theCheckerCatchesViolations() {
        Checker checker = new Checker();
        checker.recordArrival("a", "k");
        checker.recordArrival("b", "k");
        assertEquals(null, checker.recordSend("a", 0));
        assertTrue(checker.recordSend("b", 1).contains("before a was finished"));
        checker.finished.put("a", true);
        assertTrue(checker.recordSend("b", 1).contains("before a was finished"), "an attempt is still in flight");
        checker.recordOutcome("a", Outcome.TIMEOUT, 2);
        assertTrue(checker.recordSend("b", 3).contains("pause"));
        assertEquals(null, checker.recordSend("b", 2 + PolicyTestHarness.ORDER_PAUSE_MICROS));
        RequestClass restrictedClass = requestClass(Effect.SAFE, false, Set.of(1), Set.of(0));
        assertTrue(Checker.placementViolation(restrictedClass, new Server("s", State.UP, 0, 1, 0, 0, 0)) != null);
        assertTrue(Checker.placementViolation(restrictedClass, new Server("s", State.UP, 0, 1, 0, 1, 1)) != null);
        assertEquals(null, Checker.placementViolation(restrictedClass, new Server("s", State.UP, 0, 1, 0, 0, 1)));
    }

    private static RequestClass requestClass(
            Effect effect, boolean inOrder, Set<Integer> zones, Set<Integer> machineModels) {
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
                inOrder,
                zones,
                machineModels);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepOrderAndPlacement(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> classes = List.of(
                requestClass(Effect.SAFE, true, Set.of(), Set.of()),
                requestClass(Effect.UNSAFE, true, Set.of(0), Set.of()),
                requestClass(Effect.KEYED, false, Set.of(), Set.of(1)),
                requestClass(Effect.SAFE, false, Set.of(1), Set.of(0)));
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(classes.toArray(new RequestClass[0])), seed);
        Checker checker = new Checker();
        Map<String, Integer> classById = new LinkedHashMap<>();
        Map<String, Server> servers = new LinkedHashMap<>();
        for (int i = 0; i < 8; i++) {
            servers.put("s" + i, new Server("s" + i, State.UP, 0, 1, 0, i / 2 % 2, i % 2));
        }
        harness.updateEndpoints(ListKind.PERSISTED, List.copyOf(servers.values()));
        int checked = 0;
        for (int step = 0; step < 3000; step++) {
            int eventDraw = random.nextInt(100);
            String key = "k" + random.nextInt(6);
            if (eventDraw < 40) {
                String id = "r" + step;
                int classIndex = random.nextInt(classes.size());
                classById.put(id, classIndex);
                if (classes.get(classIndex).inOrder()) {
                    checker.recordArrival(id, key);
                }
                harness.request(id, classIndex, 0, key, 500_000 + random.nextLong(2_000_000), false);
            } else if (eventDraw < 80) {
                List<PolicyTestHarness.SentAttempt> inFlight =
                        harness.sentAttempts.stream().filter(s -> !s.ended).toList();
                if (!inFlight.isEmpty()) {
                    PolicyTestHarness.SentAttempt sent = inFlight.get(random.nextInt(inFlight.size()));
                    Outcome[] outcomes = Outcome.values();
                    Outcome outcome =
                            random.nextInt(3) > 0 ? Outcome.OK : outcomes[random.nextInt(outcomes.length - 1)];
                    checked = endAttempt(harness, checker, sent, outcome, checked, classes, classById, servers);
                }
            } else if (eventDraw < 84) {
                Server server = servers.get("s" + random.nextInt(8));
                harness.updateEndpoints(ListKind.PARTIAL, List.of(server.withState(State.values()[random.nextInt(3)])));
            } else if (eventDraw < 86 && !classById.isEmpty()) {
                String id = List.copyOf(classById.keySet()).get(random.nextInt(classById.size()));
                if (harness.finalResponses.putIfAbsent(id, "disconnected") == null) {
                    checker.finished.put(id, true);
                    harness.policy.clientDisconnected(harness.nowMicros, id, harness);
                }
            } else {
                harness.advanceTime(random.nextLong(40_000));
            }
            checked = checkNewSends(harness, checker, checked, classes, classById, servers);
        }
        assertTrue(checked > 500, "too few sends: " + checked);
    }

    private static int endAttempt(
            PolicyTestHarness harness,
            Checker checker,
            PolicyTestHarness.SentAttempt sent,
            Outcome outcome,
            int checked,
            List<RequestClass> classes,
            Map<String, Integer> classById,
            Map<String, Server> servers) {
        checker.recordOutcome(sent.request, outcome, harness.nowMicros);
        if (outcome == Outcome.OK) {
            checker.finished.put(sent.request, true);
        }
        harness.endAttempt(sent, outcome);
        return checkNewSends(harness, checker, checked, classes, classById, servers);
    }

    private static int checkNewSends(
            PolicyTestHarness harness,
            Checker checker,
            int firstUnchecked,
            List<RequestClass> classes,
            Map<String, Integer> classById,
            Map<String, Server> servers) {
        harness.finalResponses.keySet().forEach(id -> checker.finished.put(id, true));
        int checked = firstUnchecked;
        for (; checked < harness.sentAttempts.size(); checked++) {
            PolicyTestHarness.SentAttempt attempt = harness.sentAttempts.get(checked);
            assertEquals(null, checker.recordSend(attempt.request, attempt.sentAtMicros));
            assertEquals(
                    null,
                    Checker.placementViolation(
                            classes.get(classById.get(attempt.request)), servers.get(attempt.server)));
        }
        return checked;
    }
}
