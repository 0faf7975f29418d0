package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy;
import org.junit.jupiter.api.Test;

/** The state transitions of a request and its attempts. */
class PendingRequestTest {
    private final Invariants invariants = new Invariants(line -> {});
    private final PendingRequest pending = pending(Policy.Effect.SAFE);

    private PendingRequest pending(Policy.Effect effect) {
        ProxyRequest request =
                new ProxyRequest("r1", "GET", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", 100_000, -1, false);
        Policy.RequestClass requestClass =
                new Policy.RequestClass(effect, Policy.Scope.ALL, 0, 20_000, 100_000, 0, 1, 0, false);
        return new PendingRequest("1", request, new RecordingResponseWriter(), 2, requestClass, invariants);
    }

    private long illegalTransitions() {
        return invariants.count(Invariants.Violation.ILLEGAL_TRANSITION);
    }

    @Test
    void aRequestIsActiveOnceThePolicyIsNotifiedAndThenClosedOnce() {
        assertFalse(pending.isKnownToPolicy());
        pending.activate();
        assertTrue(pending.isKnownToPolicy());
        assertFalse(pending.isClosed());
        assertTrue(pending.close());
        assertTrue(pending.isClosed() && pending.isKnownToPolicy() && pending.isFinished());
        assertEquals(0, illegalTransitions());
    }

    @Test
    void aRequestThatIsClosedBeforeThePolicyIsNotifiedStaysUnknownToIt() {
        assertTrue(pending.close());
        assertFalse(pending.isKnownToPolicy());
    }

    @Test
    void aSecondCloseOrActivationChangesNothingAndIsCounted() {
        pending.activate();
        pending.activate();
        assertEquals(1, illegalTransitions());
        pending.close();
        assertFalse(pending.close());
        pending.activate();
        assertTrue(pending.isClosed());
        assertEquals(3, illegalTransitions());
    }

    @Test
    void aRequestIsFinishedWhenItIsClosedAndItsLastAttemptHasEnded() {
        ProxyAttempt attempt = pending.addAttempt(0);
        pending.close();
        assertFalse(pending.isFinished());
        attempt.end(false);
        assertTrue(pending.isFinished());
    }

    @Test
    void aSecondEndOfAnAttemptChangesNothingAndIsCounted() {
        ProxyAttempt attempt = pending.addAttempt(0);
        attempt.end(true);
        attempt.end(false);
        assertTrue(attempt.neverRan());
        assertEquals(0, pending.attemptsInFlight());
        assertEquals(1, illegalTransitions());
    }

    @Test
    void anAttemptThatEndedWithinItsSendDoesNotStart() {
        ProxyAttempt attempt = pending.addAttempt(0);
        attempt.end(true);
        FakeTransport.StartedAttempt handle = new FakeTransport.StartedAttempt(null, 0, 0);
        attempt.start(handle);
        assertFalse(attempt.cancelMayHaveRun());
        assertFalse(handle.stopped);
        assertEquals(0, illegalTransitions());
    }

    @Test
    void anUnsafeRequestMayRunTwiceWhileAnotherAttemptIsNotProvenNeverToHaveRun() {
        PendingRequest unsafe = pending(Policy.Effect.UNSAFE);
        ProxyAttempt first = unsafe.addAttempt(0);
        assertFalse(unsafe.mayRunTwice(first));
        ProxyAttempt second = unsafe.addAttempt(0);
        assertTrue(unsafe.mayRunTwice(second));
        first.end(true);
        assertFalse(unsafe.mayRunTwice(second));
    }

    @Test
    void attemptsBeyondTheLimitAndOfClosedRequestsAreNotAllowed() {
        assertTrue(pending.allows(pending.addAttempt(0)));
        ProxyAttempt second = pending.addAttempt(0);
        assertTrue(pending.allows(second));
        assertFalse(pending.allows(pending.addAttempt(0)));
        pending.close();
        assertFalse(pending.allows(second));
    }

    /** The failure guarded against: a long response counted as overload, and requests were rejected behind it. */
    @Test
    void aLongResponseIsTimedByItsFirstBytesAndAShortOneByItsLast() {
        ProxyAttempt attempt = pending.addAttempt(1_000);
        assertEquals(500, attempt.latencyMicros(1_500, true), "passed on with its first bytes");
        attempt.recordResponseProgress(3_000);
        attempt.recordResponseProgress(900_000);
        assertEquals(2_000, attempt.latencyMicros(1_000_000, true));
        assertEquals(999_000, attempt.latencyMicros(1_000_000, false));
    }
}
