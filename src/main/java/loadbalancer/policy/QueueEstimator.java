package loadbalancer.policy;

import loadbalancer.policy.Policy.Actions;
import loadbalancer.policy.Policy.Load;
import loadbalancer.policy.Policy.Prices;

/**
 * Estimates how long each server's queue is: own attempts in flight, the places that quick failures still keep, and
 * the attempts of the other balancers. A balancer that sees a small part of the traffic finds its own queues empty
 * nearly always, and ties alone would then send all of it to one set of servers.
 */
final class QueueEstimator {
    /** How many requests a queue seems longer, per unit of price, in another zone or without a connection. */
    private static final double REQUESTS_PER_PRICE = 10;
    /** Time constant of trust in a load report, in typical latencies. */
    private static final double REPORT_TRUST_LATENCIES = 2;
    /** Reports of more requests in flight than this are taken for errors. */
    private static final double MAX_REPORTED = 1e6;
    /** Weight of one response in a server's slowness. */
    private static final double SLOWNESS_SMOOTHING = 0.25;
    /** One response counts as no slower than this. */
    private static final double MAX_SLOWNESS_SAMPLE = 4;
    /** Time constant of the mean of own attempts in flight. */
    private static final double OWN_MEAN_MICROS = 2e6;

    private final ActiveSettings active;
    private final EndpointSet endpoints;
    private final ClassLatencies latencies;
    /** Own attempts in flight, at all servers. */
    private int inFlight;
    /** Moving mean of them. */
    private double meanInFlight;

    QueueEstimator(ActiveSettings active, EndpointSet endpoints, ClassLatencies latencies) {
        this.active = active;
        this.endpoints = endpoints;
        this.latencies = latencies;
    }

    void attemptSent(ServerState server) {
        server.inFlight++;
        inFlight++;
    }

    void attemptEnded(ServerState server) {
        server.inFlight--;
        inFlight--;
    }

    /** Lets a failed attempt keep its place in the queue until {@code until}: a server that fails fast stays long. */
    static void keepPlace(ServerState server, long until) {
        server.penaltyEnds.add(until);
    }

    /** Updates the mean of own attempts in flight by the time that has passed. */
    void update(long elapsedMicros) {
        meanInFlight += (1 - Math.exp(-elapsedMicros / OWN_MEAN_MICROS)) * (inFlight - meanInFlight);
    }

    /**
     * The queue's length in requests, for a server of mean weight. In another zone, where crossing has a price, a
     * queue counts for longer: it must be worth the price. So does one that needs a handshake: chosen by queues
     * alone, four requests in ten opened a connection.
     */
    double queueLength(ServerState server, long now, Actions out) {
        while (!server.penaltyEnds.isEmpty() && server.penaltyEnds.peekFirst() <= now) {
            server.penaltyEnds.pollFirst();
        }
        Prices prices = active.settings().prices();
        double surcharge =
                server.server.zone() == active.settings().zone() ? 0 : REQUESTS_PER_PRICE * prices.crossZone();
        if (prices.handshake() > 0 && !out.isConnected(server.server.id())) {
            surcharge += REQUESTS_PER_PRICE * prices.handshake();
        }
        double attempts = server.inFlight + server.penaltyEnds.size() + attemptsOfOthers(server, now);
        double queue = attempts * endpoints.meanWeight() / server.server.weight();
        return queue + surcharge * (1 + queue);
    }

    // As last reported, or by Little's law as many as this balancer has at a server on average, in the ratio of this
    // server's latency. An old report fades to the mean of all.
    private double attemptsOfOthers(ServerState server, long now) {
        double relativeWeight = server.server.weight() / endpoints.meanWeight();
        double trust = 0;
        if (server.reportedAt > 0) {
            trust = Math.exp(-(now - server.reportedAt) / (REPORT_TRUST_LATENCIES * latencies.shortestMicros()));
        }
        int otherBalancers = active.settings().balancers() - 1;
        double inferred = relativeWeight
                * meanInFlight
                * otherBalancers
                / Math.max(1, endpoints.listed().size());
        return slowness(server, now) * (inferred + trust * (server.reportedInFlight - inferred));
    }

    /** Takes a load report over; one with a figure that no server can mean is ignored. */
    static void recordReport(ServerState server, Load load, long now) {
        if (load != null && load.inFlight() >= 0 && load.inFlight() < MAX_REPORTED) {
            server.reportedInFlight = load.inFlight();
            server.reportedAt = now;
        }
    }

    /** Moving mean of latency / typical latency; it fades to 1. */
    static double slowness(ServerState server, long now) {
        double faded = Math.exp(-(now - server.slownessAt) / DecayScale.TIME_CONSTANT_MICROS);
        return 1 + (server.slowness - 1) * faded;
    }

    static void recordSlowness(ServerState server, double sample, long now) {
        double former = slowness(server, now);
        server.slowness = former + SLOWNESS_SMOOTHING * (Math.min(MAX_SLOWNESS_SAMPLE, sample) - former);
        server.slownessAt = now;
    }
}
