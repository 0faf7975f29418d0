package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

class SendGuardTest {
    private static final long NEVER = Long.MAX_VALUE;

    private static SendPermit decide(
            long now, long startDeadlineMicros, long drainDeadlineMicros, boolean addressChanged) {
        return SendGuard.decide(now, NEVER, startDeadlineMicros, drainDeadlineMicros, addressChanged, NEVER);
    }

    @Test
    void anAttemptIsCheckedRightBeforeItsFirstByte() {
        assertTrue(decide(99, 100, DrainGrace.NEVER, false).granted());
        assertEquals(Outcome.NOT_SENT, decide(100, 100, DrainGrace.NEVER, false).refusal());
        assertTrue(decide(99, NEVER, 100, false).granted(), "within the drain grace");
        assertEquals(Outcome.CONNECT_FAILED, decide(100, NEVER, 100, false).refusal());
        assertEquals(
                Outcome.CONNECT_FAILED, decide(0, 100, DrainGrace.NEVER, true).refusal());
        assertEquals(
                Outcome.NOT_SENT,
                decide(100, 100, 100, true).refusal(),
                "no other upstream may run the request either");
    }

    @Test
    void nothingBeginsForAClientThatHasClosed() {
        SendPermit permit = SendGuard.decide(0, SendGuard.NOT_AWAITED, NEVER, NEVER, false, NEVER);
        assertFalse(permit.granted());
        assertEquals(Outcome.NOT_SENT, permit.refusal());
        assertTrue(permit.refusal().neverRan());
    }

    @Test
    void aPermitExpiresAtTheEarliestOfItsLimits() {
        assertEquals(10, SendGuard.decide(0, 10, 20, 30, false, 40).expiresAtMicros());
        assertEquals(10, SendGuard.decide(0, 20, 10, 30, false, 40).expiresAtMicros());
        assertEquals(10, SendGuard.decide(0, 20, 30, 10, false, 40).expiresAtMicros());
        assertEquals(10, SendGuard.decide(0, 20, 30, 40, false, 10).expiresAtMicros());
    }

    @Test
    void aPermitExpiresBeforeTheGraceOfACloseRightAfterTheRead() {
        long readAtMicros = 1_000_000;
        assertTrue(SendGuard.awaitedUntilMicros(readAtMicros) < readAtMicros + SendGuard.CLOSE_GRACE_MICROS);
        assertTrue(SendGuard.awaitedUntilMicros(readAtMicros) > readAtMicros);
    }
}
