package loadbalancer.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;

/** Drives one module by hand and writes down what it asks for. */
final class PolicyTestHarness implements Policy.Actions {
    static final long START_MICROS = 1_000_000_000L;
    static final long OBJECTIVE_MICROS = 600_000;
    static final long DEADLINE_MICROS = 3_000_000;
    static final long ORDER_PAUSE_MICROS = 100_000;

    /** The connections that the module's attempts go on. */
    interface ConnectionModel {
        /** Every attempt finds one. */
        ConnectionModel ALWAYS_CONNECTED = server -> true;

        boolean isConnected(String server);

        default void attemptSent(String server) {}
    }

    /** An attempt that was sent; {@code ended} once the module was notified of its outcome. */
    static final class SentAttempt {
        final String request;
        final int number;
        final String server;
        final long sentAt;
        final long timeoutMicros;
        boolean ended;

        SentAttempt(String request, int number, String server, long sentAt, long timeoutMicros) {
            this.request = request;
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
            this.timeoutMicros = timeoutMicros;
        }
    }

    final Policy policy;
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    final Map<String, Integer> attemptCounts = new LinkedHashMap<>();
    final Map<String, String> finalResponses = new LinkedHashMap<>();
    final Map<String, Long> lastSendWithinMicros = new LinkedHashMap<>(); // of each request's last send that had one
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<String> actionLog = new ArrayList<>();
    long now = START_MICROS;
    long wakeAt = Long.MAX_VALUE;
    int watchCalls;
    int duplicateFinalResponses;
    ConnectionModel connections = ConnectionModel.ALWAYS_CONNECTED;
    double reportedInFlight = Double.NaN; // in-flight figure that outcomes carry, if any

    PolicyTestHarness(Policy.Settings settings, long seed) {
        policy = new JsqDasPolicy(settings, seed);
    }

    static Policy.RequestClass requestClass(Effect effect, Scope scope) {
        return new Policy.RequestClass(effect, scope, 2_000_000, OBJECTIVE_MICROS, DEADLINE_MICROS, 0, 1, 0.3, false);
    }

    static Policy.Settings settings(Policy.RequestClass... classes) {
        return settings(1, true, Policy.Discovery.PUSH, List.of(), classes);
    }

    static Policy.Settings settings(
            int balancers,
            boolean allowHedging,
            Policy.Discovery discovery,
            List<Policy.Tenant> tenants,
            Policy.RequestClass... classes) {
        return settings(new Policy.Prices(0, 0), balancers, allowHedging, discovery, tenants, classes);
    }

    static Policy.Settings settings(
            Policy.Prices prices,
            int balancers,
            boolean allowHedging,
            Policy.Discovery discovery,
            List<Policy.Tenant> tenants,
            Policy.RequestClass... classes) {
        return new Policy.Settings(
                balancers,
                0,
                0,
                List.of(classes),
                tenants,
                0.1,
                new Policy.Goal(1, 0, 0, 0),
                prices,
                true,
                discovery,
                Policy.Reports.NONE,
                false,
                new Policy.Limits(5, allowHedging, true, true, 250_000, 0),
                new Policy.Bounds(20_000, 1_000_000, 10_000_000, 0.2, 20_000_000, 2.5, 1_500_000, ORDER_PAUSE_MICROS),
                5_000);
    }

    static Server runningServer(String id) {
        return new Server(id, State.UP, 0, 1, 0, 0, 0);
    }

    static List<Server> fleet(int size) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            servers.add(new Server("s" + i, State.UP, 0, 1, i % 2, i % 2, i % 2));
        }
        return servers;
    }

    PolicyTestHarness updateEndpoints(ListKind listKind, List<Server> servers) {
        policy.updateEndpoints(now, listKind, servers, this);
        return this;
    }

    /** Sends a request in and returns the attempt made at once, or null. */
    SentAttempt request(String id, int requestClass) {
        return request(id, requestClass, 0, DEADLINE_MICROS);
    }

    SentAttempt request(String id, int requestClass, int tenant, long timeLeftMicros) {
        return request(id, requestClass, tenant, timeLeftMicros, false);
    }

    /** A marked resubmission. */
    SentAttempt resubmit(String id, int requestClass, long timeLeftMicros) {
        return request(id, requestClass, 0, timeLeftMicros, true);
    }

    /** A request that concerns a key. */
    SentAttempt requestWithKey(String id, int requestClass, String key) {
        return request(id, requestClass, 0, key, DEADLINE_MICROS, false);
    }

    private SentAttempt request(String id, int requestClass, int tenant, long timeLeftMicros, boolean resubmission) {
        return request(id, requestClass, tenant, null, timeLeftMicros, resubmission);
    }

    SentAttempt request(
            String id, int requestClass, int tenant, String key, long timeLeftMicros, boolean resubmission) {
        int sentBefore = sentAttempts.size();
        policy.request(now, id, requestClass, tenant, key, timeLeftMicros, -1, resubmission, this);
        return sentAttempts.size() > sentBefore ? sentAttempts.get(sentAttempts.size() - 1) : null;
    }

    void endAttempt(SentAttempt sent, Outcome outcome) {
        sent.ended = true;
        boolean closed = outcome == Outcome.OK || finalResponses.containsKey(sent.request);
        if (outcome == Outcome.OK) {
            finalResponses.putIfAbsent(sent.request, "ok");
        }
        policy.outcome(
                now,
                sent.request,
                sent.number,
                outcome,
                now - sent.sentAt,
                closed,
                new Policy.Load(reportedInFlight, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN),
                this);
    }

    /** Lets time pass, waking the module when it asked for it. */
    void advanceTime(long durationMicros) {
        long endMicros = now + durationMicros;
        while (wakeAt <= endMicros) {
            now = wakeAt;
            wakeAt = Long.MAX_VALUE;
            policy.wake(now, this);
        }
        now = endMicros;
    }

    /** Serves requests one after another so that the module learns what is usual. */
    void warmUp(int requests, int requestClass, long latencyMicros) {
        for (int i = 0; i < requests; i++) {
            SentAttempt sent = request("warm-" + now + "-" + i, requestClass);
            advanceTime(latencyMicros);
            endAttempt(sent, Outcome.OK);
        }
    }

    long countAttemptsTo(String server, long since) {
        return sentAttempts.stream()
                .filter(s -> s.server.equals(server) && s.sentAt >= since)
                .count();
    }

    List<SentAttempt> attemptsOf(String request) {
        return sentAttempts.stream().filter(s -> s.request.equals(request)).toList();
    }

    @Override
    public void send(String request, String server, long timeoutMicros) {
        connections.attemptSent(server);
        int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
        sentAttempts.add(new SentAttempt(request, number, server, now, timeoutMicros));
        actionLog.add(now + " send " + request + " " + server + " " + timeoutMicros);
    }

    @Override
    public void send(String request, String server, long timeoutMicros, long sendWithinMicros) {
        lastSendWithinMicros.put(request, sendWithinMicros);
        send(request, server, timeoutMicros);
    }

    private void recordFinalResponse(String request, String response) {
        if (finalResponses.putIfAbsent(request, response) != null) {
            duplicateFinalResponses++;
        }
        actionLog.add(now + " " + response + " " + request);
    }

    @Override
    public boolean isConnected(String server) {
        return connections.isConnected(server);
    }

    @Override
    public void reject(String request, long retryAfterMicros) {
        actionLog.add(now + " refuse " + request + " " + retryAfterMicros);
        recordFinalResponse(request, "refused");
    }

    @Override
    public void fail(String request) {
        recordFinalResponse(request, "failed");
    }

    @Override
    public void cancel(String request, int attempt) {
        cancelledAttempts.add(request + "/" + attempt);
        actionLog.add(now + " cancel " + request + " " + attempt);
    }

    @Override
    public void probe(String server) {
        actionLog.add(now + " probe " + server);
    }

    @Override
    public void watch(boolean subscribed) {
        watchCalls++;
    }

    @Override
    public void fetchList() {
        actionLog.add(now + " fetch");
    }

    @Override
    public void closeIdle(String server) {
        actionLog.add(now + " close " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        actionLog.add(now + " tell " + peer);
    }

    @Override
    public void wakeAfter(long delayMicros) {
        wakeAt = Math.min(wakeAt, now + delayMicros);
    }

    @Override
    public void log(String line) {
        actionLog.add(now + " remark " + line);
    }
}
