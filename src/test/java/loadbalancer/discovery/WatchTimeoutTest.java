package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.discovery.WatchTimeout.EndCause;
import org.junit.jupiter.api.Test;

/** The platform's clock for silence: a line every 2 s, and 6 s until what is missed counts as told. */
class WatchTimeoutTest {
    @Test
    void aSilentWatchIsBegunAnewWithTimeLeftToCatchUp() {
        for (boolean pushed : new boolean[] {true, false}) {
            WatchTimeout silence = new WatchTimeout(pushed, 0, 1);
            assertTrue(silence.maxSilence(true) > 4_000, "one line may be late, and one be lost");
            assertTrue(silence.maxSilence(true) <= 5_000, "the rest of the 6 s is for the call");
            assertTrue(silence.maxSilence(false) <= 5_000, "one that accepts and says nothing is silent as well");
            silence.watchEnded(5_000, 500, EndCause.SILENCE);
            assertEquals(0, silence.restartDelay(5_000, true), "at once");
            assertEquals(0, silence.takeNotifiedFor(6_400), "learned before it counts as told");
            silence.watchEnded(5_000, 500, EndCause.SILENCE);
            assertEquals(700, silence.takeNotifiedFor(7_200), "it counted as told from 6.5 s on");
            assertEquals(0, silence.takeNotifiedFor(7_200), "said once");
        }
    }

    /** One discovery takes one call from each in some seconds: all at once, most would be turned away. */
    @Test
    void balancersTakeTurnsAtADiscoveryThatAllAsk() {
        assertEquals(0, new WatchTimeout(false, 0, 100).restartDelay(0, true));
        assertEquals(500, new WatchTimeout(false, 50, 100).restartDelay(0, true));
        assertEquals(990, new WatchTimeout(false, 99, 100).restartDelay(0, true));
        long latest = new WatchTimeout(false, 99, 100).maxSilence(true) + 990;
        assertTrue(latest < 6_000, "the last one still asks before the news counts as told");
        assertEquals(0, new WatchTimeout(true, 99, 100).restartDelay(0, true), "each has an agent of its own");
    }

    @Test
    void anAgentTellsWhetherAWatchIsOpenOrNot() {
        WatchTimeout silence = new WatchTimeout(true, 99, 100);
        silence.watchEnded(1_000, 900, EndCause.DISCONNECT);
        silence.watchEnded(1_400, 900, EndCause.DISCONNECT); // the next one as well: blind since the first
        assertEquals(500, silence.takeNotifiedFor(1_500));
        WatchTimeout asked = new WatchTimeout(false, 0, 1);
        asked.watchEnded(1_000, 900, EndCause.DISCONNECT);
        assertEquals(0, asked.takeNotifiedFor(1_500), "what is asked for counts as told with the answer");
    }

    @Test
    void anAgentThatDoesNotAnswerIsAskedBesideAndNotWithoutEnd() {
        WatchTimeout silence = new WatchTimeout(true, 99, 100);
        assertTrue(silence.maxSilence(false) < 1_000, "what it has at its return counts at once");
        assertTrue(silence.keepsUnansweredWatch(700));
        assertFalse(silence.keepsUnansweredWatch(5_000));
        assertFalse(new WatchTimeout(false, 0, 1).keepsUnansweredWatch(0), "each call costs a discovery that is asked");
    }

    @Test
    void whoeverAskedIsToldOfAFailureAndASilentWatchIsNone() {
        WatchTimeout asked = new WatchTimeout(false, 0, 1);
        assertEquals(WatchTimeout.REPORT_FAILURE, asked.nextWatchDelay(0, true, EndCause.DISCONNECT), "it broke");
        assertEquals(
                WatchTimeout.REPORT_FAILURE, asked.nextWatchDelay(0, false, EndCause.SILENCE), "it never answered");
        assertEquals(0, asked.nextWatchDelay(0, true, EndCause.SILENCE));
        assertTrue(
                new WatchTimeout(true, 0, 1).nextWatchDelay(0, false, EndCause.DISCONNECT) > 0,
                "nobody asks an agent but this");
    }

    @Test
    void watchesThatBreakAgainAndAgainAreNotBegunInATightLoop() {
        WatchTimeout silence = new WatchTimeout(true, 99, 100);
        assertEquals(0, silence.restartDelay(10_000, true));
        assertTrue(silence.restartDelay(10_001, true) > 0);
        assertTrue(silence.restartDelay(10_600, false) > 0, "it never answered");
        assertEquals(0, silence.restartDelay(11_000, true));
    }
}
