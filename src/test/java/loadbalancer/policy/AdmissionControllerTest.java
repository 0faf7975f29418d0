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
    private static final long TICK = 20_000;
    private static final RequestClass VALUABLE =
            new RequestClass(Effect.SAFE, Scope.ALL, 0, 600_000, 3_000_000, 0, 10, 0, false);
    private static final RequestClass CHEAP =
            new RequestClass(Effect.SAFE, Scope.ALL, 0, 600_000, 3_000_000, 0, 1, 0, false);

    private final AdmissionController admission =
            new AdmissionController(PolicyFixtures.active(VALUABLE, CHEAP), new SplittableRandom(1));
    private long now = PolicyFixtures.NOW;

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

    /** Time passes with arrivals of both classes and responses of one latency, in parts of the objective. */
    private void run(double seconds, double load) {
        long end = now + (long) (seconds * 1e6);
        while (now < end) {
            now += TICK;
            admission.shouldReject(request(VALUABLE));
            admission.shouldReject(request(CHEAP));
            admission.recordLoad(load, now);
            admission.update(now, TICK, Math.exp(-TICK / DecayScale.TIME_CONSTANT_MICROS));
        }
    }

    private double rejected(RequestState request) {
        int rejected = 0;
        for (int i = 0; i < 1_000; i++) {
            rejected += admission.shouldReject(request) ? 1 : 0;
        }
        return rejected / 1_000.0;
    }

    @Test
    void atAStartWhatIsWithinQuotasIsAdmittedAndTheRestIsNot() {
        assertEquals(0, rejected(request(VALUABLE)));
        assertEquals(0, rejected(request(CHEAP)));
        assertEquals(1, rejected(overQuota(CHEAP)));
    }

    @Test
    void underLittleLoadEverythingIsAdmitted() {
        run(600, 0.1);
        assertEquals(0, rejected(request(CHEAP)));
        assertEquals(0, rejected(overQuota(CHEAP)));
        assertTrue(admission.allowsHedging());
    }

    @Test
    void underOverloadTheLowestPriorityIsRejectedFirst() {
        run(1.5, 1.0);
        assertEquals(1, rejected(overQuota(CHEAP)));
        assertTrue(rejected(request(CHEAP)) > 0.99);
        assertEquals(0, rejected(request(VALUABLE)), 0.01);
        assertFalse(admission.allowsHedging());
    }

    @Test
    void theHighestPriorityIsRejectedWhileTheOverloadLastsAndNoLonger() {
        run(600, 5);
        assertTrue(rejected(request(VALUABLE)) > 0.99);
        run(2, 0.1);
        assertEquals(0, rejected(request(VALUABLE)));
        assertTrue(rejected(request(CHEAP)) > 0.9, "the lowest priority follows later");
    }

    @Test
    void requestsAreAdmittedAfterTheOverload() {
        run(20, 1.0);
        run(60, 0.1);
        assertEquals(0, rejected(request(VALUABLE)));
        assertEquals(0, rejected(request(CHEAP)));
    }

    @Test
    void theLoadIsForgottenWhereNothingIsHeard() {
        run(4, 1.0);
        String loaded = admission.describe();
        for (int i = 0; i < 1_000; i++) {
            now += TICK;
            admission.update(now, TICK, 0.998);
        }
        assertTrue(loaded.contains("load=1.00"), loaded);
        assertTrue(admission.describe().contains("load=0.00"), admission.describe());
    }
}
