package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Which servers are candidates for a request: a subset of the list, found by a walk over the ring from the
 * balancer's point, or the key's, until enough warm servers are found that may take the request. Where the subset
 * holds none, as when its servers have failed or are warming up, the walk goes on, over the complete list if need be.
 *
 * <p>Guards against connections that grow with the fleet, and against counts and queues that say nothing because each
 * server hears from this balancer only once in a while.
 */
final class SubsetSelector {
    /** Servers of a balancer: as few as sampling needs, more where its traffic keeps them in view. */
    private static final int MIN_SUBSET_SIZE = 6;
    /** Seconds between a balancer's requests to one server. */
    private static final double SECONDS_PER_REQUEST = 1.5;
    /** The same where new connections have a price. */
    private static final double SECONDS_PER_REQUEST_EXPENSIVE_HANDSHAKE = 0.5;
    /** Servers of a key: all are sampled. */
    private static final int MIN_KEY_SUBSET_SIZE = 4;
    /** Servers of a hot key, as a multiple of the part of the fleet that its requests need. */
    private static final double KEY_SPREAD = 2;
    /** How many times as many servers the walk meets at most where only the own zone's count. */
    private static final int MAX_WALK_FACTOR = 4;

    private final ActiveSettings activeSettings;
    private final EndpointSet endpoints;
    private final HashRing ring;
    private final ArrivalRate arrivalRate;
    private final KeyAffinity keyAffinity;
    private final SlowStart slowStart;
    private final OutlierDetector outlierDetector;

    SubsetSelector(
            ActiveSettings activeSettings,
            EndpointSet endpoints,
            HashRing ring,
            ArrivalRate arrivalRate,
            KeyAffinity keyAffinity,
            SlowStart slowStart,
            OutlierDetector outlierDetector) {
        this.activeSettings = activeSettings;
        this.endpoints = endpoints;
        this.ring = ring;
        this.arrivalRate = arrivalRate;
        this.keyAffinity = keyAffinity;
        this.slowStart = slowStart;
        this.outlierDetector = outlierDetector;
    }

    /** Servers that the request may be sent to now; those that it was sent to already only if there are no others. */
    List<ServerState> candidates(RequestState request, long nowMicros) {
        if (request.keyHash != 0 && usesKeySubsets(nowMicros)) {
            double proportionalSize = KEY_SPREAD
                    * keyAffinity.keyShare(request.keyHash)
                    * endpoints.upServers().size();
            int targetSize = (int) Math.max(MIN_KEY_SUBSET_SIZE, proportionalSize);
            ServerState[] order = ring.keyOrder();
            return walk(request, order, ring.indexOf(request.keyHash), targetSize, false, nowMicros);
        }
        return walk(request, ring.homeOrder(), 0, subsetSize(nowMicros), activeSettings.prefersOwnZone(), nowMicros);
    }

    private List<ServerState> walk(
            RequestState request,
            ServerState[] order,
            int startIndex,
            int targetSize,
            boolean ownZoneOnly,
            long nowMicros) {
        List<ServerState> untried = new ArrayList<>();
        List<ServerState> tried = new ArrayList<>();
        int walkId = ring.beginWalk();
        int ownZone = activeSettings.settings().zone();
        int counted = 0;
        int warm = 0;
        for (int i = 0; i < order.length && counted < targetSize && warm < MAX_WALK_FACTOR * targetSize; i++) {
            ServerState server = order[(startIndex + i) % order.length];
            if (server.lastWalkId == walkId) {
                continue;
            }
            server.lastWalkId = walkId;
            if (!isCandidate(request, server, nowMicros)) {
                continue;
            }
            (request.wasSentTo(server) ? tried : untried).add(server);
            if (slowStart.isWarm(server, nowMicros)) {
                warm++;
                counted += ownZoneOnly && server.endpoint.zone() != ownZone ? 0 : 1;
            }
        }
        return untried.isEmpty() ? tried : untried;
    }

    private boolean isCandidate(RequestState request, ServerState server, long nowMicros) {
        return request.isPermittedOn(server.endpoint)
                && request.mayRunOn(server, nowMicros, activeSettings.sweepIntervalMicros())
                && slowStart.hasBudget(server, nowMicros)
                && outlierDetector.allows(request, server, nowMicros);
    }

    /** Marks the servers of this balancer's subset; none where subsets follow from keys. */
    void refresh(long nowMicros) {
        int subsetSize = subsetSize(nowMicros);
        boolean byKey = usesKeySubsets(nowMicros);
        boolean ownZoneOnly = activeSettings.prefersOwnZone();
        int ownZone = activeSettings.settings().zone();
        int counted = 0;
        int warm = 0;
        for (ServerState server : ring.homeOrder()) {
            server.inSubset = !byKey && counted < subsetSize && warm < MAX_WALK_FACTOR * subsetSize;
            if (slowStart.isWarm(server, nowMicros)) {
                warm++;
                counted += ownZoneOnly && server.endpoint.zone() != ownZone ? 0 : 1;
            }
        }
    }

    private int subsetSize(long nowMicros) {
        double secondsPerRequest = activeSettings.settings().prices().handshake() > 0
                ? SECONDS_PER_REQUEST_EXPENSIVE_HANDSHAKE
                : SECONDS_PER_REQUEST;
        return (int) Math.max(MIN_SUBSET_SIZE, arrivalRate.perSecond(nowMicros) * secondsPerRequest);
    }

    // Only where servers keep a key warm, and the balancer's traffic reaches all of them often.
    private boolean usesKeySubsets(long nowMicros) {
        return activeSettings.settings().warmKeys()
                && arrivalRate.perSecond(nowMicros) * SECONDS_PER_REQUEST
                        >= endpoints.upServers().size();
    }
}
