package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServerSamplerTest {
    private final AccomplishmentRanking ranking = new AccomplishmentRanking(new DecayScale());

    private ServerSampler sampler(long seed) {
        ActiveSettings activeSettings = PolicyFixtures.activeSettings(PolicyFixtures.SAFE);
        SplittableRandom random = new SplittableRandom(seed);
        ClassLatencies latencies = new ClassLatencies();
        latencies.reload(activeSettings.settings().classes(), List.of(-1));
        EndpointSet endpoints = new EndpointSet(random, new HashRing(0, 1));
        return new ServerSampler(random, ranking, new QueueEstimator(activeSettings, endpoints, latencies));
    }

    /** Servers whose number is their rank. */
    private List<ServerState> ranked(int count) {
        List<ServerState> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerState server = PolicyFixtures.server("s" + i);
            server.accomplishment = 100 - i;
            servers.add(server);
        }
        return servers;
    }

    private static ServerState select(ServerSampler sampler, List<ServerState> servers) {
        return sampler.select(new ArrayList<>(servers), PolicyFixtures.NOW_MICROS, PolicyFixtures.NO_ACTIONS);
    }

    @Test
    void theOnlyCandidateIsChosen() {
        List<ServerState> onlyServer = ranked(1);
        assertSame(onlyServer.get(0), select(sampler(1), onlyServer));
    }

    @Test
    void ofFourAllAreSampledAndTheShortestQueueWins() {
        for (int shortestIndex = 0; shortestIndex < 4; shortestIndex++) {
            List<ServerState> servers = ranked(4);
            servers.forEach(server -> server.inFlight = 2);
            servers.get(shortestIndex).inFlight = 1;
            for (int seed = 0; seed < 50; seed++) {
                assertSame(servers.get(shortestIndex), select(sampler(seed), servers));
            }
        }
    }

    @Test
    void equalQueuesGoToTheHigherRank() {
        List<ServerState> servers = ranked(4);
        for (int seed = 0; seed < 50; seed++) {
            assertSame(servers.get(0), select(sampler(seed), servers));
        }
    }

    @Test
    void ofManyTheFastHalfWinsTiesAndItsLastServerNever() {
        List<ServerState> servers = ranked(12);
        Set<ServerState> chosen = new HashSet<>();
        for (int seed = 0; seed < 500; seed++) {
            chosen.add(select(sampler(seed), servers));
        }
        assertEquals(new HashSet<>(servers.subList(0, 5)), chosen);
    }
}
