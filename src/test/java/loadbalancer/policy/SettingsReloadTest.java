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

/** Settings that change while requests are open: each request keeps the record that it was taken under. */
class SettingsReloadTest {
    private record Out(String request, int attempt) {}

    private static final class World implements NoOpActions {
        final Map<String, Policy.RequestClass> kinds = new HashMap<>();
        final Map<String, Integer> maxAttempts = new HashMap<>();
        final Map<String, Integer> sent = new HashMap<>();
        final Map<String, Integer> answers = new HashMap<>();
        final Set<String> mayHaveRun = new java.util.HashSet<>();
        final ArrayDeque<Out> out = new ArrayDeque<>();
        long wakeAt = Long.MAX_VALUE;
        long now;

        @Override
        public void send(String request, String server, long timeout) {
            int number = sent.merge(request, 1, Integer::sum) - 1;
            assertTrue(number < maxAttempts.get(request), request + ": more attempts than when it was taken");
            assertTrue(
                    !mayHaveRun.contains(request) || kinds.get(request).effect() != Effect.UNSAFE,
                    request + ": unsafe, and may have run");
            out.add(new Out(request, number));
        }

        @Override
        public void reject(String request, long retryAfter) {
            assertTrue(!mayHaveRun.contains(request) || kinds.get(request).effect() == Effect.SAFE, request);
            answers.merge(request, 1, Integer::sum);
        }

        @Override
        public void fail(String request) {
            answers.merge(request, 1, Integer::sum);
        }

        @Override
        public void wakeAfter(long delay) {
            wakeAt = Math.min(wakeAt, now + delay);
        }
    }

    private static Policy.Settings settings(SplittableRandom random, int classes) {
        List<Policy.RequestClass> kinds = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            kinds.add(new Policy.RequestClass(
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
                kinds,
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

    private static List<Integer> former(SplittableRandom random, int now, int before) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < now; i++) {
            numbers.add(before == 0 || random.nextInt(3) == 0 ? -1 : random.nextInt(before));
        }
        return numbers;
    }

    @Test
    void theFourRulesHoldByEachRequestsOwnRecord() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            World w = new World();
            Policy.Settings s = settings(random, 1 + random.nextInt(4));
            Policy module = new JsqDasPolicy(s, seed);
            List<Policy.Server> servers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                servers.add(new Policy.Server("s" + i, Policy.State.UP, 0, 1, i % 2, 0, 0));
            }
            module.updateEndpoints(0, Policy.ListKind.PERSISTED, servers, w);
            int taken = 0;
            for (int step = 0; step < 1_500; step++) {
                w.now += random.nextInt(1_500);
                if (w.now >= w.wakeAt) {
                    w.wakeAt = Long.MAX_VALUE;
                    module.wake(w.now, w);
                }
                int what = random.nextInt(20);
                if (what == 0) {
                    Policy.Settings next = settings(random, 1 + random.nextInt(4));
                    module.reload(
                            w.now,
                            next,
                            former(random, next.classes().size(), s.classes().size()),
                            former(random, next.tenants().size(), s.tenants().size()),
                            w);
                    s = next;
                } else if (what < 9) {
                    String id = "r" + taken++;
                    int number = random.nextInt(s.classes().size());
                    w.kinds.put(id, s.classes().get(number));
                    w.maxAttempts.put(id, s.limits().maxAttempts());
                    int tenant = s.tenants().isEmpty()
                            ? 0
                            : random.nextInt(s.tenants().size());
                    module.request(w.now, id, number, tenant, null, 400_000, -1, false, w);
                } else if (!w.out.isEmpty()) {
                    Out o = w.out.poll();
                    Outcome[] all = {
                        Outcome.OK,
                        Outcome.OK,
                        Outcome.OK,
                        Outcome.RESET,
                        Outcome.FULL,
                        Outcome.ERROR,
                        Outcome.TIMEOUT,
                        Outcome.CONNECT_FAILED
                    };
                    Outcome outcome = all[random.nextInt(all.length)];
                    boolean open = !w.answers.containsKey(o.request());
                    if (!outcome.neverRan()) {
                        w.mayHaveRun.add(o.request());
                    }
                    if (outcome == Outcome.OK && open) {
                        w.answers.put(o.request(), 1);
                    }
                    module.outcome(
                            w.now,
                            o.request(),
                            o.attempt(),
                            outcome,
                            10_000,
                            w.answers.containsKey(o.request()),
                            null,
                            w);
                }
            }
            for (int i = 0; i < 2_000; i++) {
                w.now += 2_000;
                module.wake(w.now, w);
                while (!w.out.isEmpty()) {
                    Out o = w.out.poll();
                    w.mayHaveRun.add(o.request());
                    w.answers.putIfAbsent(o.request(), 1);
                    module.outcome(w.now, o.request(), o.attempt(), Outcome.OK, 10_000, true, null, w);
                }
            }
            assertEquals(w.kinds.keySet(), w.answers.keySet(), "seed " + seed);
            w.answers.forEach((id, n) -> assertEquals(1, n, id));
        }
    }
}
