package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
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

/** The four rules over random legal events, verified by a checker that has a test of its own. */
class RandomFourRulesTest {
    private static final long ANSWER_SLACK_MICROS = 20_000;

    /** What the checker knows about one request. */
    private static final class RequestRecord {
        RequestClass requestClass;
        long deadline;
        String response;
        final List<Server> servers = new ArrayList<>();
        final List<Long> sentAtMicros = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>(); // null while in flight
    }

    /** Receives the events in order; each call returns the violation of a rule that it finds, or null. */
    private static final class Checker {
        private final Map<String, RequestRecord> requests = new HashMap<>();

        void recordArrival(String id, RequestClass requestClass, long deadline) {
            RequestRecord request = new RequestRecord();
            request.requestClass = requestClass;
            request.deadline = deadline;
            requests.put(id, request);
        }

        String recordSend(String id, Server target, boolean usable, long nowMicros) {
            RequestRecord request = requests.get(id);
            if (request.response != null) {
                return "sent after its final response";
            }
            if (!usable) {
                return "sent to a draining or removed server";
            }
            for (int i = 0; i < request.outcomes.size(); i++) {
                boolean mayHaveRun = request.outcomes.get(i) == null
                        || !request.outcomes.get(i).neverRan();
                if (mayHaveRun && request.requestClass.effect() == Effect.UNSAFE) {
                    return "an unsafe request may run twice";
                }
                boolean outsideScope = request.requestClass.scope() == Scope.CELL
                                && request.servers.get(i).cell() != target.cell()
                        || request.requestClass.scope() == Scope.ZONE
                                && request.servers.get(i).zone() != target.zone();
                if (mayHaveRun
                        && request.requestClass.effect() == Effect.KEYED
                        && (outsideScope
                                || nowMicros - request.sentAtMicros.get(i) >= request.requestClass.keyTtlMicros())) {
                    return "a keyed request left its deduplication scope or window";
                }
            }
            request.servers.add(target);
            request.sentAtMicros.add(nowMicros);
            request.outcomes.add(null);
            return null;
        }

        String recordResponse(String id, String response, long nowMicros) {
            RequestRecord request = requests.get(id);
            if (request.response != null) {
                return "answered twice";
            }
            request.response = response;
            if (nowMicros > request.deadline + ANSWER_SLACK_MICROS) {
                return "answered too late";
            }
            boolean mayHaveRun = request.outcomes.stream().anyMatch(o -> o == null || !o.neverRan());
            boolean safeToResubmit = request.requestClass.effect() == Effect.SAFE
                    || request.requestClass.effect() == Effect.KEYED && request.requestClass.scope() == Scope.ALL;
            return response.equals("rejected") && mayHaveRun && !safeToResubmit
                    ? "rejected though it may have run"
                    : null;
        }

        String unansweredViolation(long nowMicros) {
            return requests.values().stream()
                            .anyMatch(request ->
                                    request.response == null && nowMicros > request.deadline + ANSWER_SLACK_MICROS)
                    ? "a request was lost"
                    : null;
        }
    }

    /** Returns the first window in which a cold server gets more than its budget of all balancers, or null. */
    static String coldBudgetViolation(
            List<Long> sends, long startedAtMicros, double warmSendsPerSecond, Policy.Bounds bounds) {
        for (int i = 0; i < sends.size(); i++) {
            long windowStart = sends.get(i);
            double warmth = bounds.coldFrom()
                    + (1 - bounds.coldFrom()) * (windowStart - startedAtMicros) / bounds.rampTimeMicros();
            long windowEnd = windowStart + bounds.fallWindowMicros();
            long count = sends.stream()
                    .filter(t -> t >= windowStart && t < windowEnd)
                    .count();
            double limit = bounds.overloadFactor() * warmth * warmSendsPerSecond * bounds.fallWindowMicros() / 1e6 + 2;
            if (count > limit && windowStart - startedAtMicros < bounds.rampTimeMicros()) {
                return count + " sends in a window that allows " + limit;
            }
        }
        return null;
    }

    @Test
    void theCheckerReportsEveryKindOfViolation() {
        Server first = new Server("a", State.UP, 0, 1, 0, 0, 0);
        Server second = new Server("b", State.UP, 0, 1, 1, 0, 1);
        Checker checker = new Checker();
        checker.recordArrival("u", PolicyTestHarness.requestClass(Effect.UNSAFE, Scope.ALL), 100);
        assertNull(checker.recordSend("u", first, true, 0));
        assertTrue(checker.recordSend("u", second, true, 1).contains("twice"));
        assertTrue(checker.recordResponse("u", "rejected", 1).contains("may have run"));
        assertTrue(checker.recordResponse("u", "failed", 1).contains("answered twice"));
        assertTrue(checker.recordSend("u", first, true, 2).contains("after its final response"));
        checker.recordArrival("k", PolicyTestHarness.requestClass(Effect.KEYED, Scope.CELL), 100);
        assertTrue(checker.recordSend("k", first, false, 0).contains("draining"));
        assertNull(checker.recordSend("k", first, true, 0));
        assertTrue(checker.recordSend("k", second, true, 0).contains("scope"));
        assertTrue(checker.recordSend("k", first, true, 2_000_000).contains("window"));
        assertTrue(checker.unansweredViolation(100 + ANSWER_SLACK_MICROS + 1).contains("lost"));
        assertTrue(checker.recordResponse("k", "failed", 100 + ANSWER_SLACK_MICROS + 1)
                .contains("too late"));
        Policy.Bounds bounds = PolicyTestHarness.settings(PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL))
                .bounds();
        assertTrue(coldBudgetViolation(LongStream.range(0, 30).boxed().toList(), 0, 10, bounds) != null);
        assertNull(coldBudgetViolation(List.of(0L, 900_000L), 0, 10, bounds));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> classes = List.of(
                PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL),
                PolicyTestHarness.requestClass(Effect.UNSAFE, Scope.ALL),
                PolicyTestHarness.requestClass(Effect.KEYED, Scope.ALL),
                PolicyTestHarness.requestClass(Effect.KEYED, Scope.CELL),
                PolicyTestHarness.requestClass(Effect.KEYED, Scope.ZONE));
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(classes.toArray(new RequestClass[0])), seed);
        Checker checker = new Checker();
        Map<String, Server> servers = new HashMap<>();
        PolicyTestHarness.fleet(8).forEach(s -> servers.put(s.id(), s));
        harness.updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(8));
        int checkedSends = 0;
        int checkedResponses = 0;
        for (int step = 0; step < 4000; step++) {
            int eventDraw = random.nextInt(100);
            List<PolicyTestHarness.SentAttempt> inFlight =
                    harness.sentAttempts.stream().filter(s -> !s.ended).toList();
            if (eventDraw < 40) {
                RequestClass requestClass = classes.get(random.nextInt(classes.size()));
                long timeLeftMicros = 100_000 + random.nextLong(2_000_000);
                checker.recordArrival("r" + step, requestClass, harness.nowMicros + timeLeftMicros);
                harness.request("r" + step, classes.indexOf(requestClass), 0, timeLeftMicros);
            } else if (eventDraw < 80 && !inFlight.isEmpty()) {
                PolicyTestHarness.SentAttempt attempt = inFlight.get(random.nextInt(inFlight.size()));
                Outcome[] outcomes = Outcome.values();
                endAttempt(
                        harness,
                        checker,
                        attempt,
                        random.nextInt(3) > 0 ? Outcome.OK : outcomes[random.nextInt(outcomes.length - 1)]);
            } else if (eventDraw < 84) {
                String id = "s" + random.nextInt(8);
                servers.computeIfPresent(id, (i, s) -> s.withState(State.values()[random.nextInt(3)]));
                harness.updateEndpoints(ListKind.PARTIAL, List.of(servers.get(id)));
            } else {
                harness.advanceTime(random.nextLong(20_000));
            }
            for (PolicyTestHarness.SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
                if (!attempt.ended && harness.nowMicros >= checker.requests.get(attempt.request).deadline) {
                    checkedSends = checkNewSends(harness, checker, servers, checkedSends);
                    endAttempt(harness, checker, attempt, Outcome.TIMEOUT);
                }
            }
            checkedSends = checkNewSends(harness, checker, servers, checkedSends);
            List<String> ids = List.copyOf(harness.finalResponses.keySet());
            for (; checkedResponses < ids.size(); checkedResponses++) {
                String id = ids.get(checkedResponses);
                assertNull(checker.recordResponse(id, harness.finalResponses.get(id), harness.nowMicros));
            }
            assertNull(checker.unansweredViolation(harness.nowMicros));
        }
        assertEquals(0, harness.duplicateFinalResponses);
        assertTrue(checkedSends > 800, "too few sends: " + checkedSends);
    }

    private static void endAttempt(
            PolicyTestHarness harness, Checker checker, PolicyTestHarness.SentAttempt attempt, Outcome outcome) {
        checker.requests.get(attempt.request).outcomes.set(attempt.number, outcome);
        harness.endAttempt(attempt, outcome);
    }

    private static int checkNewSends(
            PolicyTestHarness harness, Checker checker, Map<String, Server> servers, int firstUnchecked) {
        for (int i = firstUnchecked; i < harness.sentAttempts.size(); i++) {
            PolicyTestHarness.SentAttempt attempt = harness.sentAttempts.get(i);
            Server target = servers.get(attempt.server);
            assertNull(
                    checker.recordSend(attempt.request, target, target.state() == State.UP, attempt.sentAtMicros),
                    attempt.request);
        }
        return harness.sentAttempts.size();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void coldServersStayWithinTheirBudgetUnderRandomTraffic(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Policy.Settings settings = PolicyTestHarness.settings(PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL));
        PolicyTestHarness harness =
                new PolicyTestHarness(settings, seed).updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(5));
        long startedAtMicros = 0;
        for (int i = 0; i < 1500; i++) { // 40 responses per second from each of 5 servers
            if (i == 500) {
                harness.updateEndpoints(
                        ListKind.PARTIAL, List.of(new Server("cold", State.UP, harness.nowMicros, 1, 0, 0, 0)));
            }
            for (int j = 0; j < 4; j++) {
                harness.request("x" + i + "/" + j, 0);
            }
            harness.advanceTime(10_000 + random.nextLong(20_000));
            harness.sentAttempts.stream()
                    .filter(s -> !s.ended && harness.nowMicros - s.sentAtMicros >= 30_000)
                    .toList()
                    .forEach(s -> harness.endAttempt(s, Outcome.OK));
            startedAtMicros = i < 500 ? harness.nowMicros : startedAtMicros;
        }
        List<Long> sends = harness.sentAttempts.stream()
                .filter(s -> s.server.equals("cold"))
                .map(s -> s.sentAtMicros)
                .toList();
        assertTrue(sends.size() > 20, "the cold server was hardly used: " + sends.size());
        assertNull(coldBudgetViolation(sends, startedAtMicros, 40, settings.bounds()));
    }
}
