package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * A policy that starts {@code attemptsPerRequest} attempts of each request, by default one, and fails the request if
 * an outcome is not OK.
 */
class SingleAttemptPolicy implements Policy {
    final List<String> notifications = new ArrayList<>();
    final List<String> events = new ArrayList<>(); // endpoint lists and requests, in the order of their receipt
    boolean neverFails;
    boolean ignoresDisconnects;
    int attemptsPerRequest = 1;
    long startWithinMicros = Long.MAX_VALUE;

    @Override
    public void reload(
            long now, Settings settings, List<Integer> formerClasses, List<Integer> formerTenants, Actions actions) {}

    @Override
    public void updateEndpoints(long now, ListKind kind, List<Server> servers, Actions actions) {
        events.add("list of " + servers.size());
    }

    @Override
    public void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeftMicros,
            long workMicros,
            boolean resubmission,
            Actions actions) {
        events.add("request");
        for (int i = 0; i < attemptsPerRequest; i++) {
            actions.send(request, "s", 50_000, startWithinMicros);
        }
    }

    @Override
    public void outcome(
            long now,
            String request,
            int attempt,
            Outcome outcome,
            long latencyMicros,
            boolean closed,
            Load load,
            Actions actions) {
        notifications.add(outcome + (closed ? " closed" : ""));
        if (!closed && !neverFails) {
            actions.fail(request);
        }
    }

    @Override
    public void streamStarted(long now, String request, int attempt, Actions actions) {}

    @Override
    public void clientDisconnected(long now, String request, Actions actions) {
        notifications.add("disconnected");
        if (!ignoresDisconnects) {
            actions.cancel(request, 0);
        }
    }

    @Override
    public void probeCompleted(
            long now, String server, Outcome outcome, long latencyMicros, Load load, Actions actions) {}

    @Override
    public void wake(long now, Actions actions) {}
}
