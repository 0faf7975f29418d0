package loadbalancer.policy;

import loadbalancer.policy.Policy.Actions;
import loadbalancer.policy.Policy.Load;
import loadbalancer.policy.Policy.Prices;

/**
 * Estimates the length of each server's queue: own attempts in flight, penalties for recent failures, and the attempts
 * of the other balancers. A balancer with a small share of the traffic nearly always finds its own queues empty;
 * tie-breaking alone would then send all its requests to the same set of servers.
 */
final class QueueEstimator {
    /** How much longer, in requests, a queue counts per unit of price in another zone or without a connection. */
    private static final double REQUESTS_PER_PRICE = 10;
    /** Time constant of the weight of a load report, as a multiple of the typical latency. */
    private static final double REPORT_TIME_CONSTANT_LATENCIES = 2;
    /** Reports of more requests in flight than this are assumed to be errors. */
    private static final double MAX_REPORTED_IN_FLIGHT = 1e6;
    /** Weight of one response in a server's slowness. */
    private static final double SLOWNESS_SMOOTHING = 0.25;
    /** Upper limit of the slowness that one response counts as. */
    private static final double MAX_SLOWNESS_SAMPLE = 4;
    /** Time constant of the moving mean of own attempts in flight. */
    private static final double IN_FLIGHT_SMOOTHING_MICROS = 2e6;

    private final ActiveSettings activeSettings;
    private final EndpointSet endpoints;
    private final ClassLatencies latencies;
    /** Own attempts in flight, at all servers. */
    private int inFlight;
    /** Moving mean of {@link #inFlight}. */
    private double meanInFlight;

    QueueEstimator(ActiveSettings activeSettings, EndpointSet endpoints, ClassLatencies latencies) {
        this.activeSettings = activeSettings;
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

    /**
     * Lets a failed attempt count in the queue length until {@code untilMicros}, so that a server that fails fast does
     * not look idle.
     */
    static void addPenalty(ServerState server, long untilMicros) {
        server.penaltyEndsMicros.add(untilMicros);
    }

    /** Updates the mean of own attempts in flight for the time that has passed. */
    void update(long elapsedMicros) {
        meanInFlight += (1 - Math.exp(-elapsedMicros / IN_FLIGHT_SMOOTHING_MICROS)) * (inFlight - meanInFlight);
    }

    /**
     * The queue's length in requests, normalized to a server of mean weight. In another zone, where crossing zones has
     * a price, a queue counts as longer, so that a crossing is worth its price. So does the queue of a server that
     * needs a handshake: with selection by queues alone, four requests in ten opened a connection.
     */
    double queueLength(ServerState server, long nowMicros, Actions actions) {
        while (!server.penaltyEndsMicros.isEmpty() && server.penaltyEndsMicros.peekFirst() <= nowMicros) {
            server.penaltyEndsMicros.pollFirst();
        }
        Prices prices = activeSettings.settings().prices();
        double surcharge = server.endpoint.zone() == activeSettings.settings().zone()
                ? 0
                : REQUESTS_PER_PRICE * prices.crossZone();
        if (prices.handshake() > 0 && !actions.isConnected(server.endpoint.id())) {
            surcharge += REQUESTS_PER_PRICE * prices.handshake();
        }
        double attempts =
                server.inFlight + server.penaltyEndsMicros.size() + attemptsOfOtherBalancers(server, nowMicros);
        double weightedAttempts = attempts * endpoints.meanWeight() / server.endpoint.weight();
        return weightedAttempts + surcharge * (1 + weightedAttempts);
    }

    // As last reported, or inferred by Little's law: as many attempts as this balancer has at a server on average,
    // scaled by this server's latency. The weight of a report decays with its age towards the inferred mean.
    private double attemptsOfOtherBalancers(ServerState server, long nowMicros) {
        double relativeWeight = server.endpoint.weight() / endpoints.meanWeight();
        double reportWeight = 0;
        if (server.reportedAtMicros > 0) {
            reportWeight = Math.exp(-(nowMicros - server.reportedAtMicros)
                    / (REPORT_TIME_CONSTANT_LATENCIES * latencies.shortestMicros()));
        }
        int otherBalancers = activeSettings.settings().balancers() - 1;
        double inferredAttempts = relativeWeight
                * meanInFlight
                * otherBalancers
                / Math.max(1, endpoints.upServers().size());
        return slowness(server, nowMicros)
                * (inferredAttempts + reportWeight * (server.reportedInFlight - inferredAttempts));
    }

    /** Applies a load report; a report with an implausible number of requests in flight is ignored. */
    static void recordReport(ServerState server, Load load, long nowMicros) {
        if (load != null && load.inFlight() >= 0 && load.inFlight() < MAX_REPORTED_IN_FLIGHT) {
            server.reportedInFlight = load.inFlight();
            server.reportedAtMicros = nowMicros;
        }
    }

    /** Moving mean of latency divided by typical latency; decays towards 1. */
    static double slowness(ServerState server, long nowMicros) {
        double decay = Math.exp(-(nowMicros - server.slownessUpdatedAtMicros) / DecayScale.TIME_CONSTANT_MICROS);
        return 1 + (server.slowness - 1) * decay;
    }

    static void recordSlowness(ServerState server, double relativeLatency, long nowMicros) {
        double previous = slowness(server, nowMicros);
        server.slowness = previous + SLOWNESS_SMOOTHING * (Math.min(MAX_SLOWNESS_SAMPLE, relativeLatency) - previous);
        server.slownessUpdatedAtMicros = nowMicros;
    }
}
