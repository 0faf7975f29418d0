package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/**
 * The dispatcher and the policy in virtual time, on an event loop that is stalled for 0.1 to 1 s at any point of a
 * request's life. Clients and servers keep sending during the stall; their data is read after the stall, before the
 * timers run, as with {@code ReadBeforeTimers}.
 */
class EventLoopStallTest {
    private static final long DEADLINE_MICROS = 400_000; // of every request
    private static final long SLACK_MICROS = 8_000; // AnswerSlack of the settings
    private static final int SERVERS = 4;

    private static SettingsReader.Boot boot() {
        return TestSettings.boot(
                new TestSettings.RequestClass("c0", "safe", 200_000, DEADLINE_MICROS),
                new TestSettings.RequestClass("c1", "unsafe", 200_000, DEADLINE_MICROS));
    }

    /** A request of one client, with the responses that the client receives. */
    private static final class ClientRequest implements ResponseWriter {
        private final VirtualTimeScheduler loop;
        private final long sentAtMicros;
        private final List<String> responses = new ArrayList<>();
        private long respondedAtMicros;

        ClientRequest(VirtualTimeScheduler loop) {
            this.loop = loop;
            this.sentAtMicros = loop.now();
        }

        private void record(String response) {
            responses.add(response);
            respondedAtMicros = loop.now();
        }

        @Override
        public void serve(UpstreamResponse response) {
            record("served");
        }

        @Override
        public void reject(long retryAfterMicros) {
            record("rejected");
        }

        @Override
        public void fail() {
            record("failed");
        }
    }

    /** Servers that respond after a random time; the response stays in the socket until the loop reads the socket. */
    private final class Servers implements AttemptTransport {
        @Override
        public void updateEndpoints(EndpointUpdate update, long now) {}

        @Override
        public Attempt send(
                String server,
                ProxyRequest request,
                long responseTimeoutMicros,
                long startDeadlineMicros,
                Listener listener) {
            boolean[] ended = new boolean[1];
            long serviceMicros = 5_000 + random.nextLong(random.nextInt(6) == 0 ? 600_000 : 60_000);
            arrivals.add(new Arrival(loop.now() + serviceMicros, () -> {
                if (!ended[0]) {
                    ended[0] = true;
                    listener.ended(Policy.Outcome.OK, new UpstreamResponse(200, HeaderFields.NONE, new byte[0]), null);
                }
            }));
            return new Attempt() {
                @Override
                public AttemptTransport.AttemptEffect cancel() {
                    ended[0] = true;
                    return AttemptTransport.AttemptEffect.MAY_HAVE_RUN;
                }

                @Override
                public boolean withdraw() {
                    return false; // the attempt was written immediately
                }
            };
        }

        @Override
        public void probe(String server, boolean withLoadReport, Listener listener) {}

        @Override
        public void closeIdle(String server) {}
    }

    /** Bytes that arrive in a socket at a given time, and the action that reads them. */
    private record Arrival(long arrivedAtMicros, Runnable read) {}

    private final VirtualTimeScheduler loop = new VirtualTimeScheduler();
    private final List<Arrival> arrivals = new ArrayList<>();
    private SplittableRandom random;
    private int requestsSent;

    // One iteration of the event loop: reads the sockets, then runs the timers.
    private void runIteration() {
        List<Arrival> readable = arrivals.stream()
                .filter(arrival -> arrival.arrivedAtMicros() <= loop.now())
                .toList();
        arrivals.removeAll(readable);
        readable.forEach(arrival -> arrival.read().run());
        loop.advance(0);
    }

    private void run(long micros) {
        for (long endMicros = loop.now() + micros; loop.now() < endMicros; ) {
            loop.stall(1_000);
            runIteration();
        }
    }

    @Test
    void eachRequestGetsOneResponseWheneverTheLoopIsStalled() {
        int served = 0;
        for (int seed = 0; seed < 400; seed++) {
            random = new SplittableRandom(seed);
            arrivals.clear();
            Dispatcher dispatcher = startDispatcher(seed);
            List<ClientRequest> requests = new ArrayList<>();
            Stall stall = runWithOneStall(dispatcher, requests);
            run(2 * DEADLINE_MICROS);
            for (ClientRequest request : requests) {
                assertOneResponseInTime(request, stall, seed);
                served += request.responses.contains("served") ? 1 : 0;
            }
        }
        assertTrue(served > 0.6 * requestsSent, "most requests are served: " + served + " of " + requestsSent);
    }

    private Dispatcher startDispatcher(int seed) {
        JsqDasPolicy policy = new JsqDasPolicy(boot().settings(), seed);
        Dispatcher dispatcher = new Dispatcher(loop, loop, boot(), policy, line -> {});
        dispatcher.attach(new Servers(), EndpointSource.NONE);
        dispatcher.startStallDetection();
        List<EndpointUpdate.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            endpoints.add(
                    new EndpointUpdate.Endpoint(new Policy.Server("s" + i, Policy.State.UP, 0, 1, 0, 0, 0), null));
        }
        dispatcher.updateEndpoints(Policy.ListKind.COMPLETE, new EndpointUpdate(1, true, endpoints));
        return dispatcher;
    }

    /** The time of an event loop stall. */
    private record Stall(long startMicros, long endMicros) {}

    private Stall runWithOneStall(Dispatcher dispatcher, List<ClientRequest> requests) {
        Stall stall = null;
        int stallAt = random.nextInt(300);
        for (int step = 0; step < 300; step++) {
            if (step == stallAt) {
                stall = stall(dispatcher, requests);
                runIteration();
            } else {
                if (random.nextInt(4) == 0) {
                    sendRequest(dispatcher, requests);
                }
                run(1_000 + random.nextLong(4_000));
            }
        }
        return stall;
    }

    private Stall stall(Dispatcher dispatcher, List<ClientRequest> requests) {
        long startMicros = loop.now();
        long durationMicros = 100_000 + random.nextLong(900_000);
        for (int i = 0; i < 20; i++) { // clients keep sending
            loop.stall(durationMicros / 20);
            sendRequest(dispatcher, requests);
        }
        return new Stall(startMicros, loop.now());
    }

    private static void assertOneResponseInTime(ClientRequest request, Stall stall, int seed) {
        String result =
                "seed " + seed + ": " + request.responses + " " + (request.respondedAtMicros - request.sentAtMicros);
        assertEquals(1, request.responses.size(), result);
        long deadlineMicros = request.sentAtMicros + DEADLINE_MICROS;
        boolean overlapsStall = request.sentAtMicros <= stall.endMicros() && deadlineMicros >= stall.startMicros();
        // A request whose deadline passes during the stall gets its response right after the stall.
        long latestMicros = Math.max(deadlineMicros + SLACK_MICROS, overlapsStall ? stall.endMicros() + 2_000 : 0);
        assertTrue(request.respondedAtMicros <= latestMicros, result);
    }

    private void sendRequest(Dispatcher dispatcher, List<ClientRequest> requests) {
        ClientRequest client = new ClientRequest(loop);
        requests.add(client);
        requestsSent++;
        int requestClass = random.nextInt(2);
        String id = "r" + requestsSent;
        ProxyRequest request = new ProxyRequest(
                id,
                requestClass == 0 ? "GET" : "POST",
                "/k",
                HeaderFields.NONE,
                new byte[0],
                requestClass,
                0,
                null,
                DEADLINE_MICROS,
                -1,
                false);
        arrivals.add(new Arrival(loop.now(), () -> dispatcher.dispatch(request, client)));
    }
}
