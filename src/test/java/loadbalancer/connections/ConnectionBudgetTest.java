package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The budget's decisions, with time as an argument. */
class ConnectionBudgetTest {
    private static final long MS = 1_000_000;
    private static final long S = 1_000 * MS;

    private long now = 5 * S;
    private final List<String> ended = new ArrayList<>();
    private ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(256), now); // 192 in all

    private ConnectionPermit client(String address, String name) {
        return budget.openClient(address, 1, () -> ended.add(name), now);
    }

    private List<ConnectionPermit> clients(String address, int count) {
        List<ConnectionPermit> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(client(address, address + i));
        }
        return all;
    }

    private ConnectionPermit served(String address, String name) {
        ConnectionPermit lease = client(address, name);
        budget.requestReceived(lease, now);
        assertTrue(budget.responseSent(lease, true, false, now));
        return lease;
    }

    private ConnectionPermit upstream(String name) {
        return budget.openUpstream(() -> ended.add(name), now);
    }

    private void fillClients(String address) {
        while (budget.admits(Direction.CLIENT, now)) {
            client(address, address);
        }
    }

    @Test
    void whileRoomIsAmpleAllMayStay() {
        for (int i = 0; i < 30; i++) {
            served("a", "a" + i);
        }
        assertEquals(5 * S, budget.maxIdleTime(now), "none of its time to rest is taken away");
        assertEquals(Pressure.AMPLE, budget.pressure(now));
    }

    /** Clients that ask once and keep their connection for 2 s, far beyond what the limit can turn over. */
    @Test
    void whoAsksOnceIsEndedAtItsAnswerAndWhoAsksAgainStays() {
        List<ConnectionPermit> regular = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            regular.add(served("regular" + i, "regular"));
        }
        for (int round = 0; round < 3; round++) {
            now += 100 * MS;
            regular.forEach(l -> budget.requestReceived(l, now));
            regular.forEach(l -> assertTrue(budget.responseSent(l, true, false, now)));
        }
        int kept = 0;
        int ends = 0;
        for (int i = 0; i < 2_000; i++) {
            now += 5 * MS;
            if (i % 5 == 0) {
                ConnectionPermit again = regular.get(i / 5 % regular.size());
                budget.requestReceived(again, now);
                assertTrue(budget.responseSent(again, true, false, now), "a regular one, at " + i);
            }
            ConnectionPermit once = client("once" + i, "once");
            now += MS;
            budget.requestReceived(once, now);
            if (budget.responseSent(once, true, false, now)) {
                kept++;
            } else {
                ends++;
                budget.closed(once, now);
            }
            budget.closeExpired(now);
            assertTrue(
                    budget.openConnections(Direction.CLIENT) < budget.maxClients(now) * 3 / 4, "room is left at " + i);
        }
        assertTrue(ends > 200, "ended " + ends + ", kept " + kept);
        assertFalse(ended.contains("regular"));
    }

    @Test
    void theSameClientsStayOnceTheCrowdHasGone() {
        whoAsksOnceIsEndedAtItsAnswerAndWhoAsksAgainStays();
        now += 120 * S;
        budget.closeExpired(now);
        assertEquals(5 * S, budget.maxIdleTime(now));
        ConnectionPermit back = client("once1", "back");
        budget.requestReceived(back, now);
        assertTrue(budget.responseSent(back, true, false, now));
    }

    /** From one address, as behind a front, all that is asked again stays. */
    @Test
    void everythingFromOneAddressIsNotPunished() {
        List<ConnectionPermit> pool = new ArrayList<>();
        for (int i = 0; i < 60; i++) { // a front opens another one where all are busy
            pool.add(client("front", "pool"));
            budget.requestReceived(pool.get(i), now);
        }
        pool.forEach(l -> assertTrue(budget.responseSent(l, true, false, now)));
        for (int i = 0; i < 5_000; i++) {
            now += MS;
            ConnectionPermit lease = pool.get(i % pool.size());
            budget.requestReceived(lease, now);
            assertTrue(budget.responseSent(lease, true, false, now), "at " + i);
            budget.closeExpired(now);
        }
        assertTrue(ended.isEmpty());
    }

    @Test
    void silentOnesOfTheAddressThatHoldsMostGoFirstTheNewestFirst() {
        client("usual", "usual");
        clients("crowd", 20);
        now += 2 * budget.requestGracePeriod();
        fillClients("later");
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("crowd19"), ended);
        assertEquals(1, budget.closedCount(CloseReason.SILENT_FOR_ROOM));
    }

    @Test
    void newcomersHaveAFairTimeAndOthersWaitForThat() {
        ConnectionPermit resting = served("usual", "usual");
        fillClients("crowd");
        assertFalse(budget.evictToAdmit(Direction.CLIENT, now), "all are new: the next one waits");
        assertTrue(ended.isEmpty(), "and the one that was just served stays");
        now += budget.requestGracePeriod();
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("crowd"), ended);
        assertTrue(resting.isIdle());
    }

    @Test
    void theFairTimeFollowsWhatClientsTake() {
        for (int i = 0; i < 200; i++) {
            ConnectionPermit quick = client("q", "q");
            now += 2 * MS;
            budget.requestReceived(quick, now);
            budget.responseSent(quick, true, false, now);
            budget.closed(quick, now);
        }
        assertEquals(60 * MS, budget.requestGracePeriod(), "the least");
        for (int i = 0; i < 200; i++) {
            ConnectionPermit slow = client("s", "s");
            now += 100 * MS;
            budget.requestReceived(slow, now);
            budget.responseSent(slow, true, false, now);
            budget.closed(slow, now);
        }
        assertTrue(budget.requestGracePeriod() > 500 * MS, "fair: " + budget.requestGracePeriod());
    }

    @Test
    void whatRestsLongestOfTheAddressWithMostAtRestGoesNext() {
        served("usual", "usual");
        for (int i = 0; i < 10; i++) {
            served("greedy", "greedy" + i);
        }
        now += S;
        for (ConnectionPermit lease = null; budget.admits(Direction.CLIENT, now); ) {
            lease = client("busy", "busy");
            budget.requestReceived(lease, now);
        }
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("greedy0"), ended);
    }

    @Test
    void whoseTimeIsOverIsEndedOnce() {
        served("a", "rested");
        client("b", "silent");
        ConnectionPermit busy = client("c", "busy");
        budget.requestReceived(busy, now);
        ConnectionPermit last = client("d", "lingering");
        budget.requestReceived(last, now);
        assertFalse(budget.responseSent(last, false, false, now));
        now += 6 * S;
        budget.closeExpired(now);
        budget.closeExpired(now);
        assertEquals(List.of("rested", "silent", "lingering"), ended);
        assertEquals(1, budget.openConnections(Direction.CLIENT));
        budget.closed(busy, now);
        budget.closed(busy, now);
        assertEquals(0, budget.openConnections(Direction.CLIENT), "told twice, counted once");
    }

    /** A last answer that is still on its way must not be cut off for a newcomer's sake. */
    @Test
    void aLastAnswerHasTimeToBeReadBeforeItsConnectionGoesForRoom() {
        ConnectionPermit last = client("slow", "slow");
        budget.requestReceived(last, now);
        budget.responseSent(last, false, false, now);
        fillClients("crowd");
        now += 400 * MS;
        budget.evictToAdmit(Direction.CLIENT, now);
        assertFalse(ended.contains("slow"));
        fillClients("crowd");
        now += 200 * MS;
        ended.clear();
        assertTrue(budget.evictToAdmit(Direction.CLIENT, now));
        assertEquals(List.of("slow"), ended);
    }

    /** A connection with more of its client's on it goes on, whatever the pressure. */
    @Test
    void whatHasComeInIsNotLostAtTheEndOfAnAnswer() {
        for (int i = 0; i < 500; i++) { // nobody asks twice, and room is dear
            ConnectionPermit once = client("once" + i, "once");
            budget.requestReceived(once, now);
            budget.responseSent(once, true, false, now += MS);
        }
        ConnectionPermit pipelining = client("p", "p");
        budget.requestReceived(pipelining, now);
        budget.requestReceived(pipelining, now);
        assertTrue(budget.responseSent(pipelining, true, false, now), "one more has been taken");
        assertTrue(budget.responseSent(pipelining, true, true, now), "part of another has come in");
        budget.requestReceived(pipelining, now);
        assertFalse(budget.responseSent(pipelining, true, false, now), "at rest it would be too dear");
        assertThrows(IllegalStateException.class, () -> budget.requestReceived(pipelining, now));
    }

    /** A connection with many requests at once, as of HTTP/2, is busy until its last answer. */
    @Test
    void aConnectionWithManyRequestsRestsAfterTheLast() {
        ConnectionPermit many = budget.openClient("proxy", 3, () -> ended.add("many"), now);
        for (int i = 0; i < 100; i++) {
            budget.requestReceived(many, now);
        }
        assertEquals(3, budget.openConnections(Direction.CLIENT), "its units");
        for (int i = 0; i < 100; i++) {
            assertFalse(many.isIdle());
            assertTrue(budget.responseSent(many, true, false, now));
        }
        assertTrue(many.isIdle());
    }

    @Test
    void clientsLeaveUpstreamsTheirFloorAndWhatTheyLatelyNeeded() {
        fillClients("crowd");
        assertEquals(154, budget.openConnections(Direction.CLIENT), "192 less the floor of a fifth");
        for (int i = 0; i < 38; i++) {
            assertTrue(budget.evictToAdmit(Direction.UPSTREAM, now));
            upstream("up");
        }
        assertTrue(ended.isEmpty(), "the floor is there for nothing");
        assertTrue(budget.evictToAdmit(Direction.UPSTREAM, now), "beyond it a newcomer goes that has not asked");
        assertEquals(1, budget.closedCount(CloseReason.NEW_FOR_ROOM));
        upstream("up");
        assertTrue(budget.maxClients(now) < 154, "clients have less while upstreams need more");
        assertFalse(budget.evictToAdmit(Direction.CLIENT, now));
    }

    @Test
    void upstreamsLeaveClientsTheirFloorAndNothingBusyIsEnded() {
        int opened = 0;
        while (budget.evictToAdmit(Direction.UPSTREAM, now)) {
            upstream("up");
            opened++;
        }
        assertEquals(125, opened, "192 less the floor of 0.35");
        assertTrue(ended.isEmpty());
        fillClients("c");
        assertEquals(67, budget.openConnections(Direction.CLIENT));
        assertFalse(budget.evictToAdmit(Direction.UPSTREAM, now), "no room: the request is not sent");
    }

    @Test
    void idleUpstreamsGoForClientsOnlyBeyondWhatIsNeeded() {
        List<ConnectionPermit> ups = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ups.add(upstream("up" + i));
        }
        ups.forEach(l -> budget.becameIdle(l, now));
        now += 120 * S; // what was needed then counts no more
        fillClients("c");
        assertEquals(92, budget.openConnections(Direction.CLIENT));
        while (budget.evictToAdmit(Direction.CLIENT, now) && budget.openConnections(Direction.CLIENT) < 154) {
            ConnectionPermit lease = client("c", "c");
            budget.requestReceived(lease, now);
        }
        assertEquals("up0", ended.get(0), "the one that has been idle for longest");
        assertEquals(62, budget.closedCount(CloseReason.IDLE_FOR_ROOM));
        assertEquals(38, budget.openConnections(Direction.UPSTREAM), "their floor stays");
    }

    @Test
    void newsComesAtAChangeOfPressureAndNotOften() {
        assertNull(budget.pressureChange(now));
        fillClients("crowd");
        String line = budget.pressureChange(now);
        assertNotNull(line);
        assertTrue(line.startsWith("connections short: clients 154 of 154 (0 busy, 0 at rest, 154 unasked)"), line);
        now += 3 * S;
        budget.closeExpired(now);
        assertNull(budget.pressureChange(now), "too soon");
        now += 3 * S;
        line = budget.pressureChange(now);
        assertTrue(line.startsWith("connections ample: clients 0 of 154"), line);
        assertTrue(line.endsWith("ended since the last such line: 154 silent for too long"), line);
    }

    @Test
    void addressesOfOneNetworkCountAsOne() {
        byte[] one = new byte[16];
        byte[] other = new byte[16];
        other[15] = 1;
        assertEquals(ConnectionBudget.address(one), ConnectionBudget.address(other));
        other[7] = 1;
        assertFalse(ConnectionBudget.address(one).equals(ConnectionBudget.address(other)));
        assertFalse(ConnectionBudget.address(new byte[] {10, 0, 0, 1})
                .equals(ConnectionBudget.address(new byte[] {10, 0, 0, 2})));
    }

    @Test
    void impossibleLimitsAreNamed() {
        assertEquals(
                "impossible most: 1",
                assertThrows(IllegalArgumentException.class, () -> new ConnectionLimits(1, 0.5, 0.5, 1, 1, 1, 1, 1))
                        .getMessage());
        assertEquals(
                "impossible upstreamFloor: 0.6",
                assertThrows(IllegalArgumentException.class, () -> new ConnectionLimits(9, 0.5, 0.6, 1, 1, 1, 1, 1))
                        .getMessage());
        assertEquals(
                "impossible askMost: 3",
                assertThrows(IllegalArgumentException.class, () -> new ConnectionLimits(9, 0.5, 0.5, 1, 1, 2, 1, 3))
                        .getMessage());
    }

    @Test
    void addressesThatHoldNothingAreForgottenAtLast() {
        for (int i = 0; i < 5_000; i++) {
            ConnectionPermit lease = client("address" + i, "x");
            budget.closed(lease, now);
        }
        assertEquals(1_024, budget.rememberedAddresses());
    }
}
