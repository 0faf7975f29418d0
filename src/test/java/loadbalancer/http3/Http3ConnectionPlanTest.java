package loadbalancer.http3;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.http3.Http3ConnectionPlan.Choice;
import loadbalancer.http3.Http3ConnectionPlan.Way;
import org.junit.jupiter.api.Test;

/** Which connection carries a request, the limits, and the backoff to HTTP/1.1. */
class Http3ConnectionPlanTest {
    private static final Http3ConnectionPlan.Limits LIMITS = new Http3ConnectionPlan.Limits(2, 10, 1_000, 8_000);
    private final Http3ConnectionPlan plan = new Http3ConnectionPlan(LIMITS);

    private Http3ConnectionPlan.PlannedConnection up(long allowed) {
        Choice choice = plan.choose(0);
        assertTrue(choice.dial());
        plan.up(choice.link(), allowed, 0);
        plan.released(choice.link(), 0);
        return choice.link();
    }

    @Test
    void isConnectedWhileAnOpenConnectionHasAFreeStream() {
        assertFalse(plan.isConnected());
        Choice first = plan.choose(0);
        assertFalse(plan.isConnected(), "its handshake is under way");
        plan.up(first.link(), 2, 0);
        assertTrue(plan.isConnected());
        plan.choose(0);
        assertFalse(plan.isConnected(), "the peer allows no more");
        plan.released(first.link(), 0);
        plan.allowed(first.link(), 1);
        assertTrue(plan.isConnected());
        plan.goAway(first.link(), 8);
        assertFalse(plan.isConnected());
    }

    @Test
    void requestsShareOneHandshake() {
        Choice first = plan.choose(0);
        Choice second = plan.choose(0);
        assertEquals(Way.WAIT, first.way());
        assertTrue(first.dial());
        assertEquals(Way.WAIT, second.way());
        assertFalse(second.dial());
        assertSame(first.link(), second.link());
    }

    @Test
    void thePeersStreamLimitIsKeptAndAnotherConnectionDialled() {
        Http3ConnectionPlan.PlannedConnection link = up(2);
        plan.allowed(link, 2);
        assertSame(link, plan.choose(0).link());
        assertSame(link, plan.choose(0).link());
        Choice third = plan.choose(0);
        assertTrue(third.dial());
        assertNotSame(link, third.link());
        plan.up(third.link(), 1, 0);
        Choice none = plan.choose(0);
        assertEquals(Way.NONE, none.way());
        assertNull(none.link());
        plan.released(link, 0);
        assertEquals(Way.NONE, plan.choose(0).way()); // until the peer says so (MAX_STREAMS)
        plan.allowed(link, 1);
        assertEquals(Way.STREAM, plan.choose(0).way());
    }

    @Test
    void aDrainingConnectionTakesNoNewStreamsAndDoesNotCount() {
        Http3ConnectionPlan.PlannedConnection link = up(100);
        plan.choose(0);
        assertTrue(plan.goAway(link, 8));
        assertTrue(link.beyond(8));
        assertFalse(link.beyond(4));
        assertTrue(plan.choose(0).dial());
        assertFalse(link.idleSince(Long.MIN_VALUE));
        plan.released(link, 0);
        assertTrue(link.idleSince(Long.MIN_VALUE));
        assertFalse(plan.goAway(link, 12), "an id may only come down");
        assertTrue(plan.goAway(link, 0));
    }

    @Test
    void failedHandshakesBackOffToHttp1AndNoRequestWaitsForATrial() {
        Choice first = plan.choose(0);
        plan.closed(first.link(), 0);
        assertEquals(Way.HTTP1, plan.choose(999).way());
        assertFalse(plan.choose(999).dial());
        Choice trial = plan.choose(1_000);
        assertEquals(Way.HTTP1, trial.way());
        assertTrue(trial.dial());
        assertFalse(plan.choose(1_000).dial(), "one trial at a time");
        plan.closed(trial.link(), 1_500);
        assertFalse(plan.choose(3_499).dial());
        Choice retry = plan.choose(3_500);
        assertTrue(retry.dial());
        plan.up(retry.link(), 100, 3_600);
        assertFalse(plan.isFailing());
        assertEquals(Way.STREAM, plan.choose(3_600).way());
        plan.closed(retry.link(), 4_000);
        assertFalse(plan.isFailing(), "a connection that worked and ended is no failed handshake");
        assertEquals(Way.WAIT, plan.choose(4_000).way());
    }

    /** Against a naive count over random histories: limits kept, connections neither lost nor used when closed. */
    @Test
    void noHistoryExceedsALimit() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Http3ConnectionPlan randomPlan = new Http3ConnectionPlan(LIMITS);
            Map<Http3ConnectionPlan.PlannedConnection, Integer> openStreams = new HashMap<>();
            Map<Http3ConnectionPlan.PlannedConnection, Long> streamsLeft = new HashMap<>();
            List<Http3ConnectionPlan.PlannedConnection> closed = new ArrayList<>();
            for (long now = 0; now < 400; now++) {
                List<Http3ConnectionPlan.PlannedConnection> connections = new ArrayList<>(randomPlan.connections());
                Http3ConnectionPlan.PlannedConnection connection =
                        connections.isEmpty() ? null : connections.get(random.nextInt(connections.size()));
                int event = random.nextInt(10);
                if (event < 5) {
                    Choice choice = randomPlan.choose(now * 100);
                    boolean taken = choice.way() == Way.STREAM || choice.way() == Way.WAIT;
                    assertFalse(closed.contains(choice.link()));
                    if (taken) {
                        assertTrue(openStreams.merge(choice.link(), 1, Integer::sum) <= LIMITS.streams());
                    }
                    if (choice.way() == Way.STREAM) {
                        assertTrue(streamsLeft.merge(choice.link(), -1L, Long::sum) >= 0, "beyond the peer's limit");
                    }
                } else if (connection != null && event < 7 && openStreams.getOrDefault(connection, 0) > 0) {
                    randomPlan.released(connection, now);
                    openStreams.merge(connection, -1, Integer::sum);
                } else if (connection != null && event == 7 && !connection.up() && !connection.beyond(Long.MAX_VALUE)) {
                    randomPlan.up(connection, 12, now);
                    streamsLeft.putIfAbsent(connection, 12L - openStreams.getOrDefault(connection, 0));
                } else if (connection != null && event == 8) {
                    randomPlan.goAway(connection, random.nextInt(5) * 4L);
                } else if (connection != null && event == 9) {
                    randomPlan.closed(connection, now * 100);
                    closed.add(connection);
                }
                assertTrue(randomPlan.connections().stream().noneMatch(closed::contains));
            }
        }
    }
}
