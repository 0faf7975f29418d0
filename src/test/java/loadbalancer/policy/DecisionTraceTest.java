package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Discovery;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Reports;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import loadbalancer.policy.Policy.Tenant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares a hash of all actions of the decision module, over seeded sequences of events, with the recorded one.
 * Guards against decisions that change without intent, be it by another order of iteration, of random draws or of
 * floating-point operations. A commit that changes decisions on purpose records new hashes and says so. The text of
 * log lines is not part of the hash.
 */
class DecisionTraceTest {
    private static final int EVENTS = 30_000;
    private static final int SERVERS = 24;
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** The configurations that the events are played with. */
    enum Site {
        PLAIN,
        KEYED_FLEET,
        ORDERED_ZONES,
        TENANTS_PRICED
    }

    @ParameterizedTest
    @CsvSource({
        "PLAIN, 1, 00b88235b3563697",
        "PLAIN, 2, 58b7a43fcabd420b",
        "KEYED_FLEET, 3, 5ce941a8fd79aac8",
        "KEYED_FLEET, 4, 67352cb5a7f5625e",
        "ORDERED_ZONES, 5, 891d3c88263bc997",
        "ORDERED_ZONES, 6, 68c1e576da23ec1b",
        "TENANTS_PRICED, 7, 0ed4c99d1d99e1eb",
        "TENANTS_PRICED, 8, 1efeb6b2f1507ddb",
    })
    void sameSeedGivesTheSameActions(Site site, long seed, String expected) {
        EventHistory trace = new EventHistory(site, seed);
        trace.run();
        assertTrue(trace.sendCount > EVENTS / 20, () -> "too few sends: " + trace);
        assertTrue(trace.finalResponseCount > 0, () -> "no request was rejected or failed: " + trace);
        assertEquals(settings(site).limits().mayCancel(), trace.cancelCount > 0, trace::toString);
        assertEquals(expected, trace.hash(), trace::toString);
    }

    private static Policy.Settings settings(Site site) {
        RequestClass safe = new RequestClass(Effect.SAFE, Scope.ALL, 0, 60_000, 400_000, 0, 1, 0.3, false);
        RequestClass streamed = new RequestClass(Effect.SAFE, Scope.ALL, 0, 90_000, 900_000, 0.5, 2, 0.6, true);
        RequestClass unsafe = new RequestClass(Effect.UNSAFE, Scope.ALL, 0, 120_000, 800_000, 0, 6, 0.2, false);
        RequestClass keyed = new RequestClass(Effect.KEYED, Scope.CELL, 500_000, 80_000, 600_000, 0, 3, 0.4, false);
        RequestClass zoned = new RequestClass(
                Effect.KEYED, Scope.ZONE, 700_000, 80_000, 600_000, 0, 4, 0.4, false, false, Set.of(0, 1), Set.of());
        RequestClass ordered = new RequestClass(
                Effect.UNSAFE, Scope.ALL, 0, 100_000, 900_000, 0, 5, 0.1, false, true, Set.of(), Set.of(0, 1));
        Policy.Bounds bounds = new Policy.Bounds(
                8_000,
                MICROS_PER_SECOND,
                3 * MICROS_PER_SECOND,
                0.25,
                6 * MICROS_PER_SECOND,
                2.5,
                MICROS_PER_SECOND,
                50_000);
        return switch (site) {
            case PLAIN ->
                new Policy.Settings(
                        1,
                        0,
                        0,
                        List.of(safe, unsafe),
                        List.of(),
                        0.1,
                        new Policy.Goal(1, 0, 0, 0),
                        new Policy.Prices(0, 0),
                        false,
                        Discovery.PUSH,
                        Reports.NONE,
                        false,
                        new Policy.Limits(3, true, true, true, 100_000, 0),
                        bounds,
                        2_000);
            case KEYED_FLEET ->
                new Policy.Settings(
                        40,
                        7,
                        1,
                        List.of(safe, keyed, unsafe, streamed),
                        List.of(),
                        0.1,
                        new Policy.Goal(1, 0.2, 0.2, 0),
                        new Policy.Prices(0, 0.02),
                        true,
                        Discovery.ASK,
                        Reports.ANSWERS,
                        true,
                        new Policy.Limits(4, true, true, false, 100_000, 2 * MICROS_PER_SECOND),
                        bounds,
                        2_000);
            case ORDERED_ZONES ->
                new Policy.Settings(
                        4,
                        2,
                        0,
                        List.of(ordered, zoned, safe),
                        List.of(),
                        0.1,
                        new Policy.Goal(1, 0, 0.3, 0),
                        new Policy.Prices(0.05, 0),
                        true,
                        Discovery.PUSH,
                        Reports.ANSWERS,
                        true,
                        new Policy.Limits(3, false, true, false, 100_000, MICROS_PER_SECOND),
                        bounds,
                        1_000);
            case TENANTS_PRICED ->
                new Policy.Settings(
                        3,
                        1,
                        2,
                        List.of(safe, keyed, unsafe),
                        List.of(new Tenant(30), new Tenant(400), new Tenant(5)),
                        0.15,
                        new Policy.Goal(1, 0.1, 0.1, 0.4),
                        new Policy.Prices(0.03, 0.05),
                        false,
                        Discovery.ASK,
                        Reports.NONE,
                        false,
                        new Policy.Limits(3, true, false, false, 100_000, MICROS_PER_SECOND),
                        bounds,
                        5_000);
        };
    }

    /** An event and its time; simultaneous events run by ascending {@code order}. */
    private record Event(long at, int order, Runnable action) {}

    /** A request as the caller sees it. */
    private static final class CallerRequest {
        final String id;
        final List<Long> sentAtMicros = new ArrayList<>();
        final List<String> sentTo = new ArrayList<>();
        boolean closed;

        CallerRequest(String id) {
            this.id = id;
        }
    }

    /** Random requests, server changes, endpoint lists and reloads for one policy, and the hash of its actions. */
    private static final class EventHistory implements Policy.Actions {
        private final SplittableRandom random;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingInt(Event::order));
        private final MessageDigest digest;
        private final Policy.Settings settings;
        private final Policy policy;
        private final Map<String, CallerRequest> requests = new HashMap<>();
        private final Map<String, Integer> inFlight = new HashMap<>();
        private final List<Server> servers = new ArrayList<>();
        private long nowMicros = 5_000 * MICROS_PER_SECOND;
        private int scheduledCount;
        private int requestCount;
        private int sendCount;
        private int finalResponseCount;
        private int cancelCount;

        EventHistory(Site site, long seed) {
            random = new SplittableRandom(seed * 7_919);
            settings = settings(site);
            policy = new JsqDasPolicy(settings, seed);
            try {
                digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e);
            }
            for (int i = 0; i < SERVERS; i++) {
                servers.add(new Server("10.0.0." + i + ":80", State.UP, 0, 1 + i % 3, i % 4, i % 2, i % 3));
            }
        }

        void run() {
            policy.updateEndpoints(nowMicros, ListKind.PERSISTED, List.copyOf(servers), this);
            policy.updateEndpoints(nowMicros, ListKind.COMPLETE, List.copyOf(servers), this);
            schedule(0, this::submitRequest);
            schedule(300_000, this::updateServers);
            schedule(2 * MICROS_PER_SECOND, this::reloadSettings);
            for (int i = 0; i < EVENTS; i++) {
                Event next = events.remove();
                nowMicros = next.at();
                next.action().run();
            }
        }

        String hash() {
            return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
        }

        @Override
        public String toString() {
            return sendCount + " sends, " + finalResponseCount + " final responses, " + cancelCount + " cancels, "
                    + requestCount + " requests";
        }

        private void schedule(long delayMicros, Runnable action) {
            events.add(new Event(nowMicros + Math.max(0, delayMicros), scheduledCount++, action));
        }

        // Normal and peak rates alternate, so that queues fill, requests are rejected, and the load recovers.
        private void submitRequest() {
            String id = "r" + requestCount++;
            CallerRequest callerRequest = new CallerRequest(id);
            requests.put(id, callerRequest);
            int requestClass = random.nextInt(settings.classes().size());
            int tenant = settings.tenants().isEmpty()
                    ? 0
                    : random.nextInt(settings.tenants().size());
            String key = random.nextInt(4) == 0 ? null : "k" + (int) (40 * StrictMath.pow(random.nextDouble(), 2));
            long workMicros = random.nextInt(3) == 0 ? -1 : 5_000 + random.nextInt(40_000);
            long timeLeftMicros = settings.classes().get(requestClass).deadlineMicros() / (1 + random.nextInt(3));
            boolean resubmission = random.nextInt(12) == 0;
            policy.request(nowMicros, id, requestClass, tenant, key, timeLeftMicros, workMicros, resubmission, this);
            schedule(timeLeftMicros, () -> expire(callerRequest));
            if (random.nextInt(40) == 0) {
                schedule(random.nextLong(timeLeftMicros), () -> disconnect(callerRequest));
            }
            boolean peak = nowMicros / (4 * MICROS_PER_SECOND) % 3 == 1;
            schedule(peak ? random.nextInt(700) : random.nextInt(5_000), this::submitRequest);
        }

        private void expire(CallerRequest callerRequest) {
            callerRequest.closed = true;
        }

        private void disconnect(CallerRequest callerRequest) {
            if (!callerRequest.closed) {
                callerRequest.closed = true;
                policy.clientDisconnected(nowMicros, callerRequest.id, this);
            }
        }

        // Servers start, drain, leave and return cold; one event in ten reports that discovery failed.
        private void updateServers() {
            int eventDraw = random.nextInt(10);
            int index = random.nextInt(SERVERS);
            Server before = servers.get(index);
            if (eventDraw == 0) {
                policy.updateEndpoints(nowMicros, ListKind.FAILED, List.of(), this);
            } else if (eventDraw == 1) {
                policy.updateEndpoints(
                        nowMicros,
                        ListKind.COMPLETE,
                        servers.stream().filter(s -> s.state() != State.GONE).toList(),
                        this);
            } else {
                State next = State.values()[random.nextInt(3)];
                boolean cold = before.state() != State.UP && next == State.UP;
                Server changed = new Server(
                        before.id(),
                        next,
                        cold ? nowMicros : before.startedAtMicros(),
                        before.weight(),
                        before.cell(),
                        before.machineModel(),
                        before.zone());
                servers.set(index, changed);
                policy.updateEndpoints(nowMicros, ListKind.PARTIAL, List.of(changed), this);
            }
            schedule(50_000 + random.nextInt(400_000), this::updateServers);
        }

        private void reloadSettings() {
            List<Integer> classes = new ArrayList<>();
            for (int i = 0; i < settings.classes().size(); i++) {
                classes.add(random.nextInt(4) == 0 ? -1 : i);
            }
            List<Integer> tenants = new ArrayList<>();
            for (int i = 0; i < settings.tenants().size(); i++) {
                tenants.add(i);
            }
            policy.reload(nowMicros, settings, classes, tenants, this);
            schedule(3 * MICROS_PER_SECOND, this::reloadSettings);
        }

        // A server's latency grows with its attempts in flight; every eighth server fails often.
        private void startAttempt(CallerRequest callerRequest, int attempt, String server, long timeoutMicros) {
            int index = Integer.parseInt(server.substring("10.0.0.".length(), server.indexOf(':')));
            int queue = inFlight.merge(server, 1, Integer::sum);
            long latencyMicros = (long) ((6_000 + 8_000 * queue) / (1 + index % 3) * (0.5 + random.nextDouble()));
            Outcome outcome = random.nextInt(index % 8 == 0 ? 4 : 60) > 0 ? Outcome.OK : randomFailure();
            if (queue > 40) {
                outcome = Outcome.FULL;
            }
            if (outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED) {
                latencyMicros = 300;
            }
            if (timeoutMicros > 0 && latencyMicros > timeoutMicros) {
                latencyMicros = timeoutMicros;
                outcome = Outcome.TIMEOUT;
            }
            Outcome result = outcome;
            if (result == Outcome.OK && random.nextInt(30) == 0) {
                schedule(latencyMicros / 2, () -> policy.streamStarted(nowMicros, callerRequest.id, attempt, this));
            }
            schedule(latencyMicros, () -> endAttempt(callerRequest, attempt, result));
        }

        private Outcome randomFailure() {
            Outcome[] outcomes = Outcome.values();
            return outcomes[1 + random.nextInt(outcomes.length - 1)];
        }

        private void endAttempt(CallerRequest callerRequest, int attempt, Outcome outcome) {
            if (callerRequest.sentAtMicros.get(attempt) < 0) {
                return;
            }
            long elapsedMicros = nowMicros - callerRequest.sentAtMicros.get(attempt);
            callerRequest.sentAtMicros.set(attempt, -1L);
            String server = callerRequest.sentTo.get(attempt);
            inFlight.merge(server, -1, Integer::sum);
            if (outcome == Outcome.OK) {
                callerRequest.closed = true;
            }
            Policy.Load load = random.nextInt(2) == 0
                    ? null
                    : new Policy.Load(inFlight.get(server), 0, Double.NaN, 9_000, Double.NaN, Double.NaN);
            policy.outcome(
                    nowMicros, callerRequest.id, attempt, outcome, elapsedMicros, callerRequest.closed, load, this);
        }

        private void hashLine(Object... parts) {
            StringBuilder line = new StringBuilder().append(nowMicros);
            for (Object part : parts) {
                line.append(' ').append(part);
            }
            digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void send(String request, String server, long timeoutMicros) {
            send(request, server, timeoutMicros, 0);
        }

        @Override
        public void send(String request, String server, long timeoutMicros, long sendWithinMicros) {
            hashLine("send", request, server, timeoutMicros, sendWithinMicros);
            sendCount++;
            CallerRequest callerRequest = requests.get(request);
            callerRequest.sentAtMicros.add(nowMicros);
            callerRequest.sentTo.add(server);
            startAttempt(callerRequest, callerRequest.sentAtMicros.size() - 1, server, timeoutMicros);
        }

        @Override
        public void reject(String request, long retryAfterMicros) {
            hashLine("refuse", request, retryAfterMicros);
            finalResponseCount++;
            requests.get(request).closed = true;
        }

        @Override
        public void fail(String request) {
            hashLine("fail", request);
            finalResponseCount++;
            requests.get(request).closed = true;
        }

        @Override
        public void cancel(String request, int attempt) {
            hashLine("cancel", request, attempt);
            cancelCount++;
            CallerRequest callerRequest = requests.get(request);
            schedule(0, () -> endAttempt(callerRequest, attempt, Outcome.CANCELLED));
        }

        @Override
        public boolean isConnected(String server) {
            return server.hashCode() % 3 != 0;
        }

        @Override
        public void probe(String server) {
            hashLine("probe", server);
        }

        @Override
        public void watch(boolean enabled) {
            hashLine("watch", enabled);
        }

        @Override
        public void fetchList() {
            hashLine("fetch");
        }

        @Override
        public void closeIdle(String server) {
            hashLine("close", server);
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            hashLine("tell", peer, data.length);
        }

        @Override
        public void wakeAfter(long delayMicros) {
            hashLine("wake", delayMicros);
            schedule(delayMicros, () -> policy.wake(nowMicros, this));
        }

        @Override
        public void log(String line) {
            hashLine("remark");
        }
    }
}
