package junctionhead.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junctionhead.Policy.Outcome;
import junctionhead.core.DrainGrace;
import org.junit.jupiter.api.Test;

class AttemptRulesTest {
    @Test
    void whatWaitedForItsConnectionIsLookedAtBeforeItsFirstByte() {
        assertNull(AttemptRules.unbegun(99, 100, DrainGrace.NEVER, false));
        assertEquals(Outcome.NOT_SENT, AttemptRules.unbegun(100, 100, DrainGrace.NEVER, false));
        assertNull(AttemptRules.unbegun(99, Long.MAX_VALUE, 100, false), "within its grace");
        assertEquals(Outcome.CONNECT_FAILED, AttemptRules.unbegun(100, Long.MAX_VALUE, 100, false));
        assertEquals(Outcome.CONNECT_FAILED, AttemptRules.unbegun(0, 100, DrainGrace.NEVER, true));
        assertEquals(Outcome.NOT_SENT, AttemptRules.unbegun(100, 100, 100, true), "nor may another take it");
    }

    @Test
    void onlyWhatWasWrittenWholeMayHaveRunAndOnlyThenCanItHaveBeenServed() {
        assertTrue(AttemptRules.broken(false).neverRan());
        assertFalse(AttemptRules.broken(true).neverRan());
        assertTrue(AttemptRules.isForged(Outcome.OK, false));
        assertFalse(AttemptRules.isForged(Outcome.OK, true));
        assertFalse(AttemptRules.isForged(Outcome.FULL, false), "an early refusal is one");
    }

    @Test
    void whatAnUpstreamEndsAtRestIsGoneOverAndWhatItMayHaveSeenIsNot() {
        assertTrue(AttemptRules.goesOver(true, false));
        assertFalse(AttemptRules.goesOver(true, true), "it may have some of it");
        assertFalse(AttemptRules.goesOver(false, false), "it has never stood: that upstream does not answer");
    }
}
