package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.Limits;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import org.junit.jupiter.api.Test;

class TimeoutPolicyTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;
    private static final Limits NO_HEDGING = new Limits(3, false, true, true, 0, 0);

    private static RequestState safeRequest(Limits limits) {
        return PolicyFixtures.request("r", PolicyFixtures.SAFE, limits, 600_000, false);
    }

    private static RequestClass unsafeClass(double lateShare, boolean streamed) {
        return new RequestClass(Effect.UNSAFE, Scope.ALL, 0, 600_000, 3_000_000, 0, 1, lateShare, streamed);
    }

    @Test
    void anUnsafeRequestTimesOutAtItsObjectiveWhereALateResponseEarnsLessThanHalf() {
        assertEquals(
                599_000,
                TimeoutPolicy.timeoutMicros(PolicyFixtures.request(unsafeClass(0.49, false)), NOW_MICROS + 1_000));
        assertEquals(
                TimeoutPolicy.NONE,
                TimeoutPolicy.timeoutMicros(PolicyFixtures.request(unsafeClass(0.5, false)), NOW_MICROS));
    }

    @Test
    void anUnsafeRequestPastItsObjectiveHasUntilItsDeadline() {
        assertEquals(
                TimeoutPolicy.NONE,
                TimeoutPolicy.timeoutMicros(PolicyFixtures.request(unsafeClass(0, false)), NOW_MICROS + 600_000));
    }

    @Test
    void aStreamedResponseHasNoTimeout() {
        assertEquals(
                TimeoutPolicy.NONE,
                TimeoutPolicy.timeoutMicros(PolicyFixtures.request(unsafeClass(0, true)), NOW_MICROS));
    }

    @Test
    void aSafeRequestThatMayBeHedgedHasNoTimeout() {
        assertEquals(
                TimeoutPolicy.NONE,
                TimeoutPolicy.timeoutMicros(safeRequest(new Limits(3, true, true, true, 0, 0)), NOW_MICROS));
    }

    @Test
    void aSafeRequestWithoutHedgingLeavesHalfOfItsTimeToAnotherAttempt() {
        assertEquals(1_500_000, TimeoutPolicy.timeoutMicros(safeRequest(NO_HEDGING), NOW_MICROS));
    }

    @Test
    void theLastAttemptHasUntilTheDeadline() {
        RequestState request = safeRequest(NO_HEDGING);
        for (int i = 0; i < 3; i++) {
            PolicyFixtures.send(request, PolicyFixtures.server("s" + i), NOW_MICROS);
        }
        assertEquals(TimeoutPolicy.NONE, TimeoutPolicy.timeoutMicros(request, NOW_MICROS));
    }

    @Test
    void anAttemptGetsThreeTypicalLatenciesButNeverMoreThanTheTimeLeft() {
        RequestState request = safeRequest(NO_HEDGING);
        assertEquals(450_000, TimeoutPolicy.timeoutMicros(request, request.deadlineAtMicros - 600_000));
        assertEquals(400_000, TimeoutPolicy.timeoutMicros(request, request.deadlineAtMicros - 400_000));
        assertEquals(1, TimeoutPolicy.timeoutMicros(request, request.deadlineAtMicros));
    }
}
