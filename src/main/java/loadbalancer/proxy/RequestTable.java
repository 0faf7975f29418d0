package loadbalancer.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** All requests that are not finished, and the number of responses that are pending. On the event loop. */
final class RequestTable {
    private final Scheduler scheduler;
    private final Map<String, PendingRequest> requestsById = new HashMap<>();
    private final Set<String> clientIds = new HashSet<>();
    private long accepted;
    private int pendingResponses;
    private Runnable whenIdle;

    RequestTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** The balancer's own name for the next request. */
    String nextId() {
        return Long.toString(++accepted, Character.MAX_RADIX);
    }

    /** A request has been accepted: one more response is pending. */
    void add(PendingRequest pending) {
        requestsById.put(pending.id(), pending);
        clientIds.add(pending.clientId());
        pendingResponses++;
    }

    /** The request by the balancer's own name; null where it is finished. */
    PendingRequest find(String id) {
        return requestsById.get(id);
    }

    /** Whether a request by that name of its client's is not finished. */
    boolean isOpen(String clientId) {
        return clientIds.contains(clientId);
    }

    /** A request has been closed: one response less is pending. */
    void responseDone() {
        pendingResponses--;
        runIfIdle();
    }

    /** Removes a request if it is finished. */
    void removeIfFinished(PendingRequest pending) {
        if (pending.isFinished() && requestsById.remove(pending.id()) != null) {
            clientIds.remove(pending.clientId());
        }
    }

    /** Runs {@code task} on the event loop each time that no response is pending any more, now included. */
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

    /** How many requests have been accepted. */
    long accepted() {
        return accepted;
    }
}
