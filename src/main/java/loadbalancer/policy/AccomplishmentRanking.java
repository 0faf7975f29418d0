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
    /** Used where all servers are of one kind. */
    private static final double DEFAULT_FAST_PROPORTION = 0.5;

    private final DecayScale scale;
    /** The paper's p. */
    private double fastProportion = DEFAULT_FAST_PROPORTION;

    AccomplishmentRanking(DecayScale scale) {
        this.scale = scale;
    }

    void recordDispatch(ServerState server) {
        server.accomplishment += scale.unit();
    }

    /** A failure does not earn rank: takes a dispatch back. */
    void recordFailure(ServerState server) {
        server.accomplishment = Math.max(0, server.accomplishment - scale.unit());
    }

    /** Sorts the servers by descending accomplishment. */
    void rank(List<ServerState> servers) {
        servers.sort(BY_ACCOMPLISHMENT);
    }

    /** How many of {@code count} ranked servers, two at least, are taken for the fast ones: the paper's p·k. */
    int fastCount(int count) {
        return Math.max(1, Math.min(count - 1, (int) Math.round(fastProportion * count)));
    }

    /** Sets p to the proportion of servers of the kinds whose mean weight is at least the mean of all. */
    void updateFastProportion(List<ServerState> listed) {
        Map<Integer, KindTotals> kinds = new LinkedHashMap<>();
        double weight = 0;
        for (ServerState state : listed) {
            KindTotals totals = kinds.computeIfAbsent(state.server.kind(), kind -> new KindTotals());
            totals.weight += state.server.weight();
            totals.servers++;
            weight += state.server.weight();
        }
        double fast = 0;
        for (KindTotals totals : kinds.values()) {
            if (totals.weight / totals.servers >= weight / listed.size()) {
                fast += totals.servers;
            }
        }
        fastProportion = kinds.size() < 2 ? DEFAULT_FAST_PROPORTION : fast / listed.size();
    }

    /** Sums over the servers of one kind of machine. */
    private static final class KindTotals {
        private double weight;
        private double servers;
    }
}
