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
    static final long START = 1_000_000_000L;
    static final long AIM = 600_000;
    static final long DEADLINE = 3_000_000;
    static final long PAUSE = 100_000;

    /** The connections that the module's attempts go on. */
    interface Links {
        /** Every attempt finds one. */
        Links ALL = server -> true;

        boolean connected(String server);

        default void sent(String server) {}
    }

    /** An attempt that was sent; {@code ended} once the module was notified of its outcome. */
    static final class Sent {
        final String request;
        final int number;
        final String server;
        final long at;
        final long timeout;
        boolean ended;

        Sent(String request, int number, String server, long at, long timeout) {
            this.request = request;
            this.number = number;
            this.server = server;
            this.at = at;
            this.timeout = timeout;
        }
    }

    final Policy policy;
    final List<Sent> sends = new ArrayList<>();
    final Map<String, Integer> attempts = new LinkedHashMap<>();
    final Map<String, String> finals = new LinkedHashMap<>();
    final Map<String, Long> within = new LinkedHashMap<>(); // of each request's last send that had one
    final List<String> cancels = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    long now = START;
    long wakeAt = Long.MAX_VALUE;
    int watches;
    int doubleFinals;
    Links links = Links.ALL;
    double reported = Double.NaN; // in-flight figure that outcomes carry, if any

    PolicyTestHarness(Policy.Settings settings, long seed) {
        policy = new JsqDasPolicy(settings, seed);
    }

    static Policy.RequestClass kind(Effect effect, Scope scope) {
        return new Policy.RequestClass(effect, scope, 2_000_000, AIM, DEADLINE, 0, 1, 0.3, false);
    }

    static Policy.Settings settings(Policy.RequestClass... classes) {
        return settings(1, true, Policy.Discovery.PUSH, List.of(), classes);
    }

    static Policy.Settings settings(
            int balancers,
            boolean copies,
            Policy.Discovery discovery,
            List<Policy.Tenant> tenants,
            Policy.RequestClass... classes) {
        return settings(new Policy.Prices(0, 0), balancers, copies, discovery, tenants, classes);
    }

    static Policy.Settings settings(
            Policy.Prices prices,
            int balancers,
            boolean copies,
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
                new Policy.Limits(5, copies, true, true, 250_000, 0),
                new Policy.Bounds(20_000, 1_000_000, 10_000_000, 0.2, 20_000_000, 2.5, 1_500_000, PAUSE),
                5_000);
    }

    static Server up(String id) {
        return new Server(id, State.UP, 0, 1, 0, 0, 0);
    }

    static List<Server> fleet(int size) {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(new Server("s" + i, State.UP, 0, 1, i % 2, i % 2, i % 2));
        }
        return list;
    }

    PolicyTestHarness list(ListKind kind, List<Server> servers) {
        policy.updateEndpoints(now, kind, servers, this);
        return this;
    }

    /** Sends a request in and returns the attempt made at once, or null. */
    Sent request(String id, int requestClass) {
        return request(id, requestClass, 0, DEADLINE);
    }

    Sent request(String id, int requestClass, int tenant, long timeLeft) {
        return request(id, requestClass, tenant, timeLeft, false);
    }

    /** A marked resubmission. */
    Sent resubmit(String id, int requestClass, long timeLeft) {
        return request(id, requestClass, 0, timeLeft, true);
    }

    /** A request that concerns a key. */
    Sent keyed(String id, int requestClass, String key) {
        return request(id, requestClass, 0, key, DEADLINE, false);
    }

    private Sent request(String id, int requestClass, int tenant, long timeLeft, boolean resubmission) {
        return request(id, requestClass, tenant, null, timeLeft, resubmission);
    }

    Sent request(String id, int requestClass, int tenant, String key, long timeLeft, boolean resubmission) {
        int before = sends.size();
        policy.request(now, id, requestClass, tenant, key, timeLeft, -1, resubmission, this);
        return sends.size() > before ? sends.get(sends.size() - 1) : null;
    }

    void end(Sent sent, Outcome outcome) {
        sent.ended = true;
        boolean closed = outcome == Outcome.OK || finals.containsKey(sent.request);
        if (outcome == Outcome.OK) {
            finals.putIfAbsent(sent.request, "ok");
        }
        policy.outcome(
                now,
                sent.request,
                sent.number,
                outcome,
                now - sent.at,
                closed,
                new Policy.Load(reported, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN),
                this);
    }

    /** Lets time pass, waking the module when it asked for it. */
    void pass(long time) {
        long until = now + time;
        while (wakeAt <= until) {
            now = wakeAt;
            wakeAt = Long.MAX_VALUE;
            policy.wake(now, this);
        }
        now = until;
    }

    /** Serves requests one after another so that the module learns what is usual. */
    void warmUp(int requests, int requestClass, long latency) {
        for (int i = 0; i < requests; i++) {
            Sent sent = request("warm-" + now + "-" + i, requestClass);
            pass(latency);
            end(sent, Outcome.OK);
        }
    }

    long sentTo(String server, long since) {
        return sends.stream()
                .filter(s -> s.server.equals(server) && s.at >= since)
                .count();
    }

    List<Sent> sentFor(String request) {
        return sends.stream().filter(s -> s.request.equals(request)).toList();
    }

    @Override
    public void send(String request, String server, long timeout) {
        links.sent(server);
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        sends.add(new Sent(request, number, server, now, timeout));
        log.add(now + " send " + request + " " + server + " " + timeout);
    }

    @Override
    public void send(String request, String server, long timeout, long sendWithin) {
        within.put(request, sendWithin);
        send(request, server, timeout);
    }

    private void answer(String request, String how) {
        if (finals.putIfAbsent(request, how) != null) {
            doubleFinals++;
        }
        log.add(now + " " + how + " " + request);
    }

    @Override
    public boolean isConnected(String server) {
        return links.connected(server);
    }

    @Override
    public void reject(String request, long retryAfter) {
        log.add(now + " refuse " + request + " " + retryAfter);
        answer(request, "refused");
    }

    @Override
    public void fail(String request) {
        answer(request, "failed");
    }

    @Override
    public void cancel(String request, int attempt) {
        cancels.add(request + "/" + attempt);
        log.add(now + " cancel " + request + " " + attempt);
    }

    @Override
    public void probe(String server) {
        log.add(now + " probe " + server);
    }

    @Override
    public void watch(boolean on) {
        watches++;
    }

    @Override
    public void fetchList() {
        log.add(now + " fetch");
    }

    @Override
    public void closeIdle(String server) {
        log.add(now + " close " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        log.add(now + " tell " + peer);
    }

    @Override
    public void wakeAfter(long delay) {
        wakeAt = Math.min(wakeAt, now + delay);
    }

    @Override
    public void log(String line) {
        log.add(now + " remark " + line);
    }
}
