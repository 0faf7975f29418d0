package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

class OutcomeRecorderTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;

    private final DecayScale scale = new DecayScale();
    private final SplittableRandom random = new SplittableRandom(1);
    private final AccomplishmentRanking ranking = new AccomplishmentRanking(scale);
    private final ServerState server = PolicyFixtures.server("s");
    private final OutcomeRecorder outcomes = recorder();

    private OutcomeRecorder recorder() {
        ActiveSettings activeSettings = PolicyFixtures.activeSettings(PolicyFixtures.SAFE);
        EndpointSet endpoints = new EndpointSet(random, new HashRing(0, 1));
        AdmissionController admission = new AdmissionController(activeSettings, random);
        admission.reload();
        OutlierDetector outliers =
                new OutlierDetector(activeSettings, endpoints, ranking, scale, random, new OperatorLog());
        return new OutcomeRecorder(outliers, admission, scale, random);
    }

    /** Records an outcome of an attempt of a class with a typical latency of 150 ms. */
    private AttemptState recordOutcome(Outcome outcome, long latencyMicros) {
        AttemptState attempt =
                PolicyFixtures.send(PolicyFixtures.request(PolicyFixtures.SAFE), server, NOW_MICROS - latencyMicros);
        ranking.recordDispatch(server);
        outcomes.record(attempt, outcome, latencyMicros, NOW_MICROS, PolicyFixtures.NO_ACTIONS);
        return attempt;
    }

    @Test
    void aSuccessCountsForTheServerAndTheClass() {
        AttemptState attempt = recordOutcome(Outcome.OK, 300_000);
        assertEquals(1, server.successes);
        assertEquals(NOW_MICROS, server.lastSuccessAtMicros);
        assertEquals(1, server.accomplishment);
        assertEquals(1.25, server.slowness);
        assertEquals(154_500, attempt.request.classLatency.typicalMicros(), 1e-6);
    }

    @Test
    void aFailureCountsAgainstTheServerAndKeepsItsQueuePlace() {
        recordOutcome(Outcome.ERROR, 1_000);
        assertEquals(1, server.failures);
        assertEquals(0, server.accomplishment);
        assertEquals(NOW_MICROS + 300_000, server.penaltyEndsMicros.peekFirst());
    }

    @Test
    void aTimeoutCountsAsHalfAFailure() {
        recordOutcome(Outcome.TIMEOUT, 600_000);
        assertEquals(0.5, server.failures);
        assertEquals(1.75, server.slowness);
    }

    @Test
    void aServerWithoutCapacityIsSkippedForAboutATypicalLatency() {
        server.lastSuccessAtMicros = NOW_MICROS;
        recordOutcome(Outcome.FULL, 500);
        assertEquals(0, server.failures);
        long restMicros = server.fullUntilMicros - NOW_MICROS;
        assertTrue(
                restMicros >= 75_000 && restMicros <= 225_000, "µs until the server may be used again: " + restMicros);
    }

    @Test
    void aServerWithoutCapacityThatHadNoRecentSuccessCountsAsHalfAFailure() {
        server.lastSuccessAtMicros = NOW_MICROS - 2_000_001;
        recordOutcome(Outcome.FULL, 500);
        assertEquals(0.5, server.failures);
    }

    @Test
    void aCancelledAttemptCountsOnlyIfItTookLong() {
        recordOutcome(Outcome.CANCELLED, 300_000);
        assertEquals(1, server.slowness);
        assertEquals(0, server.penaltyEndsMicros.size());
        recordOutcome(Outcome.CANCELLED, 450_000);
        assertEquals(1.5, server.slowness);
        assertEquals(1, server.penaltyEndsMicros.size());
        assertEquals(0, server.failures);
    }

    @Test
    void anAttemptThatWasNotSentIsNotCounted() {
        recordOutcome(Outcome.NOT_SENT, 0);
        assertEquals(1, server.accomplishment);
        assertEquals(0, server.failures);
        assertEquals(0, server.penaltyEndsMicros.size());
    }
}
