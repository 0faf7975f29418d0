package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;

/** Drives one policy in virtual time and records the actions that it requests. */
final class PolicyTestHarness implements Policy.Actions {
    static final long START_MICROS = 1_000_000_000L;
    static final long OBJECTIVE_MICROS = 600_000;
    static final long DEADLINE_MICROS = 3_000_000;
    static final long ORDER_PAUSE_MICROS = 100_000;

    /** The connections that attempts are sent on. */
    interface ConnectionModel {
        /** Every attempt finds an established connection. */
        ConnectionModel ALWAYS_CONNECTED = server -> true;

        boolean isConnected(String server);

        default void attemptSent(String server) {}
    }

    /** An attempt that was sent; {@code ended} once the policy was notified of its outcome. */
    static final class SentAttempt {
        final String request;
        final int number;
        final String server;
        final long sentAtMicros;
        final long timeoutMicros;
        boolean ended;

        SentAttempt(String request, int number, String server, long sentAtMicros, long timeoutMicros) {
            this.request = request;
            this.number = number;
            this.server = server;
            this.sentAtMicros = sentAtMicros;
            this.timeoutMicros = timeoutMicros;
        }
    }

    final Policy policy;
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    final Map<String, Integer> attemptCounts = new LinkedHashMap<>();
    final Map<String, String> finalResponses = new LinkedHashMap<>();
    final Map<String, Long> lastSendWithinMicros = new LinkedHashMap<>(); // of a request's last send with a limit
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<String> actionLog = new ArrayList<>();
    long nowMicros = START_MICROS;
    long wakeAtMicros = Long.MAX_VALUE;
    int watchCalls;
    int duplicateFinalResponses;
    final Set<String> awaitingConnection = new HashSet<>(); // requests whose attempts in flight have not been sent
    ConnectionModel connections = ConnectionModel.ALWAYS_CONNECTED;
    double reportedInFlight = Double.NaN; // carried by outcomes; NaN: no report

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
        policy.updateEndpoints(nowMicros, listKind, servers, this);
        return this;
    }

    /** Submits a request; returns the attempt that was sent at once, or null. */
    SentAttempt request(String id, int requestClass) {
        return request(id, requestClass, 0, DEADLINE_MICROS);
    }

    SentAttempt request(String id, int requestClass, int tenant, long timeLeftMicros) {
        return request(id, requestClass, tenant, timeLeftMicros, false);
    }

    /** Submits a request that is marked as a resubmission. */
    SentAttempt resubmit(String id, int requestClass, long timeLeftMicros) {
        return request(id, requestClass, 0, timeLeftMicros, true);
    }

    /** Submits a request with a key. */
    SentAttempt requestWithKey(String id, int requestClass, String key) {
        return request(id, requestClass, 0, key, DEADLINE_MICROS, false);
    }

    private SentAttempt request(String id, int requestClass, int tenant, long timeLeftMicros, boolean resubmission) {
        return request(id, requestClass, tenant, null, timeLeftMicros, resubmission);
    }

    SentAttempt request(
            String id, int requestClass, int tenant, String key, long timeLeftMicros, boolean resubmission) {
        int sentBefore = sentAttempts.size();
        policy.request(nowMicros, id, requestClass, tenant, key, timeLeftMicros, -1, resubmission, this);
        return sentAttempts.size() > sentBefore ? sentAttempts.get(sentAttempts.size() - 1) : null;
    }

    void endAttempt(SentAttempt sent, Outcome outcome) {
        sent.ended = true;
        boolean closed = outcome == Outcome.OK || finalResponses.containsKey(sent.request);
        if (outcome == Outcome.OK) {
            finalResponses.putIfAbsent(sent.request, "ok");
        }
        policy.outcome(
                nowMicros,
                sent.request,
                sent.number,
                outcome,
                nowMicros - sent.sentAtMicros,
                closed,
                new Policy.Load(reportedInFlight, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN),
                this);
    }

    /** Advances the time and wakes the policy at each time that it asked for. */
    void advanceTime(long durationMicros) {
        long endMicros = nowMicros + durationMicros;
        while (wakeAtMicros <= endMicros) {
            nowMicros = wakeAtMicros;
            wakeAtMicros = Long.MAX_VALUE;
            policy.wake(nowMicros, this);
        }
        nowMicros = endMicros;
    }

    /** Serves requests one at a time, so that the policy learns the typical latency. */
    void warmUp(int requests, int requestClass, long latencyMicros) {
        for (int i = 0; i < requests; i++) {
            SentAttempt sent = request("warm-" + nowMicros + "-" + i, requestClass);
            advanceTime(latencyMicros);
            endAttempt(sent, Outcome.OK);
        }
    }

    long countAttemptsTo(String server, long since) {
        return sentAttempts.stream()
                .filter(s -> s.server.equals(server) && s.sentAtMicros >= since)
                .count();
    }

    List<SentAttempt> attemptsOf(String request) {
        return sentAttempts.stream().filter(s -> s.request.equals(request)).toList();
    }

    @Override
    public void send(String request, String server, long timeoutMicros) {
        connections.attemptSent(server);
        int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
        sentAttempts.add(new SentAttempt(request, number, server, nowMicros, timeoutMicros));
        actionLog.add(nowMicros + " send " + request + " " + server + " " + timeoutMicros);
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
        actionLog.add(nowMicros + " " + response + " " + request);
    }

    @Override
    public boolean isConnected(String server) {
        return connections.isConnected(server);
    }

    @Override
    public boolean awaitsConnection(String request) {
        return awaitingConnection.contains(request);
    }

    @Override
    public void reject(String request, long retryAfterMicros) {
        actionLog.add(nowMicros + " reject " + request + " " + retryAfterMicros);
        recordFinalResponse(request, "rejected");
    }

    @Override
    public void fail(String request) {
        recordFinalResponse(request, "failed");
    }

    @Override
    public void cancel(String request, int attempt) {
        cancelledAttempts.add(request + "/" + attempt);
        actionLog.add(nowMicros + " cancel " + request + " " + attempt);
    }

    @Override
    public void probe(String server) {
        actionLog.add(nowMicros + " probe " + server);
    }

    @Override
    public void watch(boolean enabled) {
        watchCalls++;
    }

    @Override
    public void fetchList() {
        actionLog.add(nowMicros + " fetch");
    }

    @Override
    public void closeIdle(String server) {
        actionLog.add(nowMicros + " close " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        actionLog.add(nowMicros + " sendToPeer " + peer);
    }

    @Override
    public void wakeAfter(long delayMicros) {
        wakeAtMicros = Math.min(wakeAtMicros, nowMicros + delayMicros);
    }

    @Override
    public void log(String line) {
        actionLog.add(nowMicros + " log " + line);
    }
}
