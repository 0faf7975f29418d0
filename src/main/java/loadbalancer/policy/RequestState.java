package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.Limits;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;

/** A request that awaits its final response or has attempts in flight. Times are microseconds. */
final class RequestState {
    final String id;
    /**
     * Latency statistics of the request's class. Statistics, class and limits are those in force when the request was
     * accepted.
     */
    final ClassLatency classLatency;

    final RequestClass requestClass;
    final Limits limits;
    /** Hash of the request's key, 0 if the request has none. */
    final long keyHash;

    final long arrivedAtMicros;
    final long deadlineAtMicros;
    /** End of the latency objective. */
    final long objectiveAtMicros;
    /** Whether the request is over its tenant's quota, or its objective has passed already. */
    final boolean lowPriority;
    /** Expected latency as a multiple of the class's typical one. */
    double relativeWork = 1;

    final List<AttemptState> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    boolean closed;
    /** Whether the request is in the {@link PendingQueue}. */
    boolean pending;

    boolean streaming;
    /** Null where the request needs no ordering. */
    SequencedKey sequencedKey;

    RequestState(
            String id,
            ClassLatency classLatency,
            RequestClass requestClass,
            Limits limits,
            long keyHash,
            Times times,
            boolean overQuota) {
        this.id = id;
        this.classLatency = classLatency;
        this.requestClass = requestClass;
        this.limits = limits;
        this.keyHash = keyHash;
        this.arrivedAtMicros = times.arrivedAtMicros();
        this.deadlineAtMicros = times.deadlineAtMicros();
        this.objectiveAtMicros = Math.min(times.objectiveAtMicros(), times.deadlineAtMicros());
        this.lowPriority = overQuota || times.objectiveAtMicros() <= times.arrivedAtMicros();
    }

    /** Times in microseconds: arrival, deadline and end of the latency objective. */
    record Times(long arrivedAtMicros, long deadlineAtMicros, long objectiveAtMicros) {}

    boolean isSafe() {
        return requestClass.effect() == Effect.SAFE;
    }

    boolean isKeyed() {
        return requestClass.effect() == Effect.KEYED;
    }

    boolean isUnsafe() {
        return requestClass.effect() == Effect.UNSAFE;
    }

    boolean hasAttemptsLeft() {
        return attempts.size() < limits.maxAttempts();
    }

    boolean wasSentTo(ServerState server) {
        for (AttemptState attempt : attempts) {
            if (attempt.target == server) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt at that server has not ended. */
    boolean isInFlightAt(ServerState server) {
        return attempts.stream().anyMatch(attempt -> attempt.inFlight && attempt.target == server);
    }

    /** The first attempt that may have run, or null. */
    AttemptState firstThatMayHaveRun() {
        for (AttemptState attempt : attempts) {
            if (attempt.mayHaveRun) {
                return attempt;
            }
        }
        return null;
    }

    /** Rule 6: a class may be restricted to zones and machine models; this holds for every attempt. */
    boolean isPermittedOn(Server server) {
        return (requestClass.zones().isEmpty() || requestClass.zones().contains(server.zone()))
                && (requestClass.machineModels().isEmpty()
                        || requestClass.machineModels().contains(server.machineModel()));
    }

    /** Whether the class is restricted neither to zones nor to machine models. */
    boolean isPermittedEverywhere() {
        return requestClass.zones().isEmpty() && requestClass.machineModels().isEmpty();
    }

    /** Rule 2: a request that may have run is sent a second time only where its class allows it. */
    boolean mayRunOn(ServerState candidate, long nowMicros, long sweepIntervalMicros) {
        AttemptState first = firstThatMayHaveRun();
        if (first == null || isSafe()) {
            return true;
        }
        if (isUnsafe() || deduplicationTimeLeftMicros(nowMicros, sweepIntervalMicros) <= 0) {
            return false;
        }
        return requestClass.scope().isSameGroup(first.endpointAtSend, candidate.endpoint);
    }

    /**
     * Microseconds for which the servers still drop a repeat of a keyed request. At least one attempt of the request
     * must be one that may have run.
     */
    long deduplicationTimeLeftMicros(long nowMicros, long sweepIntervalMicros) {
        return firstThatMayHaveRun().sentAtMicros + requestClass.keyTtlMicros() - sweepIntervalMicros - nowMicros;
    }

    /** Whether a resubmission by the client is harmless. */
    boolean isHarmlessToResubmit() {
        return firstThatMayHaveRun() == null || isSafe() || (isKeyed() && requestClass.scope() == Scope.ALL);
    }

    /**
     * Latest time at which the request must be sent to finish within its objective; the arrival time if the objective
     * had already passed on arrival.
     */
    long latestStartAtMicros() {
        if (objectiveAtMicros <= arrivedAtMicros) {
            return arrivedAtMicros;
        }
        return Math.max(
                arrivedAtMicros + (objectiveAtMicros - arrivedAtMicros) / 4,
                objectiveAtMicros - (long) (2 * classLatency.typicalMicros()));
    }
}
