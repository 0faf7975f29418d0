package loadbalancer.policy;

import java.util.Arrays;
import java.util.Collection;
import java.util.TreeMap;
import java.util.stream.Stream;
import loadbalancer.policy.Policy.State;

/**
 * Consistent hashing: each server that accepts requests has points on the ring that are derived from its id, more
 * points for more weight. A change of the endpoint list remaps few servers and updates only their points: rebuilding
 * the whole ring at each step of a deployment cost more than all request processing.
 */
final class HashRing {
    /** Points of a server of mean weight. */
    private static final int POINTS_PER_SERVER = 8;

    private static final int MAX_POINTS = 8 * POINTS_PER_SERVER;

    private final TreeMap<Long, ServerState> points = new TreeMap<>();
    /** Position on the ring where this balancer's walk starts. */
    private final long homePosition;
    /** Each server once, in the order of a walk from this balancer's position. */
    private ServerState[] homeOrder = {};
    /**
     * The servers of all points in ascending order, built at the first lookup of a key, and the positions of the
     * points.
     */
    private ServerState[] keyOrder;

    private long[] positions;
    private int lastWalkId;

    /** Spreads the balancers' home positions evenly: {@code rank} is this balancer's number among all, from 0. */
    HashRing(int rank, int balancers) {
        homePosition = (long) ((rank + 0.5) / balancers * 0x1p64 - 0x1p63);
    }

    /** Assigns each server its points, and none to servers that don't accept requests. */
    void assignPoints(Collection<ServerState> servers, double meanWeight) {
        for (ServerState server : servers) {
            double proportionalCount = POINTS_PER_SERVER * server.endpoint.weight() / meanWeight;
            int pointCount = (int) Math.max(1, Math.min(MAX_POINTS, Math.round(proportionalCount)));
            setPoints(server, server.endpoint.state() == State.UP ? pointCount : 0);
        }
        keyOrder = null;
        lastWalkId++;
        homeOrder = Stream.of(points.tailMap(homePosition), points.headMap(homePosition))
                .flatMap(part -> part.values().stream())
                .filter(server -> server.lastWalkId != lastWalkId)
                .peek(server -> server.lastWalkId = lastWalkId)
                .toArray(ServerState[]::new);
    }

    void remove(ServerState server) {
        setPoints(server, 0);
    }

    /** Each server once, starting at this balancer's position. */
    ServerState[] homeOrder() {
        return homeOrder;
    }

    /** Servers in the order of their points from the lowest one on, once for each point. */
    ServerState[] keyOrder() {
        if (keyOrder == null) {
            keyOrder = points.values().toArray(new ServerState[0]);
            positions = points.keySet().stream().mapToLong(Long::longValue).toArray();
        }
        return keyOrder;
    }

    /** Index in {@link #keyOrder()} where a key's walk starts; {@code keyOrder()} must have been called before. */
    int indexOf(long key) {
        int index = Arrays.binarySearch(positions, Hashing.mix(key));
        return index < 0 ? -index - 1 : index;
    }

    /** Returns a new walk id that differs from every {@link ServerState#lastWalkId}. */
    int beginWalk() {
        return ++lastWalkId;
    }

    private void setPoints(ServerState server, int pointCount) {
        while (server.ringPoints < pointCount) {
            points.put(Hashing.mix(server.idHash + server.ringPoints), server);
            server.ringPoints++;
        }
        while (server.ringPoints > pointCount) {
            server.ringPoints--;
            points.remove(Hashing.mix(server.idHash + server.ringPoints), server);
        }
    }
}
