package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.discovery.WatchTimeout.EndCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the timeouts against the times of the platform: a watch receives a line every 2 s, and a missed update counts
 * as notified after 6 s. Times are in ms.
 */
class WatchTimeoutTest {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void silentWatchIsReplacedWithTimeLeftToCatchUp(boolean pushed) {
        WatchTimeout timeout = new WatchTimeout(pushed, 0, 1);
        assertTrue(timeout.maxSilenceMillis(true) > 4_000, "one line may be late and another one lost");
        assertTrue(timeout.maxSilenceMillis(true) <= 5_000, "the remainder of the 6 s is for the next watch");
        assertTrue(
                timeout.maxSilenceMillis(false) <= 5_000,
                "a service that accepts connections but does not respond counts as silent");
        timeout.watchEnded(5_000, 500, EndCause.SILENCE);
        assertEquals(0, timeout.restartDelayMillis(5_000, true), "without delay");
        assertEquals(0, timeout.takeNotifiedForMillis(6_400), "the update was received before it counts as notified");
        timeout.watchEnded(5_000, 500, EndCause.SILENCE);
        assertEquals(700, timeout.takeNotifiedForMillis(7_200), "the update counts as notified from 6.5 s on");
        assertEquals(0, timeout.takeNotifiedForMillis(7_200), "the time is returned only once");
    }

    /** A shared service handles one call of each balancer within some seconds, but rejects many simultaneous calls. */
    @ParameterizedTest
    @CsvSource({"0, 0", "50, 500", "99, 990"})
    void reconnectsToAServiceSharedByAllAreSpreadByRank(int rank, long delayMillis) {
        assertEquals(delayMillis, new WatchTimeout(false, rank, 100).restartDelayMillis(0, true));
    }

    @Test
    void lastBalancerReconnectsBeforeAMissedUpdateCountsAsNotified() {
        long latestMillis = new WatchTimeout(false, 99, 100).maxSilenceMillis(true) + 990;
        assertTrue(latestMillis < 6_000, "reconnects after ms: " + latestMillis);
    }

    @Test
    void reconnectToAnAgentIsImmediateAtAnyRank() {
        assertEquals(
                0,
                new WatchTimeout(true, 99, 100).restartDelayMillis(0, true),
                "each balancer has an agent of its own");
    }

    @Test
    void missedUpdateOfAnAgentCountsAsNotifiedSinceTheFirstWatchEnded() {
        WatchTimeout timeout = new WatchTimeout(true, 99, 100);
        timeout.watchEnded(1_000, 900, EndCause.DISCONNECT);
        timeout.watchEnded(1_400, 900, EndCause.DISCONNECT); // updates are missed since the first watch ended
        assertEquals(500, timeout.takeNotifiedForMillis(1_500));
        WatchTimeout polled = new WatchTimeout(false, 0, 1);
        polled.watchEnded(1_000, 900, EndCause.DISCONNECT);
        assertEquals(0, polled.takeNotifiedForMillis(1_500), "a polled list counts as notified with the response");
    }

    @Test
    void unansweredWatchOfAnAgentStaysOpenForALimitedTime() {
        WatchTimeout timeout = new WatchTimeout(true, 99, 100);
        assertTrue(
                timeout.maxSilenceMillis(false) < 1_000,
                "the list of an agent that is available again counts as notified immediately");
        assertTrue(timeout.keepsUnansweredWatch(700));
        assertFalse(timeout.keepsUnansweredWatch(5_000));
        assertFalse(new WatchTimeout(false, 0, 1).keepsUnansweredWatch(0), "each call adds load to a shared service");
    }

    @Test
    void failureIsReportedUnlessAnAnsweredWatchFellSilentOrListsArePushed() {
        WatchTimeout polled = new WatchTimeout(false, 0, 1);
        assertEquals(
                WatchTimeout.REPORT_FAILURE,
                polled.nextWatchDelayMillis(0, true, EndCause.DISCONNECT),
                "the watch was disconnected");
        assertEquals(
                WatchTimeout.REPORT_FAILURE,
                polled.nextWatchDelayMillis(0, false, EndCause.SILENCE),
                "the watch received no list");
        assertEquals(0, polled.nextWatchDelayMillis(0, true, EndCause.SILENCE));
        assertTrue(
                new WatchTimeout(true, 0, 1).nextWatchDelayMillis(0, false, EndCause.DISCONNECT) > 0,
                "the policy does not poll an agent");
    }

    @Test
    void repeatedlyBrokenWatchIsReplacedWithBackoff() {
        WatchTimeout timeout = new WatchTimeout(true, 99, 100);
        assertEquals(0, timeout.restartDelayMillis(10_000, true));
        assertTrue(timeout.restartDelayMillis(10_001, true) > 0);
        assertTrue(timeout.restartDelayMillis(10_600, false) > 0, "the watch received no list");
        assertEquals(0, timeout.restartDelayMillis(11_000, true));
    }
}
