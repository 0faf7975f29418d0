package loadbalancer.upstream.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

class AttemptOutcomeRulesTest {
    @Test
    void onlyWhatWasWrittenWholeMayHaveRunAndOnlyThenCanItHaveBeenServed() {
        assertTrue(AttemptOutcomeRules.broken(false).neverRan());
        assertFalse(AttemptOutcomeRules.broken(true).neverRan());
        assertTrue(AttemptOutcomeRules.isForged(Outcome.OK, false));
        assertFalse(AttemptOutcomeRules.isForged(Outcome.OK, true));
        assertFalse(AttemptOutcomeRules.isForged(Outcome.FULL, false), "an early refusal is one");
    }

    @Test
    void whatAnUpstreamEndsAtRestIsGoneOverAndWhatItMayHaveSeenIsNot() {
        assertTrue(AttemptOutcomeRules.goesOver(true, false));
        assertFalse(AttemptOutcomeRules.goesOver(true, true), "it may have some of it");
        assertFalse(AttemptOutcomeRules.goesOver(false, false), "it has never stood: that upstream does not answer");
    }
}
