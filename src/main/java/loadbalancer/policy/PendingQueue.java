package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import loadbalancer.policy.Policy.Actions;

/**
 * Requests for which no server may be used now: those of normal priority first, then those of low priority, each by
 * the time of their latest start. In order of arrival, requests with a short objective ran out of time in the queue.
 */
final class PendingQueue {
    private final ActiveSettings active;
    private final List<RequestState> normalPriority = new ArrayList<>();
    private final List<RequestState> lowPriority = new ArrayList<>();

    PendingQueue(ActiveSettings active) {
        this.active = active;
    }

    /** Adds a request, if it is not pending already; false if its time is all but over and it must be finished. */
    boolean offer(RequestState request, long now) {
        if (now >= lastResponseTime(request)) {
            return false;
        }
        if (!request.pending) {
            request.pending = true;
            List<RequestState> queue = queueOf(request);
            int index = queue.size();
            while (index > 0 && queue.get(index - 1).latestStart() > request.latestStart()) {
                index--;
            }
            queue.add(index, request);
        }
        return true;
    }

    void remove(RequestState request) {
        if (request.pending) {
            request.pending = false;
            queueOf(request).remove(request);
        }
    }

    /** Sends what can be sent now, in the order of the queue. */
    void drain(AttemptDispatcher dispatcher, long now, Actions out) {
        if (drain(normalPriority, dispatcher, now, out)) {
            drain(lowPriority, dispatcher, now, out);
        }
    }

    // Returns false where no server is free for any request, so that there is no need to look at the others.
    private static boolean drain(List<RequestState> queue, AttemptDispatcher dispatcher, long now, Actions out) {
        Iterator<RequestState> requests = queue.iterator();
        while (requests.hasNext()) {
            RequestState request = requests.next();
            if (request.closed || dispatcher.dispatch(request, now, out)) {
                request.pending = false;
                requests.remove();
            } else if (anyServerWouldDo(request)) {
                return false;
            }
        }
        return true;
    }

    private static boolean anyServerWouldDo(RequestState request) {
        return request.attempts.isEmpty() && request.sequence == null && request.isPermittedEverywhere();
    }

    /**
     * Rule 1: removes the requests that must be finished now, in time for the response; those without an attempt as
     * soon as they can't be finished within their objective.
     */
    List<RequestState> removeExpired(long now) {
        List<RequestState> expired = new ArrayList<>();
        addExpired(normalPriority, now, expired);
        addExpired(lowPriority, now, expired);
        for (RequestState request : expired) {
            remove(request);
        }
        return expired;
    }

    private void addExpired(List<RequestState> queue, long now, List<RequestState> expired) {
        for (RequestState request : queue) {
            long expiry = lastResponseTime(request);
            if (request.attempts.isEmpty()) {
                expiry = Math.min(expiry, request.latestStart());
            }
            if (now >= expiry) {
                expired.add(request);
            }
        }
    }

    // The last sweep but one before the deadline.
    private long lastResponseTime(RequestState request) {
        return request.deadline - 2 * active.tickMicros();
    }

    private List<RequestState> queueOf(RequestState request) {
        return request.lowPriority ? lowPriority : normalPriority;
    }
}
