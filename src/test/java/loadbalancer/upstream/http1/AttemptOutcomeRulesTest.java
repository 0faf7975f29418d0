package loadbalancer.upstream.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

/** What the end of an attempt over HTTP/1.1 proves. */
class AttemptOutcomeRulesTest {
    @Test
    void onlyARequestThatWasSentCompletelyMayHaveRunOrBeenServed() {
        assertTrue(AttemptOutcomeRules.onConnectionLost(false).neverRan());
        assertFalse(AttemptOutcomeRules.onConnectionLost(true).neverRan());
        assertTrue(AttemptOutcomeRules.isForged(Outcome.OK, false));
        assertFalse(AttemptOutcomeRules.isForged(Outcome.OK, true));
        assertFalse(AttemptOutcomeRules.isForged(Outcome.FULL, false), "an early refusal is a response");
    }

    @Test
    void anAttemptMovesFromAClosedIdleConnectionUnlessItHasStarted() {
        assertTrue(AttemptOutcomeRules.mayMoveToAnotherConnection(true, false));
        assertFalse(AttemptOutcomeRules.mayMoveToAnotherConnection(true, true), "the upstream may have some of it");
        assertFalse(
                AttemptOutcomeRules.mayMoveToAnotherConnection(false, false),
                "it never opened: that upstream does not answer");
    }
}
