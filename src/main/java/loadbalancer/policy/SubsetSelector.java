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
    private static final int MIN_SUBSET = 6;
    /** Seconds between a balancer's requests to one server. */
    private static final double SECONDS_PER_VISIT = 1.5;
    /** The same where new connections have a price. */
    private static final double SECONDS_PER_VISIT_EXPENSIVE_HANDSHAKE = 0.5;
    /** Servers of a key: all are sampled. */
    private static final int MIN_KEY_SUBSET = 4;
    /** Servers of a hot key, as a multiple of the part of the fleet that its requests need. */
    private static final double KEY_SPREAD = 2;
    /** How many times as many servers the walk meets at most where only the own zone's count. */
    private static final int MAX_REACH = 4;

    private final ActiveSettings active;
    private final EndpointSet endpoints;
    private final HashRing ring;
    private final ArrivalRate arrivals;
    private final KeyAffinity keys;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;

    SubsetSelector(
            ActiveSettings active,
            EndpointSet endpoints,
            HashRing ring,
            ArrivalRate arrivals,
            KeyAffinity keys,
            SlowStart slowStart,
            OutlierDetector outliers) {
        this.active = active;
        this.endpoints = endpoints;
        this.ring = ring;
        this.arrivals = arrivals;
        this.keys = keys;
        this.slowStart = slowStart;
        this.outliers = outliers;
    }

    /** Servers that the request may be sent to now; those that it was sent to already only if there are no others. */
    List<ServerState> candidates(RequestState request, long now) {
        if (request.key != 0 && usesKeySubsets(now)) {
            double proportional =
                    KEY_SPREAD * keys.keyShare(request.key) * endpoints.listed().size();
            int wanted = (int) Math.max(MIN_KEY_SUBSET, proportional);
            ServerState[] order = ring.keyOrder();
            return walk(request, order, ring.indexOf(request.key), wanted, false, now);
        }
        return walk(request, ring.homeOrder(), 0, subsetSize(now), active.prefersOwnZone(), now);
    }

    private List<ServerState> walk(
            RequestState request, ServerState[] order, int from, int wanted, boolean ownZoneOnly, long now) {
        List<ServerState> untried = new ArrayList<>();
        List<ServerState> tried = new ArrayList<>();
        int walk = ring.beginWalk();
        int ownZone = active.settings().zone();
        int counted = 0;
        int warm = 0;
        for (int i = 0; i < order.length && counted < wanted && warm < MAX_REACH * wanted; i++) {
            ServerState server = order[(from + i) % order.length];
            if (server.lastWalk == walk) {
                continue;
            }
            server.lastWalk = walk;
            if (!isCandidate(request, server, now)) {
                continue;
            }
            (request.wasSentTo(server) ? tried : untried).add(server);
            if (slowStart.isWarm(server, now)) {
                warm++;
                counted += ownZoneOnly && server.server.zone() != ownZone ? 0 : 1;
            }
        }
        return untried.isEmpty() ? tried : untried;
    }

    private boolean isCandidate(RequestState request, ServerState server, long now) {
        return request.isPermittedOn(server.server)
                && request.mayRunOn(server, now, active.tickMicros())
                && slowStart.hasBudget(server, now)
                && outliers.allows(request, server, now);
    }

    /** Marks the servers of this balancer's subset; none where subsets follow from keys. */
    void refresh(long now) {
        int subset = subsetSize(now);
        boolean byKey = usesKeySubsets(now);
        boolean ownZoneOnly = active.prefersOwnZone();
        int ownZone = active.settings().zone();
        int counted = 0;
        int warm = 0;
        for (ServerState server : ring.homeOrder()) {
            server.inSubset = !byKey && counted < subset && warm < MAX_REACH * subset;
            if (slowStart.isWarm(server, now)) {
                warm++;
                counted += ownZoneOnly && server.server.zone() != ownZone ? 0 : 1;
            }
        }
    }

    private int subsetSize(long now) {
        double secondsPerVisit =
                active.settings().prices().handshake() > 0 ? SECONDS_PER_VISIT_EXPENSIVE_HANDSHAKE : SECONDS_PER_VISIT;
        return (int) Math.max(MIN_SUBSET, arrivals.perSecond(now) * secondsPerVisit);
    }

    // Only where servers keep a key warm, and the balancer's traffic reaches all of them often.
    private boolean usesKeySubsets(long now) {
        return active.settings().warmKeys()
                && arrivals.perSecond(now) * SECONDS_PER_VISIT
                        >= endpoints.listed().size();
    }
}
