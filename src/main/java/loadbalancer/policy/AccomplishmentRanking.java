package loadbalancer.policy;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The ranking of JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems"): servers by
 * accomplishment, the number of requests that were dispatched to them. A fast server finishes sooner, its queue is
 * the shortest more often, and so its accomplishment tells its speed, with no measurement.
 *
 * <p>Here the numbers decay, and failed dispatches don't count.
 */
final class AccomplishmentRanking {
    private static final Comparator<ServerState> BY_ACCOMPLISHMENT = Comparator.<ServerState>comparingDouble(
                    server -> -server.accomplishment)
            .thenComparingInt(server -> server.tieBreaker);
    /** Used where all servers are of one machine model. */
    private static final double DEFAULT_FAST_PROPORTION = 0.5;

    private final DecayScale decayScale;
    /** The paper's p. */
    private double fastProportion = DEFAULT_FAST_PROPORTION;

    AccomplishmentRanking(DecayScale decayScale) {
        this.decayScale = decayScale;
    }

    void recordDispatch(ServerState server) {
        server.accomplishment += decayScale.unit();
    }

    /** A failure does not earn rank: takes a dispatch back. */
    void recordFailure(ServerState server) {
        server.accomplishment = Math.max(0, server.accomplishment - decayScale.unit());
    }

    /** Sorts the servers by descending accomplishment. */
    void rank(List<ServerState> servers) {
        servers.sort(BY_ACCOMPLISHMENT);
    }

    /** How many of {@code count} ranked servers, two at least, are taken for the fast ones: the paper's p·k. */
    int fastCount(int count) {
        return Math.max(1, Math.min(count - 1, (int) Math.round(fastProportion * count)));
    }

    /** Sets p to the proportion of servers of the machine models whose mean weight is at least the mean of all. */
    void updateFastProportion(List<ServerState> upServers) {
        Map<Integer, ModelTotals> totalsByModel = new LinkedHashMap<>();
        double totalWeight = 0;
        for (ServerState server : upServers) {
            ModelTotals totals =
                    totalsByModel.computeIfAbsent(server.endpoint.machineModel(), model -> new ModelTotals());
            totals.weight += server.endpoint.weight();
            totals.serverCount++;
            totalWeight += server.endpoint.weight();
        }
        double fastServers = 0;
        for (ModelTotals totals : totalsByModel.values()) {
            if (totals.weight / totals.serverCount >= totalWeight / upServers.size()) {
                fastServers += totals.serverCount;
            }
        }
        fastProportion = totalsByModel.size() < 2 ? DEFAULT_FAST_PROPORTION : fastServers / upServers.size();
    }

    /** Sums over the servers of one machine model. */
    private static final class ModelTotals {
        private double weight;
        private double serverCount;
    }
}
