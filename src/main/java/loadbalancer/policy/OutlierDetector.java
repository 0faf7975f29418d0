package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Actions;

/**
 * Ejects servers that fail, rests those that have stalled or have no capacity, and tries ejected ones anew. Guards
 * against a server that fails fast or has fallen silent: it would win every comparison of queues. When most servers
 * look like outliers the fault is likely elsewhere, and all are used.
 *
 * <p>Two failures within some ten recent attempts are far beyond any sane base rate.
 */
final class OutlierDetector {
    /** Decaying number of failures, by weight, above which a server can be ejected. */
    private static final double MIN_FAILURES = 1.6;
    /** Proportion of its recent attempts that they must exceed. */
    private static final double MIN_FAILURE_PROPORTION = 0.15;
    /** The first ejection; each one that follows is twice as long, up to 16 s, and a quarter of it is random. */
    private static final long FIRST_EJECTION_MICROS = 1_000_000;

    private static final int MAX_EJECTION_DOUBLINGS = 4;
    private static final int EJECTION_JITTER_DIVISOR = 4;
    /** Successes, one at a time, that end a trial. */
    private static final int TRIAL_SUCCESSES = 3;
    /** A server is stalled when it was silent for this multiple of the typical latency. */
    private static final double STALL_LATENCIES = 3;

    private final ActiveSettings activeSettings;
    private final EndpointSet endpoints;
    private final AccomplishmentRanking ranking;
    private final DecayScale decayScale;
    private final SplittableRandom random;
    private final OperatorLog log;
    /** Most servers look like outliers. */
    private boolean panicMode;

    OutlierDetector(
            ActiveSettings activeSettings,
            EndpointSet endpoints,
            AccomplishmentRanking ranking,
            DecayScale decayScale,
            SplittableRandom random,
            OperatorLog log) {
        this.activeSettings = activeSettings;
        this.endpoints = endpoints;
        this.ranking = ranking;
        this.decayScale = decayScale;
        this.random = random;
        this.log = log;
    }

    /**
     * Whether the request may be sent to the server. One on trial gets one attempt at a time, and none that could not
     * be repeated where others can be.
     */
    boolean allows(RequestState request, ServerState server, long nowMicros) {
        if (panicMode) {
            return true;
        }
        return !isOutlier(server, nowMicros)
                && (server.trialSuccessesLeft == 0
                        || (server.inFlight == 0 && (request.isSafe() || !activeSettings.anyClassSafe())));
    }

    /** Decides anew whether most servers look like outliers, and all are used. */
    void refresh(long nowMicros) {
        int outliers = 0;
        for (ServerState server : endpoints.upServers()) {
            if (isOutlier(server, nowMicros)) {
                outliers++;
            }
        }
        panicMode = 2 * outliers > endpoints.upServers().size();
    }

    void recordSuccess(ServerState server, long nowMicros, Actions actions) {
        if (server.trialSuccessesLeft == 0) {
            return;
        }
        server.trialSuccessesLeft--;
        if (server.trialSuccessesLeft == 0) {
            server.ejectionCount = 0;
            server.failures = 0;
            log.write(nowMicros, "event=server_recovered server=" + server.endpoint.id(), actions);
        }
    }

    /**
     * Records a failed attempt: it neither earns rank nor frees its place in the queue at once, and enough of them
     * eject the server.
     *
     * @param weight how much it speaks for an ejection: 1 for a failure, 0 if not at all
     * @param penaltyMicros for how long the attempt keeps its place
     */
    void recordFailure(ServerState server, double weight, long penaltyMicros, long nowMicros, Actions actions) {
        ranking.recordFailure(server);
        QueueEstimator.addPenalty(server, nowMicros + penaltyMicros);
        server.failures += weight * decayScale.unit();
        boolean failsOften = server.failures > MIN_FAILURES * decayScale.unit()
                && server.failures > MIN_FAILURE_PROPORTION * (server.failures + server.successes);
        if (weight > 0 && (server.trialSuccessesLeft > 0 || failsOften)) {
            eject(server, nowMicros, actions);
        }
    }

    private void eject(ServerState server, long nowMicros, Actions actions) {
        if (server.ejectedUntilMicros > nowMicros) {
            return;
        }
        long ejectionMicros = FIRST_EJECTION_MICROS << Math.min(MAX_EJECTION_DOUBLINGS, server.ejectionCount);
        server.ejectionCount++;
        server.ejectedUntilMicros =
                nowMicros + ejectionMicros + random.nextLong(ejectionMicros / EJECTION_JITTER_DIVISOR);
        server.trialSuccessesLeft = TRIAL_SUCCESSES;
        log.write(
                nowMicros,
                "event=server_ejected server=" + server.endpoint.id() + " duration_ms=" + ejectionMicros / 1000,
                actions);
    }

    private boolean isOutlier(ServerState server, long nowMicros) {
        return server.ejectedUntilMicros > nowMicros
                || server.fullUntilMicros > nowMicros
                || isStalled(server, nowMicros);
    }

    private boolean isStalled(ServerState server, long nowMicros) {
        AttemptState oldest = oldestInFlight(server);
        if (oldest == null) {
            return false;
        }
        double stallThresholdMicros =
                STALL_LATENCIES * oldest.request.classLatency.typicalMicros() + activeSettings.sweepIntervalMicros();
        return nowMicros - oldest.sentAtMicros > stallThresholdMicros
                && nowMicros - server.lastSuccessAtMicros > stallThresholdMicros;
    }

    private static AttemptState oldestInFlight(ServerState server) {
        while (!server.attempts.isEmpty() && !server.attempts.peekFirst().inFlight) {
            server.attempts.pollFirst();
        }
        return server.attempts.peekFirst();
    }
}
