package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

class HashRingTest {
    private static List<ServerState> servers(int count) {
        List<ServerState> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(PolicyFixtures.server("s" + i));
        }
        return servers;
    }

    private static HashRing ring(int rank, List<ServerState> servers) {
        HashRing ring = new HashRing(rank, 4);
        ring.assignPoints(servers, 1);
        return ring;
    }

    @Test
    void eachBalancerHasItsOwnOrderOfAllServers() {
        List<ServerState> servers = servers(30);
        ServerState[] first = ring(0, servers).homeOrder();
        assertEquals(30, first.length);
        assertEquals(new HashSet<>(servers), new HashSet<>(Arrays.asList(first)));
        List<ServerState> sameServers = servers(30);
        assertNotEquals(
                first[0].endpoint.id(),
                ring(2, sameServers).homeOrder()[0].endpoint.id());
    }

    @Test
    void ringPointsAreProportionalToTheWeightWithinBounds() {
        List<ServerState> servers = List.of(
                PolicyFixtures.server("light", 0.001, 0),
                PolicyFixtures.server("mean", 1, 0),
                PolicyFixtures.server("heavy", 1_000, 0));
        ring(0, servers);
        assertEquals(List.of(1, 8, 64), servers.stream().map(s -> s.ringPoints).toList());
    }

    @Test
    void aServerThatLeavesDoesNotReorderTheOthers() {
        List<ServerState> servers = servers(20);
        HashRing ring = ring(1, servers);
        List<ServerState> before = new ArrayList<>(Arrays.asList(ring.homeOrder()));
        ServerState leaving = before.get(3);
        leaving.endpoint = leaving.endpoint.withState(State.DRAINING);
        ring.assignPoints(servers, 1);
        before.remove(leaving);
        assertEquals(before, Arrays.asList(ring.homeOrder()));
        assertFalse(Arrays.asList(ring.keyOrder()).contains(leaving));
    }

    @Test
    void aKeyKeepsItsPositionAndKeysAreSpreadOverTheServers() {
        HashRing ring = ring(0, servers(20));
        ServerState[] order = ring.keyOrder();
        assertEquals(20 * 8, order.length);
        HashSet<String> starts = new HashSet<>();
        for (int key = 1; key <= 1_000; key++) {
            int index = ring.indexOf(Hashing.hash("key" + key));
            assertEquals(index, ring.indexOf(Hashing.hash("key" + key)));
            starts.add(order[index % order.length].endpoint.id());
        }
        assertEquals(20, starts.size());
    }

    @Test
    void aRemovedServerHasNoRingPoints() {
        List<ServerState> servers = servers(3);
        HashRing ring = ring(0, servers);
        ring.remove(servers.get(0));
        assertTrue(Arrays.stream(ring.keyOrder()).noneMatch(s -> s == servers.get(0)));
    }
}
