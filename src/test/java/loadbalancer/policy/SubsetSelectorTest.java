package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Prices;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

class SubsetSelectorTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;

    private final SplittableRandom random = new SplittableRandom(1);
    private final ArrivalRate arrivals = new ArrivalRate();
    private final HashRing ring = new HashRing(0, 4);
    private final EndpointSet endpoints = new EndpointSet(random, ring);
    private final RequestState request = PolicyFixtures.request(PolicyFixtures.SAFE);

    private SubsetSelector selector(Prices prices) {
        ActiveSettings activeSettings = PolicyFixtures.activeSettings(prices, 4);
        DecayScale scale = new DecayScale();
        OutlierDetector outliers = new OutlierDetector(
                activeSettings, endpoints, new AccomplishmentRanking(scale), scale, random, new OperatorLog());
        return new SubsetSelector(
                activeSettings,
                endpoints,
                ring,
                arrivals,
                new KeyAffinity(scale, arrivals),
                new SlowStart(activeSettings, scale),
                outliers);
    }

    private SubsetSelector selector() {
        return selector(new Prices(0, 0));
    }

    private void updateEndpoints(int count, long startedAtMicros, int zones) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Server("s" + i, State.UP, startedAtMicros, 1, 0, 0, i % zones));
        }
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, servers);
    }

    @Test
    void anIdleBalancerUsesTheSameSixServers() {
        updateEndpoints(50, 0, 1);
        SubsetSelector selector = selector();
        List<ServerState> candidates = selector.candidates(request, NOW_MICROS);
        assertEquals(6, candidates.size());
        assertEquals(candidates, selector.candidates(request, NOW_MICROS + 1_000_000));
    }

    /** 100 requests at once count as a rate of 35 per second. */
    private void recordBusyTraffic() {
        updateEndpoints(80, 0, 1);
        for (int i = 0; i < 100; i++) {
            arrivals.record(NOW_MICROS, false);
        }
    }

    @Test
    void aBusyBalancerUsesServersThatItVisitsEveryOneAndAHalfSeconds() {
        recordBusyTraffic();
        assertEquals(52, selector().candidates(request, NOW_MICROS).size());
    }

    @Test
    void aBusyBalancerUsesFewerServersWhereHandshakesHaveAPrice() {
        recordBusyTraffic();
        assertEquals(
                17, selector(new Prices(0, 0.1)).candidates(request, NOW_MICROS).size());
    }

    @Test
    void anEjectedServerIsReplacedByTheNextOne() {
        updateEndpoints(50, 0, 1);
        SubsetSelector selector = selector();
        List<ServerState> before = selector.candidates(request, NOW_MICROS);
        before.get(2).ejectedUntilMicros = NOW_MICROS + 1_000_000;
        List<ServerState> after = selector.candidates(request, NOW_MICROS);
        assertEquals(6, after.size());
        assertFalse(after.contains(before.get(2)));
    }

    @Test
    void serversInSlowStartDoNotCountTowardsTheSubset() {
        updateEndpoints(10, NOW_MICROS - 10_000_000, 1);
        endpoints.upServers().forEach(server -> server.slowStartTokens = 2);
        assertEquals(10, selector().candidates(request, NOW_MICROS).size(), "none of them is warm");
    }

    @Test
    void aServerThatWasTriedIsUsedOnlyWhereThereIsNoOther() {
        updateEndpoints(2, 0, 1);
        SubsetSelector selector = selector();
        PolicyFixtures.send(request, endpoints.upServers().get(0), NOW_MICROS);
        assertEquals(List.of(endpoints.upServers().get(1)), selector.candidates(request, NOW_MICROS));
        PolicyFixtures.send(request, endpoints.upServers().get(1), NOW_MICROS);
        assertEquals(new HashSet<>(endpoints.upServers()), new HashSet<>(selector.candidates(request, NOW_MICROS)));
    }

    @Test
    void whereCrossingZonesHasAPriceOnlyServersOfTheOwnZoneCount() {
        updateEndpoints(60, 0, 2);
        List<ServerState> candidates = selector(new Prices(0.1, 0)).candidates(request, NOW_MICROS);
        assertEquals(6, candidates.stream().filter(s -> s.endpoint.zone() == 0).count());
        assertTrue(candidates.size() <= 4 * 6);
    }

    @Test
    void aClassIsNotSentOutsideItsZones() {
        updateEndpoints(20, 0, 2);
        RequestClass baseClass = PolicyFixtures.SAFE;
        RequestClass restrictedClass = new RequestClass(
                baseClass.effect(),
                baseClass.scope(),
                0,
                baseClass.aimMicros(),
                baseClass.deadlineMicros(),
                0,
                1,
                0,
                false,
                false,
                Set.of(1),
                Set.of());
        List<ServerState> candidates = selector().candidates(PolicyFixtures.request(restrictedClass), NOW_MICROS);
        assertEquals(6, candidates.size());
        assertTrue(candidates.stream().allMatch(s -> s.endpoint.zone() == 1));
    }

    @Test
    void refreshMarksTheServersOfTheSubset() {
        updateEndpoints(50, 0, 1);
        SubsetSelector selector = selector();
        selector.refresh(NOW_MICROS);
        List<ServerState> marked =
                endpoints.upServers().stream().filter(server -> server.inSubset).toList();
        assertEquals(new HashSet<>(selector.candidates(request, NOW_MICROS)), new HashSet<>(marked));
    }
}
