package loadbalancer.upstream.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.Policy.Outcome;
import org.junit.jupiter.api.Test;

class AttemptRulesTest {
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
