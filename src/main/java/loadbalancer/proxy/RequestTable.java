package loadbalancer.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.Policy;

/** The requests that are not finished, and the number of pending responses. To be used on the event loop. */
final class RequestTable {
    private final Scheduler scheduler;
    private final Map<String, PendingRequest> requestsById = new HashMap<>();
    private final Set<String> clientIds = new HashSet<>();
    private final RecentRequestIds recentIds = new RecentRequestIds();
    private long accepted;
    private int pendingResponses;
    private Runnable whenIdle;

    RequestTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Returns the balancer's internal id for the next request, and counts the request as accepted. */
    String nextId() {
        return Long.toString(++accepted, Character.MAX_RADIX);
    }

    /** Adds an accepted request, whose response is pending. */
    void add(PendingRequest pending) {
        requestsById.put(pending.id(), pending);
        clientIds.add(pending.clientId());
        pendingResponses++;
    }

    /** Returns the request with this internal id, or null if the request is finished. */
    PendingRequest find(String id) {
        return requestsById.get(id);
    }

    /** Returns a copy of the list of all requests that are not finished. */
    List<PendingRequest> unfinished() {
        return List.copyOf(requestsById.values());
    }

    /** Whether a request with this client-assigned id is not finished. */
    boolean isOpen(String clientId) {
        return clientIds.contains(clientId);
    }

    /** Whether a request with this client-assigned id is not finished, or may have run and must not run again. */
    boolean isRepeated(String clientId, Policy.Effect effect, long nowMicros) {
        return isOpen(clientId) || (effect != Policy.Effect.SAFE && recentIds.contains(clientId, nowMicros));
    }

    /** Returns the ids of requests that may have run, whether or not they are finished. */
    RecentRequestIds recentIds() {
        return recentIds;
    }

    /** Records that the response to one request is no longer pending. */
    void responseDone() {
        pendingResponses--;
        runIfIdle();
    }

    /** Removes a request if it is finished; one that has not run may come again. */
    void removeIfFinished(PendingRequest pending, long nowMicros) {
        if (pending.isFinished() && requestsById.remove(pending.id()) != null) {
            clientIds.remove(pending.clientId());
            if (!pending.mayHaveRun()) {
                recentIds.remove(pending.clientId(), nowMicros);
            }
        }
    }

    /** Runs {@code task} on the event loop whenever no response is pending, also if that is so at this call. */
    void whenIdle(Runnable task) {
        whenIdle = task;
        runIfIdle();
    }

    private void runIfIdle() {
        if (pendingResponses == 0 && whenIdle != null) {
            scheduler.execute(whenIdle);
        }
    }

    int pendingResponses() {
        return pendingResponses;
    }

    /** Returns the number of accepted requests. */
    long accepted() {
        return accepted;
    }
}
