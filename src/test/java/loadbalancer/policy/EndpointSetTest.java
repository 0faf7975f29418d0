package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

class EndpointSetTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;

    private final HashRing ring = new HashRing(0, 1);
    private final EndpointSet endpoints = new EndpointSet(new SplittableRandom(1), ring);

    private static Server server(String id, State state, long startedAtMicros, double weight) {
        return new Server(id, state, startedAtMicros, weight, 0, 0, 0);
    }

    private List<String> listedIds() {
        return endpoints.upServers().stream().map(state -> state.endpoint.id()).toList();
    }

    @Test
    void onlyACompleteListRemovesServersThatItDoesNotContain() {
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, PolicyFixtures.servers(3));
        endpoints.update(NOW_MICROS, ListKind.PARTIAL, List.of(PolicyTestHarness.runningServer("new")));
        assertEquals(List.of("s0", "s1", "s2", "new"), listedIds());
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, PolicyFixtures.servers(1));
        assertEquals(List.of("s0"), listedIds());
        assertEquals(1, endpoints.all().size());
    }

    @Test
    void aRemovedServerIsKeptWhileAttemptsAreInFlight() {
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, PolicyFixtures.servers(1));
        ServerState state = endpoints.upServers().get(0);
        state.inFlight = 1;
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, List.of());
        assertEquals(List.of(), listedIds());
        assertEquals(List.of(state), List.copyOf(endpoints.all()));
        state.inFlight = 0;
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, List.of());
        assertEquals(0, endpoints.all().size());
    }

    @Test
    void aDrainingServerIsNotListed() {
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, List.of(server("a", State.DRAINING, 0, 1)));
        assertEquals(List.of(), listedIds());
        assertEquals(1, endpoints.all().size());
    }

    @Test
    void theStateOfAServerIsKeptUntilItRestarts() {
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, List.of(server("a", State.UP, 5, 1)));
        ServerState learned = endpoints.upServers().get(0);
        endpoints.update(NOW_MICROS, ListKind.PARTIAL, List.of(server("a", State.UP, 5, 3)));
        assertSame(learned, endpoints.upServers().get(0));
        assertEquals(3, learned.endpoint.weight());
        endpoints.update(NOW_MICROS, ListKind.PARTIAL, List.of(server("a", State.UP, 6, 3)));
        assertNotSame(learned, endpoints.upServers().get(0));
        assertEquals(0, learned.ringPoints);
    }

    @Test
    void theMeanWeightIsThatOfListedServers() {
        assertEquals(1, endpoints.meanWeight());
        endpoints.update(
                NOW_MICROS,
                ListKind.COMPLETE,
                List.of(server("a", State.UP, 0, 2), server("b", State.UP, 0, 4), server("c", State.DRAINING, 0, 100)));
        assertEquals(3, endpoints.meanWeight());
    }
}
