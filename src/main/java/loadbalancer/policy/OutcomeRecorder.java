package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Actions;
import loadbalancer.policy.Policy.Outcome;

/** Hands what an attempt's outcome tells to the parts that learn from it. */
final class OutcomeRecorder {
    /** Time without a success after which a server without capacity is taken for one that hangs. */
    private static final long HANG_MICROS = 2_000_000;
    /** Weight, as a failure, of a time-out and of a server that hangs: the load may be at fault. */
    private static final double AMBIGUOUS_FAILURE_WEIGHT = 0.5;

    private static final double FAILURE_WEIGHT = 1;
    private static final double NO_FAILURE_WEIGHT = 0;
    /** Typical latencies for which a failed attempt keeps its place in the queue. */
    private static final double PENALTY_LATENCIES = 2;
    /** A cancelled attempt that took more of its expected latency than this says that its server is slow. */
    private static final double SLOW_CANCELLED_LATENCIES = 2;

    private final OutlierDetector outlierDetector;
    private final AdmissionController admission;
    private final DecayScale decayScale;
    private final SplittableRandom random;

    OutcomeRecorder(
            OutlierDetector outlierDetector,
            AdmissionController admission,
            DecayScale decayScale,
            SplittableRandom random) {
        this.outlierDetector = outlierDetector;
        this.admission = admission;
        this.decayScale = decayScale;
        this.random = random;
    }

    /** Records how an attempt ended that took {@code latencyMicros}. */
    void record(AttemptState attempt, Outcome outcome, long latencyMicros, long nowMicros, Actions actions) {
        ServerState server = attempt.target;
        ClassLatency classLatency = attempt.request.classLatency;
        double expectedMicros = classLatency.typicalMicros() * attempt.request.relativeWork;
        long penaltyMicros = (long) (PENALTY_LATENCIES * classLatency.typicalMicros());
        switch (outcome) {
            case OK -> recordSuccess(attempt, latencyMicros, expectedMicros, nowMicros, actions);
            case CANCELLED -> recordCancelled(server, latencyMicros, expectedMicros, penaltyMicros, nowMicros, actions);
            case FULL -> recordFull(server, classLatency, nowMicros, actions);
            case TIMEOUT -> {
                QueueEstimator.recordSlowness(server, latencyMicros / expectedMicros, nowMicros);
                admission.recordTimeout(nowMicros);
                outlierDetector.recordFailure(server, AMBIGUOUS_FAILURE_WEIGHT, penaltyMicros, nowMicros, actions);
            }
            case ERROR, CONNECT_FAILED, RESET ->
                outlierDetector.recordFailure(server, FAILURE_WEIGHT, penaltyMicros, nowMicros, actions);
            case NOT_SENT -> {}
        }
    }

    private void recordSuccess(
            AttemptState attempt, long latencyMicros, double expectedMicros, long nowMicros, Actions actions) {
        ServerState server = attempt.target;
        server.successes += decayScale.unit();
        server.lastSuccessAtMicros = nowMicros;
        QueueEstimator.recordSlowness(server, latencyMicros / expectedMicros, nowMicros);
        attempt.request.classLatency.recordLatency(latencyMicros);
        outlierDetector.recordSuccess(server, nowMicros, actions);
        admission.recordLoad(latencyMicros / (double) attempt.request.requestClass.aimMicros(), nowMicros);
    }

    // Another attempt came first, or the client left. The server may well be at it still.
    private void recordCancelled(
            ServerState server,
            long latencyMicros,
            double expectedMicros,
            long penaltyMicros,
            long nowMicros,
            Actions actions) {
        if (latencyMicros > SLOW_CANCELLED_LATENCIES * expectedMicros) {
            outlierDetector.recordFailure(server, NO_FAILURE_WEIGHT, penaltyMicros, nowMicros, actions);
            double slowness = Math.max(QueueEstimator.slowness(server, nowMicros), latencyMicros / expectedMicros);
            QueueEstimator.recordSlowness(server, slowness, nowMicros);
        }
    }

    // A server that hangs fills up and then has no capacity for anything: without successes that is no mere overload.
    // It answers in no time, so it would win time after time while its queue is the longest of all: it rests.
    private void recordFull(ServerState server, ClassLatency classLatency, long nowMicros, Actions actions) {
        double weight =
                nowMicros - server.lastSuccessAtMicros > HANG_MICROS ? AMBIGUOUS_FAILURE_WEIGHT : NO_FAILURE_WEIGHT;
        outlierDetector.recordFailure(server, weight, (long) classLatency.typicalMicros(), nowMicros, actions);
        server.fullUntilMicros = nowMicros + (long) (classLatency.typicalMicros() * (0.5 + random.nextDouble()));
        admission.recordFullServer(nowMicros);
    }
}
