package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The budget's decisions; time is an argument. */
class ConnectionBudgetTest {
    private static final long MILLIS = 1_000_000;
    private static final long SECONDS = 1_000 * MILLIS;

    private long now = 5 * SECONDS;
    private final List<String> closed = new ArrayList<>();
    private ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(256), now); // 192 in all

    private ConnectionPermit client(String address, String name) {
        return budget.openClient(address, 1, () -> closed.add(name), now);
    }

    private List<ConnectionPermit> clients(String address, int count) {
        List<ConnectionPermit> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(client(address, address + i));
        }
        return all;
    }

    private ConnectionPermit served(String address, String name) {
        ConnectionPermit permit = client(address, name);
        budget.requestReceived(permit, now);
        assertTrue(budget.responseSent(permit, true, false, now));
        return permit;
    }

    private ConnectionPermit upstream(String name) {
        return budget.openUpstream(() -> closed.add(name), now);
    }

    private void fillClients(String address) {
        while (budget.admits(Direction.CLIENT, now)) {
            client(address, address);
        }
    }

    @Test
    void allConnectionsStayOpenWhileCapacityIsAmple() {
        for (int i = 0; i < 30; i++) {
            served("a", "a" + i);
        }
        assertEquals(5 * SECONDS, budget.maxIdleTime(now), "the idle timeout is not shortened");
        assertEquals(Pressure.AMPLE, budget.pressure(now));
    }

    /** Clients that send one request and keep their connection, at a rate far beyond what the limit can hold. */
    @Test
    void singleRequestClientsAreClosedAfterTheResponseAndRegularOnesStayOpen() {
        List<ConnectionPermit> regular = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            regular.add(served("regular" + i, "regular"));
        }
        for (int round = 0; round < 3; round++) {
            now += 100 * MILLIS;
            regular.forEach(permit -> budget.requestReceived(permit, now));
            regular.forEach(permit -> assertTrue(budget.responseSent(permit, true, false, now)));
        }
        int keptOpen = 0;
        int closedAfterResponse = 0;
        for (int i = 0; i < 2_000; i++) {
            now += 5 * MILLIS;
            if (i % 5 == 0) {
                ConnectionPermit reused = regular.get(i / 5 % regular.size());
                budget.requestReceived(reused, now);
                assertTrue(budget.responseSent(reused, true, false, now), "a regular client, at " + i);
            }
            ConnectionPermit once = client("once" + i, "once");
            now += MILLIS;
            budget.requestReceived(once, now);
            if (budget.responseSent(once, true, false, now)) {
                keptOpen++;
            } else {
                closedAfterResponse++;
                budget.closed(once, now);
            }
            budget.closeExpired(now);
            assertTrue(
                    budget.openConnections(Direction.CLIENT) < budget.maxClients(now) * 3 / 4,
                    "capacity is left at " + i);
        }
        assertTrue(closedAfterResponse > 200, "closed " + closedAfterResponse + ", kept open " + keptOpen);
        assertFalse(closed.contains("regular"));
    }

    @Test
    void singleRequestClientsStayOpenOnceTheLoadHasFallen() {
        singleRequestClientsAreClosedAfterTheResponseAndRegularOnesStayOpen();
        now += 120 * SECONDS;
        budget.closeExpired(now);
        assertEquals(5 * SECONDS, budget.maxIdleTime(now));
        ConnectionPermit back = client("once1", "back");
        budget.requestReceived(back, now);
        assertTrue(budget.responseSent(back, true, false, now));
    }

    /** A proxy sends the requests of many clients from one address: its connections stay as long as they are reused. */
    @Test
    void reusedConnectionsOfOneAddressStayOpen() {
        List<ConnectionPermit> pool = new ArrayList<>();
        for (int i = 0; i < 60; i++) { // a proxy opens another one where all are busy
            pool.add(client("front", "pool"));
            budget.requestReceived(pool.get(i), now);
        }
        pool.forEach(permit -> assertTrue(budget.responseSent(permit, true, false, now)));
        for (int i = 0; i < 5_000; i++) {
            now += MILLIS;
            ConnectionPermit permit = pool.get(i % pool.size());
            budget.requestReceived(permit, now);
            assertTrue(budget.responseSent(permit, true, false, now), "at " + i);
            budget.closeExpired(now);
        }
        assertTrue(closed.isEmpty());
    }

    @Test
    void evictionClosesTheNewestSilentConnectionOfTheAddressThatHasTheMaximum() {
        client("usual", "usual");
        clients("crowd", 20);
        now += 2 * budget.requestGracePeriod();
        fillClients("later");
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("crowd19"), closed);
        assertEquals(1, budget.closedCount(CloseReason.SILENT_FOR_ROOM));
    }

    @Test
    void newConnectionsAreNotEvictedWithinTheirGracePeriod() {
        ConnectionPermit resting = served("usual", "usual");
        fillClients("crowd");
        assertFalse(budget.evictToAdmit(Direction.CLIENT, now), "all are new: the next client waits");
        assertTrue(closed.isEmpty(), "and the client that was just served stays");
        now += budget.requestGracePeriod();
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("crowd"), closed);
        assertTrue(resting.isIdle());
    }

    @Test
    void gracePeriodFollowsTheRequestDelayOfClients() {
        for (int i = 0; i < 200; i++) {
            ConnectionPermit quick = client("q", "q");
            now += 2 * MILLIS;
            budget.requestReceived(quick, now);
            budget.responseSent(quick, true, false, now);
            budget.closed(quick, now);
        }
        assertEquals(60 * MILLIS, budget.requestGracePeriod(), "the minimum");
        for (int i = 0; i < 200; i++) {
            ConnectionPermit slow = client("s", "s");
            now += 100 * MILLIS;
            budget.requestReceived(slow, now);
            budget.responseSent(slow, true, false, now);
            budget.closed(slow, now);
        }
        assertTrue(budget.requestGracePeriod() > 500 * MILLIS, "grace period: " + budget.requestGracePeriod());
    }

    @Test
    void evictionClosesTheLongestIdleConnectionOfTheAddressThatHasTheMaximum() {
        served("usual", "usual");
        for (int i = 0; i < 10; i++) {
            served("greedy", "greedy" + i);
        }
        now += SECONDS;
        for (ConnectionPermit permit = null; budget.admits(Direction.CLIENT, now); ) {
            permit = client("busy", "busy");
            budget.requestReceived(permit, now);
        }
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("greedy0"), closed);
    }

    @Test
    void expiredConnectionsAreClosedOnce() {
        served("a", "rested");
        client("b", "silent");
        ConnectionPermit busy = client("c", "busy");
        budget.requestReceived(busy, now);
        ConnectionPermit last = client("d", "lingering");
        budget.requestReceived(last, now);
        assertFalse(budget.responseSent(last, false, false, now));
        now += 6 * SECONDS;
        budget.closeExpired(now);
        budget.closeExpired(now);
        assertEquals(List.of("rested", "silent", "lingering"), closed);
        assertEquals(1, budget.openConnections(Direction.CLIENT));
        budget.closed(busy, now);
        budget.closed(busy, now);
        assertEquals(0, budget.openConnections(Direction.CLIENT), "closed twice, counted once");
    }

    /** A last response that is still on its way must not be cut off for a new client. */
    @Test
    void lingeringConnectionIsNotEvictedBeforeItsLastResponseCanBeRead() {
        ConnectionPermit last = client("slow", "slow");
        budget.requestReceived(last, now);
        budget.responseSent(last, false, false, now);
        fillClients("crowd");
        now += 400 * MILLIS;
        budget.evictToAdmit(Direction.CLIENT, now);
        assertFalse(closed.contains("slow"));
        fillClients("crowd");
        now += 200 * MILLIS;
        closed.clear();
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("slow"), closed);
    }

    /** A connection on which more requests have arrived stays open, whatever the pressure. */
    @Test
    void connectionWithPipelinedRequestsStaysOpenAfterAResponse() {
        for (int i = 0; i < 500; i++) { // no client sends a second request, and capacity is expensive
            ConnectionPermit once = client("once" + i, "once");
            budget.requestReceived(once, now);
            budget.responseSent(once, true, false, now += MILLIS);
        }
        ConnectionPermit pipelining = client("p", "p");
        budget.requestReceived(pipelining, now);
        budget.requestReceived(pipelining, now);
        assertTrue(budget.responseSent(pipelining, true, false, now), "another request is in flight");
        assertTrue(budget.responseSent(pipelining, true, true, now), "part of another request has arrived");
        budget.requestReceived(pipelining, now);
        assertFalse(budget.responseSent(pipelining, true, false, now), "idle it would be too expensive");
        assertThrows(IllegalStateException.class, () -> budget.requestReceived(pipelining, now));
    }

    /** A connection with many concurrent requests, as of HTTP/2, is busy until its last response. */
    @Test
    void multiplexedConnectionIsIdleAfterItsLastResponse() {
        ConnectionPermit multiplexed = budget.openClient("proxy", 3, () -> closed.add("many"), now);
        for (int i = 0; i < 100; i++) {
            budget.requestReceived(multiplexed, now);
        }
        assertEquals(3, budget.openConnections(Direction.CLIENT), "its units");
        for (int i = 0; i < 100; i++) {
            assertFalse(multiplexed.isIdle());
            assertTrue(budget.responseSent(multiplexed, true, false, now));
        }
        assertTrue(multiplexed.isIdle());
    }

    @Test
    void clientsLeaveTheFloorAndTheRecentDemandOfUpstreams() {
        fillClients("crowd");
        assertEquals(154, budget.openConnections(Direction.CLIENT), "192 less the upstreams' floor of a fifth");
        for (int i = 0; i < 38; i++) {
            assertTrue(budget.evictToAdmit(Direction.UPSTREAM, now));
            upstream("up");
        }
        assertTrue(closed.isEmpty(), "nothing is closed for connections within the floor");
        assertTrue(
                budget.evictToAdmit(Direction.UPSTREAM, now),
                "above it a new client is closed that has sent no request");
        assertEquals(1, budget.closedCount(CloseReason.NEW_FOR_ROOM));
        upstream("up");
        assertTrue(budget.maxClients(now) < 154, "clients may hold less while upstreams need more");
        assertFalse(budget.evictToAdmit(Direction.CLIENT, now));
    }

    @Test
    void upstreamsLeaveTheFloorOfClientsAndEvictNoBusyConnection() {
        int opened = 0;
        while (budget.evictToAdmit(Direction.UPSTREAM, now)) {
            upstream("up");
            opened++;
        }
        assertEquals(125, opened, "192 less the clients' floor of 0.35");
        assertTrue(closed.isEmpty());
        fillClients("c");
        assertEquals(67, budget.openConnections(Direction.CLIENT));
        assertFalse(budget.evictToAdmit(Direction.UPSTREAM, now), "no capacity: the request is not sent");
    }

    @Test
    void idleUpstreamConnectionsAreEvictedForClientsOnlyAboveTheFloor() {
        List<ConnectionPermit> upstreams = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            upstreams.add(upstream("up" + i));
        }
        upstreams.forEach(permit -> budget.becameIdle(permit, now));
        now += 120 * SECONDS; // by then the demand has decayed
        fillClients("c");
        assertEquals(92, budget.openConnections(Direction.CLIENT));
        while (budget.evictToAdmit(Direction.CLIENT, now) && budget.openConnections(Direction.CLIENT) < 154) {
            ConnectionPermit permit = client("c", "c");
            budget.requestReceived(permit, now);
        }
        assertEquals("up0", closed.get(0), "the longest idle one");
        assertEquals(62, budget.closedCount(CloseReason.IDLE_FOR_ROOM));
        assertEquals(38, budget.openConnections(Direction.UPSTREAM), "their floor is kept");
    }

    @Test
    void pressureChangeIsLoggedAtMostOnceInFiveSeconds() {
        assertNull(budget.pressureChange(now));
        fillClients("crowd");
        String line = budget.pressureChange(now);
        assertNotNull(line);
        assertTrue(
                line.startsWith(
                        "event=connection_pressure level=short clients 154 of 154 (0 busy, 0 at rest, 154 unasked)"),
                line);
        now += 3 * SECONDS;
        budget.closeExpired(now);
        assertNull(budget.pressureChange(now), "too soon");
        now += 3 * SECONDS;
        line = budget.pressureChange(now);
        assertTrue(line.startsWith("event=connection_pressure level=ample clients 0 of 154"), line);
        assertTrue(line.endsWith("ended since the last such line: 154 silent for too long"), line);
    }

    @Test
    void ipv6AddressesOfOneNetworkHaveTheSameKey() {
        byte[] one = new byte[16];
        byte[] other = new byte[16];
        other[15] = 1;
        assertEquals(ConnectionBudget.address(one), ConnectionBudget.address(other));
        other[7] = 1;
        assertFalse(ConnectionBudget.address(one).equals(ConnectionBudget.address(other)));
        assertFalse(ConnectionBudget.address(new byte[] {10, 0, 0, 1})
                .equals(ConnectionBudget.address(new byte[] {10, 0, 0, 2})));
    }

    static Stream<Arguments> limitsOutOfRange() {
        return Stream.of(
                limits("impossible most: 1", () -> new ConnectionLimits(1, 0.5, 0.5, 1, 1, 1, 1, 1)),
                limits("impossible upstreamFloor: 0.6", () -> new ConnectionLimits(9, 0.5, 0.6, 1, 1, 1, 1, 1)),
                limits("impossible askMost: 3", () -> new ConnectionLimits(9, 0.5, 0.5, 1, 1, 2, 1, 3)));
    }

    private static Arguments limits(String message, Executable construction) {
        return Arguments.of(message, construction);
    }

    @ParameterizedTest
    @MethodSource("limitsOutOfRange")
    void limitOutOfRangeIsRejectedByName(String message, Executable construction) {
        assertEquals(
                message,
                assertThrows(IllegalArgumentException.class, construction).getMessage());
    }

    @Test
    void addressesWithoutConnectionsAreForgottenBeyondALimit() {
        for (int i = 0; i < 5_000; i++) {
            ConnectionPermit permit = client("address" + i, "x");
            budget.closed(permit, now);
        }
        assertEquals(1_024, budget.rememberedAddresses());
    }
}
