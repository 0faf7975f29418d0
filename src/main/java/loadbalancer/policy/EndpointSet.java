package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;

/** The servers of the endpoint list, and those that have left it but still have attempts in flight. */
final class EndpointSet {
    private final SplittableRandom random;
    private final HashRing ring;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();
    /** Those that take requests, in the order of {@link #servers}. */
    private List<ServerState> listed = new ArrayList<>();

    private double meanWeight = 1;

    EndpointSet(SplittableRandom random, HashRing ring) {
        this.random = random;
        this.ring = ring;
    }

    /** Takes a list over; {@code kind} is any but {@link ListKind#FAILED}. */
    void update(long now, ListKind kind, List<Server> list) {
        if (kind != ListKind.PARTIAL) {
            for (ServerState state : servers.values()) {
                state.server = state.server.withState(State.GONE);
            }
        }
        for (Server server : list) {
            put(server, now);
        }
        listed = new ArrayList<>();
        for (ServerState state : servers.values()) {
            if (state.server.state() == State.UP) {
                listed.add(state);
            }
        }
        meanWeight = listed.stream()
                .mapToDouble(state -> state.server.weight())
                .average()
                .orElse(1);
        ring.arrange(servers.values(), meanWeight);
        servers.values().removeIf(state -> state.server.state() == State.GONE && state.inFlight == 0);
    }

    Collection<ServerState> all() {
        return servers.values();
    }

    /** The servers that take requests. */
    List<ServerState> listed() {
        return listed;
    }

    /** Mean weight of the listed servers, 1 if there are none. */
    double meanWeight() {
        return meanWeight;
    }

    // A server that has been restarted is a new one: nothing learned of it holds.
    private void put(Server server, long now) {
        ServerState state = servers.get(server.id());
        boolean restarted = state != null && state.server.startedAt() != server.startedAt() && server.startedAt() > 0;
        if (restarted) {
            ring.remove(state);
        }
        if (state == null || restarted) {
            state = new ServerState(server, random.nextInt());
            state.slowStartTokens = random.nextDouble();
            state.slowStartTokensAt = now;
            state.lastSuccessAt = now;
            servers.put(server.id(), state);
        }
        state.server = server;
    }
}
