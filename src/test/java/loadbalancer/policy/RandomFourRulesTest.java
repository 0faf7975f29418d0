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

/** The four rules over random legal events, judged by a checker that is itself shown to catch violations. */
class RandomFourRulesTest {
    private static final long SLACK = 20_000;

    /** What is known of one request. */
    private static final class Known {
        RequestClass kind;
        long deadline;
        String answer;
        final List<Server> servers = new ArrayList<>();
        final List<Long> at = new ArrayList<>();
        final List<Outcome> ended = new ArrayList<>(); // null while out
    }

    /** Takes what happens in its order; each call says what rule is broken, or null. */
    private static final class Checker {
        private final Map<String, Known> requests = new HashMap<>();

        void taken(String id, RequestClass kind, long deadline) {
            Known k = new Known();
            k.kind = kind;
            k.deadline = deadline;
            requests.put(id, k);
        }

        String sent(String id, Server to, boolean usable, long now) {
            Known k = requests.get(id);
            if (k.answer != null) {
                return "sent after its answer";
            }
            if (!usable) {
                return "sent to a draining or removed server";
            }
            for (int i = 0; i < k.ended.size(); i++) {
                boolean mayHaveRun = k.ended.get(i) == null || !k.ended.get(i).neverRan();
                if (mayHaveRun && k.kind.effect() == Effect.UNSAFE) {
                    return "an unsafe effect may happen twice";
                }
                boolean outside = k.kind.scope() == Scope.CELL
                                && k.servers.get(i).cell() != to.cell()
                        || k.kind.scope() == Scope.ZONE && k.servers.get(i).zone() != to.zone();
                if (mayHaveRun
                        && k.kind.effect() == Effect.KEYED
                        && (outside || now - k.at.get(i) >= k.kind.keyTtlMicros())) {
                    return "a keyed request left its group or window";
                }
            }
            k.servers.add(to);
            k.at.add(now);
            k.ended.add(null);
            return null;
        }

        String answered(String id, String how, long now) {
            Known k = requests.get(id);
            if (k.answer != null) {
                return "answered twice";
            }
            k.answer = how;
            if (now > k.deadline + SLACK) {
                return "answered too late";
            }
            boolean mayHaveRun = k.ended.stream().anyMatch(o -> o == null || !o.neverRan());
            boolean harmless =
                    k.kind.effect() == Effect.SAFE || k.kind.effect() == Effect.KEYED && k.kind.scope() == Scope.ALL;
            return how.equals("refused") && mayHaveRun && !harmless ? "refused though it may have run" : null;
        }

        String atTheEnd(long now) {
            return requests.values().stream().anyMatch(k -> k.answer == null && now > k.deadline + SLACK)
                    ? "a request was lost"
                    : null;
        }
    }

    /** Most sends to a cold server within any window, against its budget of all balancers. */
    static String cold(List<Long> sends, long started, double warmPerSecond, Policy.Bounds b) {
        for (int i = 0; i < sends.size(); i++) {
            long from = sends.get(i);
            double part = b.coldFrom() + (1 - b.coldFrom()) * (from - started) / b.rampTimeMicros();
            long until = from + b.fallWindowMicros();
            long count = sends.stream().filter(t -> t >= from && t < until).count();
            double limit = b.overloadFactor() * part * warmPerSecond * b.fallWindowMicros() / 1e6 + 2;
            if (count > limit && from - started < b.rampTimeMicros()) {
                return count + " sends in a window that bears " + limit;
            }
        }
        return null;
    }

    @Test
    void theCheckerCatchesEveryKindOfViolation() {
        Server one = new Server("a", State.UP, 0, 1, 0, 0, 0);
        Server two = new Server("b", State.UP, 0, 1, 1, 0, 1);
        Checker c = new Checker();
        c.taken("u", PolicyTestHarness.kind(Effect.UNSAFE, Scope.ALL), 100);
        assertNull(c.sent("u", one, true, 0));
        assertTrue(c.sent("u", two, true, 1).contains("twice"));
        assertTrue(c.answered("u", "refused", 1).contains("may have run"));
        assertTrue(c.answered("u", "failed", 1).contains("answered twice"));
        assertTrue(c.sent("u", one, true, 2).contains("after its answer"));
        c.taken("k", PolicyTestHarness.kind(Effect.KEYED, Scope.CELL), 100);
        assertTrue(c.sent("k", one, false, 0).contains("draining"));
        assertNull(c.sent("k", one, true, 0));
        assertTrue(c.sent("k", two, true, 0).contains("group"));
        assertTrue(c.sent("k", one, true, 2_000_000).contains("window"));
        assertTrue(c.atTheEnd(100 + SLACK + 1).contains("lost"));
        assertTrue(c.answered("k", "failed", 100 + SLACK + 1).contains("too late"));
        Policy.Bounds b = PolicyTestHarness.settings(PolicyTestHarness.kind(Effect.SAFE, Scope.ALL))
                .bounds();
        assertTrue(cold(LongStream.range(0, 30).boxed().toList(), 0, 10, b) != null);
        assertNull(cold(List.of(0L, 900_000L), 0, 10, b));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> kinds = List.of(
                PolicyTestHarness.kind(Effect.SAFE, Scope.ALL),
                PolicyTestHarness.kind(Effect.UNSAFE, Scope.ALL),
                PolicyTestHarness.kind(Effect.KEYED, Scope.ALL),
                PolicyTestHarness.kind(Effect.KEYED, Scope.CELL),
                PolicyTestHarness.kind(Effect.KEYED, Scope.ZONE));
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(kinds.toArray(new RequestClass[0])), seed);
        Checker checker = new Checker();
        Map<String, Server> servers = new HashMap<>();
        PolicyTestHarness.fleet(8).forEach(s -> servers.put(s.id(), s));
        harness.list(ListKind.PERSISTED, PolicyTestHarness.fleet(8));
        int seen = 0;
        int answers = 0;
        for (int step = 0; step < 4000; step++) {
            int what = random.nextInt(100);
            List<PolicyTestHarness.Sent> out =
                    harness.sends.stream().filter(s -> !s.ended).toList();
            if (what < 40) {
                RequestClass kind = kinds.get(random.nextInt(kinds.size()));
                long left = 100_000 + random.nextLong(2_000_000);
                checker.taken("r" + step, kind, harness.now + left);
                harness.request("r" + step, kinds.indexOf(kind), 0, left);
            } else if (what < 80 && !out.isEmpty()) {
                PolicyTestHarness.Sent s = out.get(random.nextInt(out.size()));
                Outcome[] all = Outcome.values();
                end(harness, checker, s, random.nextInt(3) > 0 ? Outcome.OK : all[random.nextInt(all.length - 1)]);
            } else if (what < 84) {
                String id = "s" + random.nextInt(8);
                servers.computeIfPresent(id, (i, s) -> s.withState(State.values()[random.nextInt(3)]));
                harness.list(ListKind.PARTIAL, List.of(servers.get(id)));
            } else {
                harness.pass(random.nextLong(20_000));
            }
            for (PolicyTestHarness.Sent s : new ArrayList<>(harness.sends)) {
                if (!s.ended && harness.now >= checker.requests.get(s.request).deadline) {
                    seen = sends(harness, checker, servers, seen);
                    end(harness, checker, s, Outcome.TIMEOUT);
                }
            }
            seen = sends(harness, checker, servers, seen);
            List<String> ids = List.copyOf(harness.finals.keySet());
            for (; answers < ids.size(); answers++) {
                String id = ids.get(answers);
                assertNull(checker.answered(id, harness.finals.get(id), harness.now));
            }
            assertNull(checker.atTheEnd(harness.now));
        }
        assertEquals(0, harness.doubleFinals);
        assertTrue(seen > 800, "enough was sent: " + seen);
    }

    private static void end(PolicyTestHarness harness, Checker checker, PolicyTestHarness.Sent s, Outcome outcome) {
        checker.requests.get(s.request).ended.set(s.number, outcome);
        harness.end(s, outcome);
    }

    private static int sends(PolicyTestHarness harness, Checker checker, Map<String, Server> servers, int from) {
        for (int i = from; i < harness.sends.size(); i++) {
            PolicyTestHarness.Sent s = harness.sends.get(i);
            Server to = servers.get(s.server);
            assertNull(checker.sent(s.request, to, to.state() == State.UP, s.at), s.request);
        }
        return harness.sends.size();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void coldServersBearWhatRandomTrafficSends(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Policy.Settings settings = PolicyTestHarness.settings(PolicyTestHarness.kind(Effect.SAFE, Scope.ALL));
        PolicyTestHarness harness =
                new PolicyTestHarness(settings, seed).list(ListKind.PERSISTED, PolicyTestHarness.fleet(5));
        long started = 0;
        for (int i = 0; i < 1500; i++) { // 40 answers a second from each of 5
            if (i == 500) {
                harness.list(ListKind.PARTIAL, List.of(new Server("cold", State.UP, harness.now, 1, 0, 0, 0)));
            }
            for (int j = 0; j < 4; j++) {
                harness.request("x" + i + "/" + j, 0);
            }
            harness.pass(10_000 + random.nextLong(20_000));
            harness.sends.stream()
                    .filter(s -> !s.ended && harness.now - s.at >= 30_000)
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.OK));
            started = i < 500 ? harness.now : started;
        }
        List<Long> sends = harness.sends.stream()
                .filter(s -> s.server.equals("cold"))
                .map(s -> s.at)
                .toList();
        assertTrue(sends.size() > 20, "it is used: " + sends.size());
        assertNull(cold(sends, started, 40, settings.bounds()));
    }
}
