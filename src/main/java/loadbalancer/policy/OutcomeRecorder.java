package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Actions;
import loadbalancer.policy.Policy.Outcome;

/** Hands what an attempt's outcome tells to the parts that learn from it. */
final class OutcomeRecorder {
    /** Time without a success after which a server without capacity is taken for one that hangs. */
    private static final long HANG_MICROS = 2_000_000;
    /** Weight, as a failure, of a time-out and of a server that hangs: the load may be at fault. */
    private static final double AMBIGUOUS_FAILURE = 0.5;

    private static final double FAILURE = 1;
    private static final double NO_FAILURE = 0;
    /** Typical latencies for which a failed attempt keeps its place in the queue. */
    private static final double PENALTY_LATENCIES = 2;
    /** A cancelled attempt that took more of its expected latency than this says that its server is slow. */
    private static final double SLOW_CANCELLED_LATENCIES = 2;

    private final OutlierDetector outliers;
    private final AdmissionController admission;
    private final DecayScale scale;
    private final SplittableRandom random;

    OutcomeRecorder(
            OutlierDetector outliers, AdmissionController admission, DecayScale scale, SplittableRandom random) {
        this.outliers = outliers;
        this.admission = admission;
        this.scale = scale;
        this.random = random;
    }

    /** Records how an attempt ended that took {@code latency} microseconds. */
    void record(AttemptState attempt, Outcome outcome, long latency, long now, Actions out) {
        ServerState server = attempt.target;
        ClassLatency classLatency = attempt.request.latency;
        double expected = classLatency.typicalMicros() * attempt.request.relativeWork;
        long penalty = (long) (PENALTY_LATENCIES * classLatency.typicalMicros());
        switch (outcome) {
            case OK -> recordSuccess(attempt, latency, expected, now, out);
            case CANCELLED -> recordCancelled(server, latency, expected, penalty, now, out);
            case FULL -> recordFull(server, classLatency, now, out);
            case TIMEOUT -> {
                QueueEstimator.recordSlowness(server, latency / expected, now);
                admission.recordTimeout(now);
                outliers.recordFailure(server, AMBIGUOUS_FAILURE, penalty, now, out);
            }
            case ERROR, CONNECT_FAILED, RESET -> outliers.recordFailure(server, FAILURE, penalty, now, out);
            case NOT_SENT -> {}
        }
    }

    private void recordSuccess(AttemptState attempt, long latency, double expected, long now, Actions out) {
        ServerState server = attempt.target;
        server.successes += scale.unit();
        server.lastSuccessAt = now;
        QueueEstimator.recordSlowness(server, latency / expected, now);
        attempt.request.latency.recordLatency(latency);
        outliers.recordSuccess(server, now, out);
        admission.recordLoad(latency / (double) attempt.request.requestClass.aim(), now);
    }

    // Another attempt came first, or the client left. The server may well be at it still.
    private void recordCancelled(
            ServerState server, long latency, double expected, long penalty, long now, Actions out) {
        if (latency > SLOW_CANCELLED_LATENCIES * expected) {
            outliers.recordFailure(server, NO_FAILURE, penalty, now, out);
            double slowness = Math.max(QueueEstimator.slowness(server, now), latency / expected);
            QueueEstimator.recordSlowness(server, slowness, now);
        }
    }

    // A server that hangs fills up and then has no capacity for anything: without successes that is no mere overload.
    // It answers in no time, so it would win time after time while its queue is the longest of all: it rests.
    private void recordFull(ServerState server, ClassLatency classLatency, long now, Actions out) {
        double weight = now - server.lastSuccessAt > HANG_MICROS ? AMBIGUOUS_FAILURE : NO_FAILURE;
        outliers.recordFailure(server, weight, (long) classLatency.typicalMicros(), now, out);
        server.fullUntil = now + (long) (classLatency.typicalMicros() * (0.5 + random.nextDouble()));
        admission.recordFullServer(now);
    }
}
