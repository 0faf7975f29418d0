package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

/** Settings that are reloaded while requests are open: each request keeps the settings of its arrival. */
class SettingsReloadTest {
    private record OutstandingAttempt(String request, int number) {}

    private static final class RecordingActions implements NoOpActions {
        final Map<String, Policy.RequestClass> classById = new HashMap<>();
        final Map<String, Integer> maxAttemptsById = new HashMap<>();
        final Map<String, Integer> attemptCounts = new HashMap<>();
        final Map<String, Integer> responseCounts = new HashMap<>();
        final Set<String> mayHaveRun = new java.util.HashSet<>();
        final ArrayDeque<OutstandingAttempt> outstanding = new ArrayDeque<>();
        long wakeAtMicros = Long.MAX_VALUE;
        long nowMicros;

        @Override
        public void send(String request, String server, long timeoutMicros) {
            int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
            assertTrue(
                    number < maxAttemptsById.get(request),
                    request + ": more attempts than the settings of its arrival allow");
            assertTrue(
                    !mayHaveRun.contains(request) || classById.get(request).effect() != Effect.UNSAFE,
                    request + ": sent again though it is unsafe and may have run");
            outstanding.add(new OutstandingAttempt(request, number));
        }

        @Override
        public void reject(String request, long retryAfterMicros) {
            assertTrue(!mayHaveRun.contains(request) || classById.get(request).effect() == Effect.SAFE, request);
            responseCounts.merge(request, 1, Integer::sum);
        }

        @Override
        public void fail(String request) {
            responseCounts.merge(request, 1, Integer::sum);
        }

        @Override
        public void wakeAfter(long delayMicros) {
            wakeAtMicros = Math.min(wakeAtMicros, nowMicros + delayMicros);
        }
    }

    private static Policy.Settings settings(SplittableRandom random, int classes) {
        List<Policy.RequestClass> requestClasses = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            requestClasses.add(new Policy.RequestClass(
                    Effect.values()[random.nextInt(3)],
                    Policy.Scope.CELL,
                    1_000_000,
                    50_000 + random.nextInt(200_000),
                    400_000,
                    0,
                    1 + random.nextInt(3),
                    0,
                    false));
        }
        int tenants = random.nextInt(3);
        return new Policy.Settings(
                2,
                0,
                0,
                requestClasses,
                java.util.Collections.nCopies(tenants, new Policy.Tenant(50)),
                0.1,
                new Policy.Goal(1, 0, 0, 0),
                new Policy.Prices(0, 0),
                false,
                Policy.Discovery.PUSH,
                Policy.Reports.NONE,
                false,
                new Policy.Limits(1 + random.nextInt(4), random.nextBoolean(), true, false, 0, 0),
                new Policy.Bounds(8_000, 1_000_000, 0, 0.3, 8_000_000, 3, 1_000_000, 0),
                2_000);
    }

    private static List<Integer> formerNumbers(SplittableRandom random, int count, int formerCount) {
        List<Integer> formerNumbers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            formerNumbers.add(formerCount == 0 || random.nextInt(3) == 0 ? -1 : random.nextInt(formerCount));
        }
        return formerNumbers;
    }

    @Test
    void theFourRulesHoldUnderTheSettingsOfEachRequestsArrival() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RecordingActions caller = new RecordingActions();
            Policy.Settings settings = settings(random, 1 + random.nextInt(4));
            Policy policy = new JsqDasPolicy(settings, seed);
            List<Policy.Server> servers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                servers.add(new Policy.Server("s" + i, Policy.State.UP, 0, 1, i % 2, 0, 0));
            }
            policy.updateEndpoints(0, Policy.ListKind.PERSISTED, servers, caller);
            int requestCount = 0;
            for (int step = 0; step < 1_500; step++) {
                caller.nowMicros += random.nextInt(1_500);
                if (caller.nowMicros >= caller.wakeAtMicros) {
                    caller.wakeAtMicros = Long.MAX_VALUE;
                    policy.wake(caller.nowMicros, caller);
                }
                int eventDraw = random.nextInt(20);
                if (eventDraw == 0) {
                    Policy.Settings next = settings(random, 1 + random.nextInt(4));
                    policy.reload(
                            caller.nowMicros,
                            next,
                            formerNumbers(
                                    random,
                                    next.classes().size(),
                                    settings.classes().size()),
                            formerNumbers(
                                    random,
                                    next.tenants().size(),
                                    settings.tenants().size()),
                            caller);
                    settings = next;
                } else if (eventDraw < 9) {
                    String id = "r" + requestCount++;
                    int classIndex = random.nextInt(settings.classes().size());
                    caller.classById.put(id, settings.classes().get(classIndex));
                    caller.maxAttemptsById.put(id, settings.limits().maxAttempts());
                    int tenant = settings.tenants().isEmpty()
                            ? 0
                            : random.nextInt(settings.tenants().size());
                    policy.request(caller.nowMicros, id, classIndex, tenant, null, 400_000, -1, false, caller);
                } else if (!caller.outstanding.isEmpty()) {
                    OutstandingAttempt attempt = caller.outstanding.poll();
                    Outcome[] outcomes = {
                        Outcome.OK,
                        Outcome.OK,
                        Outcome.OK,
                        Outcome.RESET,
                        Outcome.FULL,
                        Outcome.ERROR,
                        Outcome.TIMEOUT,
                        Outcome.CONNECT_FAILED
                    };
                    Outcome outcome = outcomes[random.nextInt(outcomes.length)];
                    boolean open = !caller.responseCounts.containsKey(attempt.request());
                    if (!outcome.neverRan()) {
                        caller.mayHaveRun.add(attempt.request());
                    }
                    if (outcome == Outcome.OK && open) {
                        caller.responseCounts.put(attempt.request(), 1);
                    }
                    policy.outcome(
                            caller.nowMicros,
                            attempt.request(),
                            attempt.number(),
                            outcome,
                            10_000,
                            caller.responseCounts.containsKey(attempt.request()),
                            null,
                            caller);
                }
            }
            for (int i = 0; i < 2_000; i++) {
                caller.nowMicros += 2_000;
                policy.wake(caller.nowMicros, caller);
                while (!caller.outstanding.isEmpty()) {
                    OutstandingAttempt attempt = caller.outstanding.poll();
                    caller.mayHaveRun.add(attempt.request());
                    caller.responseCounts.putIfAbsent(attempt.request(), 1);
                    policy.outcome(
                            caller.nowMicros,
                            attempt.request(),
                            attempt.number(),
                            Outcome.OK,
                            10_000,
                            true,
                            null,
                            caller);
                }
            }
            assertEquals(caller.classById.keySet(), caller.responseCounts.keySet(), "seed " + seed);
            caller.responseCounts.forEach((id, count) -> assertEquals(1, count, id));
        }
    }
}
