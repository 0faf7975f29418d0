package loadbalancer.policy;

import java.util.Arrays;
import java.util.Collection;
import java.util.TreeMap;
import java.util.stream.Stream;
import loadbalancer.policy.Policy.State;

/**
 * Consistent hashing: the listed servers at points that follow from their ids, more points for more weight. A change
 * of the list moves few servers, and touches only their points: made anew at each step of a deploy, the ring cost
 * more than all requests.
 */
final class HashRing {
    /** Points of a server of mean weight. */
    private static final int POINTS_PER_SERVER = 8;

    private static final int MAX_POINTS = 8 * POINTS_PER_SERVER;

    private final TreeMap<Long, ServerState> points = new TreeMap<>();
    /** Where this balancer's walk starts. */
    private final long homePosition;
    /** Each server once, in the order of a walk from this balancer's point. */
    private ServerState[] homeOrder = {};
    /** All points in ascending order, made when the first key asks for it, and their positions. */
    private ServerState[] keyOrder;

    private long[] positions;
    private int lastWalkId;

    /** The balancers' homes are spread evenly: {@code rank} is this one's number among all, from 0. */
    HashRing(int rank, int balancers) {
        homePosition = (long) ((rank + 0.5) / balancers * 0x1p64 - 0x1p63);
    }

    /** Gives each server its points, none to those that take no requests. */
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

    /** Each server once, from this balancer's point on. */
    ServerState[] homeOrder() {
        return homeOrder;
    }

    /** Servers from the lowest point on, once for each of their points. */
    ServerState[] keyOrder() {
        if (keyOrder == null) {
            keyOrder = points.values().toArray(new ServerState[0]);
            positions = points.keySet().stream().mapToLong(Long::longValue).toArray();
        }
        return keyOrder;
    }

    /** Where a key's walk through {@link #keyOrder()} starts; that must have been asked for before. */
    int indexOf(long key) {
        int index = Arrays.binarySearch(positions, Hashing.mix(key));
        return index < 0 ? -index - 1 : index;
    }

    /** A new number for a walk, other than all {@link ServerState#lastWalkId}. */
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
