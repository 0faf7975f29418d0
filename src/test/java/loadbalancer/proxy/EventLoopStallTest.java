package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/**
 * The dispatcher and the module in virtual time, on a loop that stands still for 0.1 to 1 s at any point of
 * a request's life. Clients and servers go on meanwhile: what they send is read when it wakes, before its
 * timers run, as {@code ReadBeforeTimers} has it.
 */
class EventLoopStallTest {
    private static final long DEADLINE = 400_000; // µs, of every request
    private static final long SLACK = 8_000; // of the settings: a beat less the guards is no more
    private static final int SERVERS = 4;

    private static SettingsReader.Boot boot() {
        Map<String, String> values = new HashMap<>(
                Map.of("Balancers", "1", "Quantum", "1000", "MembershipMode", "push", "Classes.count", "2"));
        for (int i = 0; i < 2; i++) {
            values.putAll(Map.of(
                    "Classes." + i + ".Name",
                    "c" + i,
                    "Classes." + i + ".Idempotency",
                    i == 0 ? "safe" : "unsafe",
                    "Classes." + i + ".GoalTime",
                    "200000",
                    "Classes." + i + ".GiveUp",
                    Long.toString(DEADLINE),
                    "Classes." + i + ".Gain",
                    "4",
                    "Classes." + i + ".LateShare",
                    "0.25"));
        }
        values.putAll(Map.of(
                "Limits.TryLimit",
                "3",
                "Limits.MayDuplicate",
                "true",
                "Limits.Cancel",
                "true",
                "Limits.Probes",
                "false",
                "Rules.AnswerSlack",
                "8000",
                "Rules.DrainGrace",
                "1000000",
                "Rules.ColdFrom",
                "0.3",
                "Rules.RampTime",
                "1",
                "Rules.OverloadFactor",
                "3",
                "Rules.Fall",
                "1"));
        return SettingsReader.read(values, (path, what) -> new IllegalArgumentException(path + what));
    }

    /** One client's request: when it was sent, and the answers that came. */
    private static final class Asked implements ResponseWriter {
        private final VirtualTimeScheduler loop;
        private final long sent;
        private final List<String> answers = new ArrayList<>();
        private long answeredAt;

        Asked(VirtualTimeScheduler loop) {
            this.loop = loop;
            this.sent = loop.now();
        }

        private void answer(String what) {
            answers.add(what);
            answeredAt = loop.now();
        }

        @Override
        public void serve(UpstreamResponse answer) {
            answer("served");
        }

        @Override
        public void reject(long retryAfter) {
            answer("refused");
        }

        @Override
        public void fail() {
            answer("failed");
        }
    }

    /** Servers that answer after a time of their own; the answer waits in the socket until it is read. */
    private final class Servers implements AttemptTransport {
        @Override
        public void updateEndpoints(EndpointUpdate targets, long now) {}

        @Override
        public Attempt send(String server, ProxyRequest order, long wait, long before, Listener listener) {
            boolean[] over = new boolean[1];
            long takes = 5_000 + random.nextLong(random.nextInt(6) == 0 ? 600_000 : 60_000);
            arrivals.add(new Arrival(loop.now() + takes, () -> {
                if (!over[0]) {
                    over[0] = true;
                    listener.ended(Policy.Outcome.OK, new UpstreamResponse(200, HeaderFields.NONE, new byte[0]), null);
                }
            }));
            return new Attempt() {
                @Override
                public AttemptTransport.AttemptEffect cancel() {
                    over[0] = true;
                    return AttemptTransport.AttemptEffect.MAY_HAVE_RUN;
                }

                @Override
                public boolean withdraw() {
                    return false; // it has been written at once
                }
            };
        }

        @Override
        public void probe(String server, boolean report, Listener listener) {}

        @Override
        public void closeIdle(String server) {}
    }

    /** Bytes that reach the machine at a time, and what reading them does. */
    private record Arrival(long at, Runnable read) {}

    private final VirtualTimeScheduler loop = new VirtualTimeScheduler();
    private final List<Arrival> arrivals = new ArrayList<>();
    private SplittableRandom random;
    private int made;

    // One turn of the loop: its sockets, then its timers.
    private void turn() {
        List<Arrival> here = arrivals.stream().filter(a -> a.at() <= loop.now()).toList();
        arrivals.removeAll(here);
        here.forEach(a -> a.read().run());
        loop.pass(0);
    }

    private void run(long micros) {
        for (long until = loop.now() + micros; loop.now() < until; ) {
            loop.stall(1_000);
            turn();
        }
    }

    @Test
    void eachRequestGetsItsOneAnswerWhereverTheLoopStandsStill() {
        int served = 0;
        for (int seed = 0; seed < 400; seed++) {
            random = new SplittableRandom(seed);
            arrivals.clear();
            JsqDasPolicy module = new JsqDasPolicy(boot().settings(), seed);
            Dispatcher dispatcher = new Dispatcher(loop, loop, boot(), module, line -> {});
            dispatcher.attach(new Servers(), EndpointSource.NONE);
            dispatcher.startStallDetection();
            List<EndpointUpdate.Endpoint> targets = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                targets.add(
                        new EndpointUpdate.Endpoint(new Policy.Server("s" + i, Policy.State.UP, 0, 1, 0, 0, 0), null));
            }
            dispatcher.updateEndpoints(Policy.ListKind.COMPLETE, new EndpointUpdate(1, true, targets));
            List<Asked> all = new ArrayList<>();
            int stallAt = random.nextInt(300);
            long[] stalled = new long[2];
            for (int step = 0; step < 300; step++) {
                if (step == stallAt) {
                    stalled[0] = loop.now();
                    long length = 100_000 + random.nextLong(900_000);
                    for (int i = 0; i < 20; i++) { // clients go on asking
                        loop.stall(length / 20);
                        ask(dispatcher, all);
                    }
                    stalled[1] = loop.now();
                    turn();
                } else {
                    if (random.nextInt(4) == 0) {
                        ask(dispatcher, all);
                    }
                    run(1_000 + random.nextLong(4_000));
                }
            }
            run(2 * DEADLINE);
            for (Asked asked : all) {
                String seen = "seed " + seed + ": " + asked.answers + " " + (asked.answeredAt - asked.sent);
                assertEquals(1, asked.answers.size(), seen);
                boolean hit = asked.sent <= stalled[1] && asked.sent + DEADLINE >= stalled[0];
                // At the waking at the latest, where its time ran out meanwhile.
                long latest = Math.max(asked.sent + DEADLINE + SLACK, hit ? stalled[1] + 2_000 : 0);
                assertTrue(asked.answeredAt <= latest, seen);
                served += asked.answers.contains("served") ? 1 : 0;
            }
        }
        assertTrue(served > 0.6 * made, "and most are served: " + served + " of " + made);
    }

    private void ask(Dispatcher dispatcher, List<Asked> all) {
        Asked asked = new Asked(loop);
        all.add(asked);
        made++;
        int kind = random.nextInt(2);
        String id = "r" + made;
        ProxyRequest order = new ProxyRequest(
                id,
                kind == 0 ? "GET" : "POST",
                "/k",
                HeaderFields.NONE,
                new byte[0],
                kind,
                0,
                null,
                DEADLINE,
                -1,
                false);
        arrivals.add(new Arrival(loop.now(), () -> dispatcher.dispatch(order, asked)));
    }
}
