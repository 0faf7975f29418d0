package loadbalancer.policy;

import loadbalancer.policy.Policy.Bounds;

/**
 * Rule 4: a server that is warming up gets its part of what warm ones of like weight take, and the part grows from
 * {@link Bounds#coldFrom()} to 1 over {@link Bounds#rampTimeMicros()}. A token bucket for each such server.
 */
final class SlowStart {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Attempts sent to a server warming up, as a multiple of its part of what a warm one takes. */
    private static final double RATE_MARGIN = 2.4;
    /**
     * The same for those in this balancer's subset, as a multiple of what a warm one there takes. How many balancers
     * have a server in a subset of six varies by 0.4 of their mean: twice as many may share it.
     */
    private static final double SUBSET_RATE_MARGIN = 1.2;
    /** Capacity of the bucket: this part of the window that rule 4 is measured over. */
    private static final double BURSTS_PER_WINDOW = 3;
    /** Until any is known: a warm server gives two responses in the shortest objective, to all balancers. */
    private static final double DEFAULT_RESPONSES_PER_OBJECTIVE = 2;

    private final ActiveSettings activeSettings;
    private final DecayScale decayScale;
    /** Responses per second and unit of weight, of warm servers. */
    private double warmRatePerWeight;
    /** The same responses per unit of weight of the subset's servers. */
    private double subsetRatePerWeight;

    SlowStart(ActiveSettings activeSettings, DecayScale decayScale) {
        this.activeSettings = activeSettings;
        this.decayScale = decayScale;
    }

    /** Whether an attempt may be sent to the server now. */
    boolean hasBudget(ServerState server, long nowMicros) {
        double warmUpProportion = warmUpProportion(server, nowMicros);
        if (warmUpProportion >= 1) {
            return true;
        }
        // The fleet's mean would do if all balancers used the server; those do that have it in their subset. By the
        // mean alone the new ones among 200 servers took a seventh of that, and the rest was overloaded.
        double subsetRate = server.inSubset ? SUBSET_RATE_MARGIN * subsetRatePerWeight * server.endpoint.weight() : 0;
        double rate = warmUpProportion * Math.max(RATE_MARGIN * warmRate(server), subsetRate);
        double capacity = Math.max(
                1,
                rate * activeSettings.settings().bounds().fallWindowMicros() / (BURSTS_PER_WINDOW * MICROS_PER_SECOND));
        double refilledTokens =
                server.slowStartTokens + rate * (nowMicros - server.slowStartTokensUpdatedAtMicros) / MICROS_PER_SECOND;
        server.slowStartTokens = Math.min(capacity, refilledTokens);
        server.slowStartTokensUpdatedAtMicros = nowMicros;
        return server.slowStartTokens >= 1;
    }

    static void recordDispatch(ServerState server) {
        server.slowStartTokens--;
    }

    boolean isWarm(ServerState server, long nowMicros) {
        return warmUpProportion(server, nowMicros) >= 1;
    }

    /** Measures the rates anew over all servers. */
    void refresh(ServerState[] servers, long nowMicros) {
        double responses = 0;
        double weight = 0;
        double subsetWeight = 0;
        for (ServerState server : servers) {
            if (isWarm(server, nowMicros)) {
                responses += server.successes / decayScale.unit();
                weight += server.endpoint.weight();
                subsetWeight += server.inSubset ? server.endpoint.weight() : 0;
            }
        }
        warmRatePerWeight = ratePerWeight(responses, weight);
        subsetRatePerWeight = ratePerWeight(responses, subsetWeight);
    }

    private static double ratePerWeight(double responses, double weight) {
        return weight <= 0 ? 0 : responses / DecayScale.TIME_CONSTANT_MICROS * MICROS_PER_SECOND / weight;
    }

    // The part of a warm server's work that the server may get, at most 1.
    private double warmUpProportion(ServerState server, long nowMicros) {
        Bounds bounds = activeSettings.settings().bounds();
        long startedAtMicros = server.endpoint.startedAtMicros();
        long ageMicros = nowMicros - startedAtMicros;
        if (startedAtMicros <= 0 || bounds.rampTimeMicros() <= 0 || ageMicros >= bounds.rampTimeMicros()) {
            return 1;
        }
        return bounds.coldFrom() + (1 - bounds.coldFrom()) * Math.max(0, ageMicros) / bounds.rampTimeMicros();
    }

    // Responses per second that a warm server of this one's weight gives this balancer.
    private double warmRate(ServerState server) {
        double minRate = DEFAULT_RESPONSES_PER_OBJECTIVE
                * MICROS_PER_SECOND
                / activeSettings.shortestObjectiveMicros()
                / activeSettings.settings().balancers();
        return Math.max(minRate, warmRatePerWeight * server.endpoint.weight());
    }
}
