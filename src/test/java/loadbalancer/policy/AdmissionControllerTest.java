package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    private static final long TICK_MICROS = 20_000;
    private static final RequestClass HIGH_PRIORITY =
            new RequestClass(Effect.SAFE, Scope.ALL, 0, 600_000, 3_000_000, 0, 10, 0, false);
    private static final RequestClass LOW_PRIORITY =
            new RequestClass(Effect.SAFE, Scope.ALL, 0, 600_000, 3_000_000, 0, 1, 0, false);

    private final AdmissionController admission = new AdmissionController(
            PolicyFixtures.activeSettings(HIGH_PRIORITY, LOW_PRIORITY), new SplittableRandom(1));
    private long nowMicros = PolicyFixtures.NOW_MICROS;

    AdmissionControllerTest() {
        admission.reload();
        admission.start();
    }

    private static RequestState request(RequestClass requestClass) {
        return PolicyFixtures.request(requestClass);
    }

    private static RequestState overQuota(RequestClass requestClass) {
        return PolicyFixtures.request("r", requestClass, requestClass.aimMicros(), true);
    }

    /** Advances the time with arrivals of both classes and responses that take {@code load} times the objective. */
    private void runLoad(double seconds, double load) {
        long end = nowMicros + (long) (seconds * 1e6);
        while (nowMicros < end) {
            nowMicros += TICK_MICROS;
            admission.shouldReject(request(HIGH_PRIORITY));
            admission.shouldReject(request(LOW_PRIORITY));
            admission.recordLoad(load, nowMicros);
            admission.update(nowMicros, TICK_MICROS, Math.exp(-TICK_MICROS / DecayScale.TIME_CONSTANT_MICROS));
        }
    }

    private double rejectedProportion(RequestState request) {
        int rejected = 0;
        for (int i = 0; i < 1_000; i++) {
            rejected += admission.shouldReject(request) ? 1 : 0;
        }
        return rejected / 1_000.0;
    }

    @Test
    void atStartRequestsWithinTheirQuotaAreAdmittedAndOthersRejected() {
        assertEquals(0, rejectedProportion(request(HIGH_PRIORITY)));
        assertEquals(0, rejectedProportion(request(LOW_PRIORITY)));
        assertEquals(1, rejectedProportion(overQuota(LOW_PRIORITY)));
    }

    @Test
    void underLowLoadEverythingIsAdmitted() {
        runLoad(600, 0.1);
        assertEquals(0, rejectedProportion(request(LOW_PRIORITY)));
        assertEquals(0, rejectedProportion(overQuota(LOW_PRIORITY)));
        assertTrue(admission.allowsHedging());
    }

    @Test
    void underOverloadTheLowestPriorityIsRejectedFirst() {
        runLoad(1.5, 1.0);
        assertEquals(1, rejectedProportion(overQuota(LOW_PRIORITY)));
        assertTrue(rejectedProportion(request(LOW_PRIORITY)) > 0.99);
        assertEquals(0, rejectedProportion(request(HIGH_PRIORITY)), 0.01);
        assertFalse(admission.allowsHedging());
    }

    @Test
    void theHighestPriorityIsRejectedOnlyWhileTheOverloadLasts() {
        runLoad(600, 5);
        assertTrue(rejectedProportion(request(HIGH_PRIORITY)) > 0.99);
        runLoad(2, 0.1);
        assertEquals(0, rejectedProportion(request(HIGH_PRIORITY)));
        assertTrue(rejectedProportion(request(LOW_PRIORITY)) > 0.9, "the lowest priority is admitted later");
    }

    @Test
    void requestsAreAdmittedAfterTheOverload() {
        runLoad(20, 1.0);
        runLoad(60, 0.1);
        assertEquals(0, rejectedProportion(request(HIGH_PRIORITY)));
        assertEquals(0, rejectedProportion(request(LOW_PRIORITY)));
    }

    @Test
    void theLoadDecaysWithoutResponses() {
        runLoad(4, 1.0);
        String underLoad = admission.describe();
        for (int i = 0; i < 1_000; i++) {
            nowMicros += TICK_MICROS;
            admission.update(nowMicros, TICK_MICROS, 0.998);
        }
        assertTrue(underLoad.contains("load=1.00"), underLoad);
        assertTrue(admission.describe().contains("load=0.00"), admission.describe());
    }
}
