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
    final ClassLatency latency;

    final RequestClass requestClass;
    final Limits limits;
    /** Hash of what the request concerns, 0 if nothing was named. */
    final long key;

    final long arrivedAt;
    final long deadline;
    /** End of the latency objective. */
    final long objectiveAt;
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
    SequencedKey sequence;

    RequestState(
            String id,
            ClassLatency latency,
            RequestClass requestClass,
            Limits limits,
            long key,
            Times times,
            boolean overQuota) {
        this.id = id;
        this.latency = latency;
        this.requestClass = requestClass;
        this.limits = limits;
        this.key = key;
        this.arrivedAt = times.arrivedAt();
        this.deadline = times.deadline();
        this.objectiveAt = Math.min(times.objectiveAt(), times.deadline());
        this.lowPriority = overQuota || times.objectiveAt() <= times.arrivedAt();
    }

    /** When a request arrived, must be finished and should be finished, in microseconds. */
    record Times(long arrivedAt, long deadline, long objectiveAt) {}

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

    /** Rule 6: a class may be bound to zones and kinds of machine, at every attempt. */
    boolean isPermittedOn(Server server) {
        return (requestClass.zones().isEmpty() || requestClass.zones().contains(server.zone()))
                && (requestClass.machineKinds().isEmpty()
                        || requestClass.machineKinds().contains(server.kind()));
    }

    /** Whether the class is bound neither to zones nor to kinds of machine. */
    boolean isPermittedEverywhere() {
        return requestClass.zones().isEmpty() && requestClass.machineKinds().isEmpty();
    }

    /** Rule 2: a request that may have run is sent a second time only where its class allows. */
    boolean mayRunOn(ServerState candidate, long now, long tickMicros) {
        AttemptState first = firstThatMayHaveRun();
        if (first == null || isSafe()) {
            return true;
        }
        if (isUnsafe() || deduplicationTimeLeft(now, tickMicros) <= 0) {
            return false;
        }
        return switch (requestClass.scope()) {
            case ALL -> true;
            case ZONE -> candidate.server.zone() == first.serverAtSend.zone() && candidate.server.zone() >= 0;
            case CELL -> candidate.server.cell() == first.serverAtSend.cell() && candidate.server.cell() >= 0;
        };
    }

    /**
     * Microseconds for which the servers still drop a repeat of a keyed request. One of its attempts must be one that
     * may have run.
     */
    long deduplicationTimeLeft(long now, long tickMicros) {
        return firstThatMayHaveRun().sentAt + requestClass.keyMemory() - tickMicros - now;
    }

    /** Whether a new submission by the client does no harm. */
    boolean isHarmlessToResubmit() {
        return firstThatMayHaveRun() == null || isSafe() || (isKeyed() && requestClass.scope() == Scope.ALL);
    }

    /** When the request must be sent to finish within its objective; at once if that has passed. */
    long latestStart() {
        if (objectiveAt <= arrivedAt) {
            return arrivedAt;
        }
        return Math.max(arrivedAt + (objectiveAt - arrivedAt) / 4, objectiveAt - (long) (2 * latency.typicalMicros()));
    }
}
