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
    /** Of its class, as it was when the request was taken; so are the class and the limits. */
    final ClassLatency classLatency;

    final RequestClass requestClass;
    final Limits limits;
    /** Hash of what the request concerns, 0 if nothing was named. */
    final long keyHash;

    final long arrivedAtMicros;
    final long deadlineAtMicros;
    /** End of the latency objective. */
    final long objectiveAtMicros;
    /** Over its tenant's quota, or its objective has passed already. */
    final boolean lowPriority;
    /** Expected latency as a multiple of the class's typical one. */
    double relativeWork = 1;

    final List<AttemptState> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    boolean closed;
    /** In the {@link PendingQueue}. */
    boolean pending;

    boolean streaming;
    /** Null where no order is asked for. */
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

    /** When a request arrived, must be finished and should be finished, in microseconds. */
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
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).target == server) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that may have run, or null. */
    AttemptState firstThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Rule 6: a class may be bound to zones and machine models, at every attempt. */
    boolean isPermittedOn(Server server) {
        return (requestClass.zones().isEmpty() || requestClass.zones().contains(server.zone()))
                && (requestClass.machineModels().isEmpty()
                        || requestClass.machineModels().contains(server.machineModel()));
    }

    /** Whether the class is bound neither to zones nor to machine models. */
    boolean isPermittedEverywhere() {
        return requestClass.zones().isEmpty() && requestClass.machineModels().isEmpty();
    }

    /** Rule 2: a request that may have run is sent a second time only where its class allows. */
    boolean mayRunOn(ServerState candidate, long nowMicros, long sweepIntervalMicros) {
        AttemptState first = firstThatMayHaveRun();
        if (first == null || isSafe()) {
            return true;
        }
        if (isUnsafe() || deduplicationTimeLeftMicros(nowMicros, sweepIntervalMicros) <= 0) {
            return false;
        }
        return switch (requestClass.scope()) {
            case ALL -> true;
            case ZONE -> candidate.endpoint.zone() == first.endpointAtSend.zone() && candidate.endpoint.zone() >= 0;
            case CELL -> candidate.endpoint.cell() == first.endpointAtSend.cell() && candidate.endpoint.cell() >= 0;
        };
    }

    /**
     * Microseconds for which the servers still drop a repeat of a keyed request. One of its attempts must be one that
     * may have run.
     */
    long deduplicationTimeLeftMicros(long nowMicros, long sweepIntervalMicros) {
        return firstThatMayHaveRun().sentAtMicros + requestClass.keyTtlMicros() - sweepIntervalMicros - nowMicros;
    }

    /** Whether a new submission by the client does no harm. */
    boolean isHarmlessToResubmit() {
        return firstThatMayHaveRun() == null || isSafe() || (isKeyed() && requestClass.scope() == Scope.ALL);
    }

    /** When the request must be sent to finish within its objective; at once if that has passed. */
    long latestStartAtMicros() {
        if (objectiveAtMicros <= arrivedAtMicros) {
            return arrivedAtMicros;
        }
        return Math.max(
                arrivedAtMicros + (objectiveAtMicros - arrivedAtMicros) / 4,
                objectiveAtMicros - (long) (2 * classLatency.typicalMicros()));
    }
}
