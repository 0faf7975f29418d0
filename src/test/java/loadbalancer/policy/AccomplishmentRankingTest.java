package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

class AccomplishmentRankingTest {
    private final DecayScale scale = new DecayScale();
    private final AccomplishmentRanking ranking = new AccomplishmentRanking(scale);

    private static ServerState server(String id, int tieBreaker, int machineModel, double weight) {
        return new ServerState(new Server(id, State.UP, 0, weight, 0, machineModel, 0), tieBreaker);
    }

    @Test
    void serversRankByDispatchesThenByTieBreaker() {
        ServerState few = server("few", 1, 0, 1);
        ServerState many = server("many", 2, 0, 1);
        ServerState tied = server("tied", 0, 0, 1);
        ranking.recordDispatch(few);
        ranking.recordDispatch(many);
        ranking.recordDispatch(many);
        ranking.recordDispatch(tied);
        List<ServerState> servers = new ArrayList<>(List.of(few, many, tied));
        ranking.rank(servers);
        assertEquals(List.of(many, tied, few), servers);
    }

    @Test
    void laterDispatchesCountForMore() {
        ServerState early = server("early", 0, 0, 1);
        ServerState late = server("late", 1, 0, 1);
        ranking.recordDispatch(early);
        scale.decay(0.5);
        ranking.recordDispatch(late);
        assertEquals(2 * early.accomplishment, late.accomplishment);
    }

    @Test
    void aFailureTakesBackOneDispatchButNotBelowZero() {
        ServerState server = server("s", 0, 0, 1);
        ranking.recordDispatch(server);
        ranking.recordFailure(server);
        ranking.recordFailure(server);
        assertEquals(0, server.accomplishment);
    }

    @Test
    void halfOfTheServersAreFastWhereAllAreOfOneModel() {
        ranking.updateFastProportion(List.of(server("a", 0, 0, 1), server("b", 1, 0, 5)));
        assertEquals(3, ranking.fastCount(6));
    }

    @Test
    void machineModelsOfAtLeastMeanWeightAreFast() {
        ranking.updateFastProportion(
                List.of(server("a", 0, 0, 4), server("b", 1, 1, 1), server("c", 2, 1, 1), server("d", 3, 2, 1)));
        assertEquals(2, ranking.fastCount(8), "one of four servers");
        assertEquals(1, ranking.fastCount(2), "at least one");
    }

    @Test
    void notAllCandidatesAreFast() {
        ranking.updateFastProportion(List.of(server("a", 0, 0, 1), server("b", 1, 1, 1)));
        assertEquals(3, ranking.fastCount(4));
    }
}
