package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;

/** Settings, servers and requests for the tests of the policy's parts. */
final class PolicyFixtures {
    static final long NOW_MICROS = 1_000_000_000L;
    static final RequestClass SAFE = PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL);
    static final RequestClass UNSAFE = PolicyTestHarness.requestClass(Effect.UNSAFE, Scope.ALL);
    static final Policy.Actions NO_ACTIONS = new NoOpActions() {};

    private PolicyFixtures() {}

    /** Settings of one balancer. */
    static ActiveSettings activeSettings(RequestClass... classes) {
        return new ActiveSettings(PolicyTestHarness.settings(classes));
    }

    static ActiveSettings activeSettings(Policy.Prices prices, int balancers) {
        return new ActiveSettings(
                PolicyTestHarness.settings(prices, balancers, true, Policy.Discovery.PUSH, List.of(), SAFE));
    }

    static RequestClass keyed(Scope scope) {
        return PolicyTestHarness.requestClass(Effect.KEYED, scope);
    }

    /** A listed server that started long ago. */
    static ServerState server(String id) {
        return server(id, 1, 0);
    }

    static ServerState server(String id, double weight, int zone) {
        return new ServerState(new Server(id, State.UP, 0, weight, zone, 0, zone), id.hashCode());
    }

    static RequestState request(RequestClass requestClass) {
        return request("r", requestClass, requestClass.aimMicros(), false);
    }

    static RequestState request(String id, RequestClass requestClass, long objectiveMicros, boolean overQuota) {
        return request(
                id, requestClass, PolicyTestHarness.settings(requestClass).limits(), objectiveMicros, overQuota);
    }

    static RequestState request(
            String id, RequestClass requestClass, Policy.Limits limits, long objectiveMicros, boolean overQuota) {
        RequestState.Times times = new RequestState.Times(
                NOW_MICROS, NOW_MICROS + requestClass.deadlineMicros(), NOW_MICROS + objectiveMicros);
        return new RequestState(id, new ClassLatency(requestClass), requestClass, limits, 0, times, overQuota);
    }

    /** Records an attempt as if it had been sent. */
    static AttemptState send(RequestState request, ServerState server, long nowMicros) {
        AttemptState attempt = new AttemptState(server, request, nowMicros);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        server.attempts.add(attempt);
        server.inFlight++;
        return attempt;
    }

    /** Running servers with the ids s0, s1 and so on. */
    static List<Server> servers(int count) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(PolicyTestHarness.runningServer("s" + i));
        }
        return servers;
    }
}
