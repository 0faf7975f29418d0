package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Limits;
import loadbalancer.policy.Policy.Scope;
import org.junit.jupiter.api.Test;

class HedgingPolicyTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;
    /** Objective 600 ms less two typical latencies of 150 ms. */
    private static final long SAFE_HEDGE_DELAY_MICROS = 300_000;

    private final RetryBudget budget = new RetryBudget();
    private final ArrivalRate arrivals = new ArrivalRate();
    private final HedgingPolicy hedging = new HedgingPolicy(budget, arrivals);

    private static RequestState requestWithOneAttempt(Policy.RequestClass requestClass) {
        RequestState request = PolicyFixtures.request(requestClass);
        PolicyFixtures.send(request, PolicyFixtures.server("s"), NOW_MICROS);
        return request;
    }

    private boolean isDue(RequestState request, long elapsedMicros) {
        return hedging.isDue(request, false, NOW_MICROS + elapsedMicros);
    }

    @Test
    void aSafeRequestIsHedgedWhileASecondAttemptCanStillMeetTheObjective() {
        RequestState request = requestWithOneAttempt(PolicyFixtures.SAFE);
        assertFalse(isDue(request, SAFE_HEDGE_DELAY_MICROS - 1));
        assertTrue(isDue(request, SAFE_HEDGE_DELAY_MICROS));
        assertFalse(isDue(request, 600_000), "its objective has passed");
    }

    @Test
    void aKeyedRequestIsHedgedAfterItsTypicalLatency() {
        RequestState request = requestWithOneAttempt(PolicyFixtures.keyed(Scope.ALL));
        assertFalse(isDue(request, 149_999));
        assertTrue(isDue(request, 150_000));
    }

    @Test
    void theHedgeDelayGrowsWithTheWork() {
        RequestState request = requestWithOneAttempt(PolicyFixtures.keyed(Scope.ALL));
        request.relativeWork = 2;
        assertFalse(isDue(request, 299_999));
        assertTrue(isDue(request, 300_000));
    }

    @Test
    void requestsThatMayNotBeRepeatedAreNotHedged() {
        assertFalse(isDue(requestWithOneAttempt(PolicyFixtures.UNSAFE), 500_000));
        RequestState streaming = requestWithOneAttempt(PolicyFixtures.SAFE);
        streaming.streaming = true;
        assertFalse(isDue(streaming, SAFE_HEDGE_DELAY_MICROS));
        RequestState closed = requestWithOneAttempt(PolicyFixtures.SAFE);
        closed.closed = true;
        assertFalse(isDue(closed, SAFE_HEDGE_DELAY_MICROS));
    }

    @Test
    void theConfiguredLimitsHold() {
        for (Limits limits :
                new Limits[] {new Limits(5, false, true, true, 0, 0), new Limits(1, true, true, true, 0, 0)}) {
            RequestState request = PolicyFixtures.request("r", PolicyFixtures.SAFE, limits, 600_000, false);
            PolicyFixtures.send(request, PolicyFixtures.server("s"), NOW_MICROS);
            assertFalse(isDue(request, SAFE_HEDGE_DELAY_MICROS));
        }
    }

    @Test
    void aRequestWithTwoAttemptsInFlightGetsNoThird() {
        RequestState request = requestWithOneAttempt(PolicyFixtures.SAFE);
        PolicyFixtures.send(request, PolicyFixtures.server("t"), NOW_MICROS);
        assertFalse(isDue(request, SAFE_HEDGE_DELAY_MICROS));
    }

    @Test
    void whereServersLackCapacityOnlyKeyedRequestsAreHedged() {
        for (int i = 0; i < 100; i++) {
            arrivals.record(NOW_MICROS, false);
        }
        hedging.recordRejectedAttempt();
        hedging.recordRejectedAttempt();
        assertFalse(hedging.serversLackCapacity());
        hedging.recordRejectedAttempt();
        assertTrue(hedging.serversLackCapacity());
        assertFalse(
                hedging.isDue(requestWithOneAttempt(PolicyFixtures.SAFE), true, NOW_MICROS + SAFE_HEDGE_DELAY_MICROS));
        assertTrue(hedging.isDue(
                requestWithOneAttempt(PolicyFixtures.keyed(Scope.ALL)), true, NOW_MICROS + SAFE_HEDGE_DELAY_MICROS));
    }

    @Test
    void hedgingLeavesFourRetriesOfTheBudget() {
        RequestState request = requestWithOneAttempt(PolicyFixtures.SAFE);
        for (int i = 0; i < 6; i++) {
            assertTrue(isDue(request, SAFE_HEDGE_DELAY_MICROS));
            budget.consume();
        }
        assertTrue(isDue(request, SAFE_HEDGE_DELAY_MICROS));
        budget.consume();
        assertFalse(isDue(request, SAFE_HEDGE_DELAY_MICROS));
        assertTrue(budget.allowsRetry());
    }
}
