package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what the budget does with a connection whose response has not been written to the socket completely. */
class UnsentResponseTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Guards against a close within a response that has been passed on and not been written to the socket. */
    @Test
    void connectionIsNeitherIdleNorLingeringUntilItsResponseIsSent() {
        for (boolean keepAlive : new boolean[] {true, false}) {
            long nowNanos = 0;
            List<String> closed = new ArrayList<>();
            ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(8), nowNanos);
            ConnectionPermit slow = budget.openClient("a", 1, () -> closed.add("slow"), nowNanos);
            budget.requestReceived(slow, nowNanos);
            assertEquals(keepAlive, budget.completeResponse(slow, keepAlive, false, nowNanos));
            assertEquals(!keepAlive, slow.isClosing(), "no request is accepted after the last response");
            assertFalse(slow.isIdle());
            for (int second = 1; second <= 60; second++) {
                nowNanos = second * 1_000 * NANOS_PER_MILLI;
                budget.closeExpired(nowNanos);
                while (budget.evictToAdmit(Direction.CLIENT, nowNanos)) {
                    budget.requestReceived(budget.openClient("b", 1, () -> {}, nowNanos), nowNanos);
                }
            }
            assertEquals(List.of(), closed);
            budget.responseSent(slow, nowNanos);
            assertEquals(keepAlive, slow.isIdle());
            budget.closeExpired(nowNanos + 250 * NANOS_PER_MILLI);
            assertEquals(List.of(), closed, "the client has time to read the end");
            budget.closeExpired(nowNanos + 5_001 * NANOS_PER_MILLI);
            assertEquals(List.of("slow"), closed);
        }
    }

    @Test
    void requestThatArrivesBeforeTheResponseIsSentKeepsTheConnectionBusy() {
        ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(8), 0);
        ConnectionPermit permit = budget.openClient("a", 1, () -> {}, 0);
        budget.requestReceived(permit, 0);
        assertTrue(budget.completeResponse(permit, true, false, 0));
        budget.requestReceived(permit, 1);
        budget.responseSent(permit, 2);
        assertFalse(permit.isIdle());
        assertTrue(budget.completeResponse(permit, true, false, 3));
        assertFalse(permit.isIdle());
        budget.partialRequestReceived(permit, 4);
        budget.responseSent(permit, 5);
        assertFalse(permit.isIdle(), "part of another request has arrived");
    }

    /** Guards against a permit that is held for ever: what was pipelined behind the last request is dropped. */
    @Test
    void connectionLingersAfterItsLastResponseAlthoughRequestsWerePipelinedBehindIt() {
        List<String> closed = new ArrayList<>();
        ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(8), 0);
        ConnectionPermit permit = budget.openClient("a", 1, () -> closed.add("a"), 0);
        budget.requestReceived(permit, 0);
        budget.requestReceived(permit, 0);
        assertFalse(budget.completeResponse(permit, false, false, 0));
        budget.responseSent(permit, 0);
        budget.closeExpired(1_001 * NANOS_PER_MILLI);
        assertEquals(List.of("a"), closed);
    }
}
