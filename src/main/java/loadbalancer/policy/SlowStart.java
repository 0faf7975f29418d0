package loadbalancer.policy;

import loadbalancer.policy.Policy.Bounds;

/**
 * Rule 4: a server that is warming up gets its part of what warm ones of like weight take, and the part grows from
 * {@link Bounds#coldFrom()} to 1 over {@link Bounds#rampTime()}. A token bucket for each such server.
 */
final class SlowStart {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Attempts sent to a server warming up, as a multiple of its part of what a warm one takes. */
    private static final double MARGIN = 2.4;
    /**
     * The same for those in this balancer's subset, as a multiple of what a warm one there takes. How many balancers
     * have a server in a subset of six varies by 0.4 of their mean: twice as many may share it.
     */
    private static final double SUBSET_MARGIN = 1.2;
    /** Capacity of the bucket: this part of the window that rule 4 is measured over. */
    private static final double WINDOWS_PER_BURST = 3;
    /** Until any is known: a warm server gives two responses in the shortest objective, to all balancers. */
    private static final double DEFAULT_RESPONSES_PER_OBJECTIVE = 2;

    private final ActiveSettings active;
    private final DecayScale scale;
    /** Responses per second and unit of weight, of warm servers. */
    private double warmRate;
    /** The same responses per unit of weight of the subset's servers. */
    private double subsetRate;

    SlowStart(ActiveSettings active, DecayScale scale) {
        this.active = active;
        this.scale = scale;
    }

    /** Whether an attempt may be sent to the server now. */
    boolean hasBudget(ServerState server, long now) {
        double warmth = warmth(server, now);
        if (warmth >= 1) {
            return true;
        }
        // The fleet's mean would do if all balancers used the server; those do that have it in their subset. By the
        // mean alone the new ones among 200 servers took a seventh of that, and the rest was overloaded.
        double inSubset = server.inSubset ? SUBSET_MARGIN * subsetRate * server.server.weight() : 0;
        double rate = warmth * Math.max(MARGIN * warmRate(server), inSubset);
        double capacity =
                Math.max(1, rate * active.settings().bounds().fallWindow() / (WINDOWS_PER_BURST * MICROS_PER_SECOND));
        double refilled = server.slowStartTokens + rate * (now - server.slowStartTokensAt) / MICROS_PER_SECOND;
        server.slowStartTokens = Math.min(capacity, refilled);
        server.slowStartTokensAt = now;
        return server.slowStartTokens >= 1;
    }

    static void recordDispatch(ServerState server) {
        server.slowStartTokens--;
    }

    boolean isWarm(ServerState server, long now) {
        return warmth(server, now) >= 1;
    }

    /** Measures the rates anew over all servers. */
    void refresh(ServerState[] servers, long now) {
        double responses = 0;
        double weight = 0;
        double subsetWeight = 0;
        for (ServerState server : servers) {
            if (isWarm(server, now)) {
                responses += server.successes / scale.unit();
                weight += server.server.weight();
                subsetWeight += server.inSubset ? server.server.weight() : 0;
            }
        }
        warmRate = ratePerWeight(responses, weight);
        subsetRate = ratePerWeight(responses, subsetWeight);
    }

    private static double ratePerWeight(double responses, double weight) {
        return weight <= 0 ? 0 : responses / DecayScale.TIME_CONSTANT_MICROS * MICROS_PER_SECOND / weight;
    }

    // The part of a warm server's work that the server may get, at most 1.
    private double warmth(ServerState server, long now) {
        Bounds bounds = active.settings().bounds();
        long startedAt = server.server.startedAt();
        long age = now - startedAt;
        if (startedAt <= 0 || bounds.rampTime() <= 0 || age >= bounds.rampTime()) {
            return 1;
        }
        return bounds.coldFrom() + (1 - bounds.coldFrom()) * Math.max(0, age) / bounds.rampTime();
    }

    // Responses per second that a warm server of this one's weight gives this balancer.
    private double warmRate(ServerState server) {
        double lowest = DEFAULT_RESPONSES_PER_OBJECTIVE
                * MICROS_PER_SECOND
                / active.shortestObjectiveMicros()
                / active.settings().balancers();
        return Math.max(lowest, warmRate * server.server.weight());
    }
}
