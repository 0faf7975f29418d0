package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Actions;
import loadbalancer.policy.Policy.Outcome;

/** Passes the outcome of an attempt on to the parts that learn from it. */
final class OutcomeRecorder {
    /** Time without a success after which a server without capacity is assumed to hang. */
    private static final long HANG_MICROS = 2_000_000;
    /** Failure weight of a timeout and of a server that hangs: overload may be the cause. */
    private static final double AMBIGUOUS_FAILURE_WEIGHT = 0.5;

    private static final double FAILURE_WEIGHT = 1;
    private static final double NO_FAILURE_WEIGHT = 0;
    /** Multiple of the typical latency for which a failed attempt still counts in the queue length. */
    private static final double PENALTY_LATENCIES = 2;
    /** A cancelled attempt that took more than this multiple of its expected latency marks its server as slow. */
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

    /** Records the outcome of an attempt that took {@code latencyMicros}. */
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

    // Another attempt succeeded first, or the client disconnected. The server may still be processing the attempt.
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

    // A server that hangs fills up and then has no capacity for anything: without successes this is more than an
    // overload. Such a server rejects attempts at once, so it would be chosen again and again while its queue is the
    // longest of all; it is therefore excluded for a while.
    private void recordFull(ServerState server, ClassLatency classLatency, long nowMicros, Actions actions) {
        double weight =
                nowMicros - server.lastSuccessAtMicros > HANG_MICROS ? AMBIGUOUS_FAILURE_WEIGHT : NO_FAILURE_WEIGHT;
        outlierDetector.recordFailure(server, weight, (long) classLatency.typicalMicros(), nowMicros, actions);
        server.fullUntilMicros = nowMicros + (long) (classLatency.typicalMicros() * (0.5 + random.nextDouble()));
        admission.recordFullServer(nowMicros);
    }
}
