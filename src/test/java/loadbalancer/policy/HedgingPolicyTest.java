package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Limits;
import loadbalancer.policy.Policy.Scope;
import org.junit.jupiter.api.Test;

class HedgingPolicyTest {
    private static final long NOW = PolicyFixtures.NOW;
    /** Objective 600 ms less two typical latencies of 150 ms. */
    private static final long SAFE_PATIENCE = 300_000;

    private final RetryBudget budget = new RetryBudget();
    private final ArrivalRate arrivals = new ArrivalRate();
    private final HedgingPolicy hedging = new HedgingPolicy(budget, arrivals);

    private static RequestState sent(Policy.RequestClass requestClass) {
        RequestState request = PolicyFixtures.request(requestClass);
        PolicyFixtures.send(request, PolicyFixtures.server("s"), NOW);
        return request;
    }

    private boolean isDue(RequestState request, long after) {
        return hedging.isDue(request, false, NOW + after);
    }

    @Test
    void aSafeRequestIsHedgedWhenTheTimeForASecondAttemptRunsOut() {
        RequestState request = sent(PolicyFixtures.SAFE);
        assertFalse(isDue(request, SAFE_PATIENCE - 1));
        assertTrue(isDue(request, SAFE_PATIENCE));
        assertFalse(isDue(request, 600_000), "its objective has passed");
    }

    @Test
    void aKeyedRequestIsHedgedAfterItsTypicalLatency() {
        RequestState request = sent(PolicyFixtures.keyed(Scope.ALL));
        assertFalse(isDue(request, 149_999));
        assertTrue(isDue(request, 150_000));
    }

    @Test
    void moreWorkIsGivenMoreTime() {
        RequestState request = sent(PolicyFixtures.keyed(Scope.ALL));
        request.relativeWork = 2;
        assertFalse(isDue(request, 299_999));
        assertTrue(isDue(request, 300_000));
    }

    @Test
    void whatMayNotBeRepeatedIsNotHedged() {
        assertFalse(isDue(sent(PolicyFixtures.UNSAFE), 500_000));
        RequestState streaming = sent(PolicyFixtures.SAFE);
        streaming.streaming = true;
        assertFalse(isDue(streaming, SAFE_PATIENCE));
        RequestState closed = sent(PolicyFixtures.SAFE);
        closed.closed = true;
        assertFalse(isDue(closed, SAFE_PATIENCE));
    }

    @Test
    void theSitesLimitsHold() {
        for (Limits limits :
                new Limits[] {new Limits(5, false, true, true, 0, 0), new Limits(1, true, true, true, 0, 0)}) {
            RequestState request = PolicyFixtures.request("r", PolicyFixtures.SAFE, limits, 600_000, false);
            PolicyFixtures.send(request, PolicyFixtures.server("s"), NOW);
            assertFalse(isDue(request, SAFE_PATIENCE));
        }
    }

    @Test
    void aRequestWithTwoAttemptsInFlightGetsNoThird() {
        RequestState request = sent(PolicyFixtures.SAFE);
        PolicyFixtures.send(request, PolicyFixtures.server("t"), NOW);
        assertFalse(isDue(request, SAFE_PATIENCE));
    }

    @Test
    void whereServersLackCapacityOnlyKeyedRequestsAreHedged() {
        for (int i = 0; i < 100; i++) {
            arrivals.record(NOW, false);
        }
        hedging.recordRejectedAttempt();
        hedging.recordRejectedAttempt();
        assertFalse(hedging.serversLackCapacity());
        hedging.recordRejectedAttempt();
        assertTrue(hedging.serversLackCapacity());
        assertFalse(hedging.isDue(sent(PolicyFixtures.SAFE), true, NOW + SAFE_PATIENCE));
        assertTrue(hedging.isDue(sent(PolicyFixtures.keyed(Scope.ALL)), true, NOW + SAFE_PATIENCE));
    }

    @Test
    void hedgedRequestsLeaveFourOfTheBudgetToRetries() {
        RequestState request = sent(PolicyFixtures.SAFE);
        for (int i = 0; i < 6; i++) {
            assertTrue(isDue(request, SAFE_PATIENCE));
            budget.consume();
        }
        assertTrue(isDue(request, SAFE_PATIENCE));
        budget.consume();
        assertFalse(isDue(request, SAFE_PATIENCE));
        assertTrue(budget.allowsRetry());
    }
}
