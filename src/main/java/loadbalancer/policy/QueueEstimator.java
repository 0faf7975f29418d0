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
    private static final double REPORT_TIME_CONSTANT_LATENCIES = 2;
    /** Reports of more requests in flight than this are taken for errors. */
    private static final double MAX_REPORTED_IN_FLIGHT = 1e6;
    /** Weight of one response in a server's slowness. */
    private static final double SLOWNESS_SMOOTHING = 0.25;
    /** One response counts as no slower than this. */
    private static final double MAX_SLOWNESS_SAMPLE = 4;
    /** Time constant of the mean of own attempts in flight. */
    private static final double IN_FLIGHT_SMOOTHING_MICROS = 2e6;

    private final ActiveSettings activeSettings;
    private final EndpointSet endpoints;
    private final ClassLatencies latencies;
    /** Own attempts in flight, at all servers. */
    private int inFlight;
    /** Moving mean of them. */
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
     * Lets a failed attempt keep its place in the queue until {@code untilMicros}: a server that fails fast stays long.
     */
    static void addPenalty(ServerState server, long untilMicros) {
        server.penaltyEndsMicros.add(untilMicros);
    }

    /** Updates the mean of own attempts in flight by the time that has passed. */
    void update(long elapsedMicros) {
        meanInFlight += (1 - Math.exp(-elapsedMicros / IN_FLIGHT_SMOOTHING_MICROS)) * (inFlight - meanInFlight);
    }

    /**
     * The queue's length in requests, for a server of mean weight. In another zone, where crossing has a price, a
     * queue counts for longer: it must be worth the price. So does one that needs a handshake: chosen by queues
     * alone, four requests in ten opened a connection.
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

    // As last reported, or by Little's law as many as this balancer has at a server on average, in the ratio of this
    // server's latency. An old report fades to the mean of all.
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

    /** Takes a load report over; one with a figure that no server can mean is ignored. */
    static void recordReport(ServerState server, Load load, long nowMicros) {
        if (load != null && load.inFlight() >= 0 && load.inFlight() < MAX_REPORTED_IN_FLIGHT) {
            server.reportedInFlight = load.inFlight();
            server.reportedAtMicros = nowMicros;
        }
    }

    /** Moving mean of latency / typical latency; it fades to 1. */
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
