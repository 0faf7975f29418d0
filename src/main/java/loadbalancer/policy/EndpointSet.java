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
    private List<ServerState> upServers = new ArrayList<>();

    private double meanWeight = 1;

    EndpointSet(SplittableRandom random, HashRing ring) {
        this.random = random;
        this.ring = ring;
    }

    /** Takes a list over; {@code kind} is any but {@link ListKind#FAILED}. */
    void update(long nowMicros, ListKind kind, List<Server> updatedEndpoints) {
        if (kind != ListKind.PARTIAL) {
            for (ServerState server : servers.values()) {
                server.endpoint = server.endpoint.withState(State.GONE);
            }
        }
        for (Server endpoint : updatedEndpoints) {
            put(endpoint, nowMicros);
        }
        upServers = new ArrayList<>();
        for (ServerState server : servers.values()) {
            if (server.endpoint.state() == State.UP) {
                upServers.add(server);
            }
        }
        meanWeight = upServers.stream()
                .mapToDouble(server -> server.endpoint.weight())
                .average()
                .orElse(1);
        ring.assignPoints(servers.values(), meanWeight);
        servers.values().removeIf(server -> server.endpoint.state() == State.GONE && server.inFlight == 0);
    }

    Collection<ServerState> all() {
        return servers.values();
    }

    /** The servers that take requests. */
    List<ServerState> upServers() {
        return upServers;
    }

    /** Mean weight of the listed servers, 1 if there are none. */
    double meanWeight() {
        return meanWeight;
    }

    // A server that has been restarted is a new one: nothing learned of it holds.
    private void put(Server endpoint, long nowMicros) {
        ServerState server = servers.get(endpoint.id());
        boolean restarted = server != null
                && server.endpoint.startedAtMicros() != endpoint.startedAtMicros()
                && endpoint.startedAtMicros() > 0;
        if (restarted) {
            ring.remove(server);
        }
        if (server == null || restarted) {
            server = new ServerState(endpoint, random.nextInt());
            server.slowStartTokens = random.nextDouble();
            server.slowStartTokensUpdatedAtMicros = nowMicros;
            server.lastSuccessAtMicros = nowMicros;
            servers.put(endpoint.id(), server);
        }
        server.endpoint = endpoint;
    }
}
