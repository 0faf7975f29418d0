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
    private final ActiveSettings activeSettings;
    private final List<RequestState> normalPriority = new ArrayList<>();
    private final List<RequestState> lowPriority = new ArrayList<>();

    PendingQueue(ActiveSettings activeSettings) {
        this.activeSettings = activeSettings;
    }

    /** Adds a request, if it is not pending already; false if its time is all but over and it must be finished. */
    boolean offer(RequestState request, long nowMicros) {
        if (nowMicros >= latestFinishAtMicros(request)) {
            return false;
        }
        if (!request.pending) {
            request.pending = true;
            List<RequestState> queue = queueOf(request);
            int index = queue.size();
            while (index > 0 && queue.get(index - 1).latestStartAtMicros() > request.latestStartAtMicros()) {
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
    void drain(AttemptDispatcher dispatcher, long nowMicros, Actions actions) {
        if (drain(normalPriority, dispatcher, nowMicros, actions)) {
            drain(lowPriority, dispatcher, nowMicros, actions);
        }
    }

    // Returns false where no server is free for any request, so that there is no need to look at the others.
    private static boolean drain(
            List<RequestState> queue, AttemptDispatcher dispatcher, long nowMicros, Actions actions) {
        Iterator<RequestState> requests = queue.iterator();
        while (requests.hasNext()) {
            RequestState request = requests.next();
            if (request.closed || dispatcher.dispatch(request, nowMicros, actions)) {
                request.pending = false;
                requests.remove();
            } else if (isUnconstrained(request)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isUnconstrained(RequestState request) {
        return request.attempts.isEmpty() && request.sequencedKey == null && request.isPermittedEverywhere();
    }

    /**
     * Rule 1: removes the requests that must be finished now, in time for the response; those without an attempt as
     * soon as they can't be finished within their objective.
     */
    List<RequestState> removeExpired(long nowMicros) {
        List<RequestState> expired = new ArrayList<>();
        addExpired(normalPriority, nowMicros, expired);
        addExpired(lowPriority, nowMicros, expired);
        for (RequestState request : expired) {
            remove(request);
        }
        return expired;
    }

    private void addExpired(List<RequestState> queue, long nowMicros, List<RequestState> expired) {
        for (RequestState request : queue) {
            long expiresAtMicros = latestFinishAtMicros(request);
            if (request.attempts.isEmpty()) {
                expiresAtMicros = Math.min(expiresAtMicros, request.latestStartAtMicros());
            }
            if (nowMicros >= expiresAtMicros) {
                expired.add(request);
            }
        }
    }

    // The last sweep but one before the deadline.
    private long latestFinishAtMicros(RequestState request) {
        return request.deadlineAtMicros - 2 * activeSettings.sweepIntervalMicros();
    }

    private List<RequestState> queueOf(RequestState request) {
        return request.lowPriority ? lowPriority : normalPriority;
    }
}
