package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.Policy.Actions;

/** Sends attempts: asks who is a candidate, samples one of them, and records the attempt. */
final class AttemptDispatcher {
    private final ActiveSettings active;
    private final SubsetSelector selector;
    private final ServerSampler sampler;
    private final QueueEstimator queues;
    private final AccomplishmentRanking ranking;

    AttemptDispatcher(
            ActiveSettings active,
            SubsetSelector selector,
            ServerSampler sampler,
            QueueEstimator queues,
            AccomplishmentRanking ranking) {
        this.active = active;
        this.selector = selector;
        this.sampler = sampler;
        this.queues = queues;
        this.ranking = ranking;
    }

    /** Sends an attempt if the request may run now and there is a server for it; returns whether it did. */
    boolean dispatch(RequestState request, long now, Actions out) {
        if (!SequencedKeys.mayRun(request, now)) {
            return false;
        }
        List<ServerState> candidates = selector.candidates(request, now);
        if (candidates.isEmpty()) {
            return false;
        }
        send(request, sampler.select(candidates, now, out), now, out);
        return true;
    }

    /** Sends another attempt to a server that has had none of the request, if there is one; paid by the budget. */
    void hedge(RequestState request, RetryBudget budget, long now, Actions out) {
        List<ServerState> candidates = selector.candidates(request, now);
        candidates.removeIf(request::wasSentTo);
        if (!candidates.isEmpty()) {
            budget.consume();
            send(request, sampler.select(candidates, now, out), now, out);
        }
    }

    private void send(RequestState request, ServerState server, long now, Actions out) {
        boolean repeats = request.isKeyed() && request.firstThatMayHaveRun() != null;
        long sendWithin = repeats ? request.deduplicationTimeLeft(now, active.tickMicros()) : 0;
        AttemptState attempt = new AttemptState(server, request, now);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        server.attempts.add(attempt);
        queues.attemptSent(server);
        ranking.recordDispatch(server);
        SlowStart.recordDispatch(server);
        long timeout = TimeoutPolicy.timeoutMicros(request, now);
        if (repeats) { // connecting may take longer than the servers drop repeats for
            out.send(request.id, server.server.id(), timeout, sendWithin);
        } else {
            out.send(request.id, server.server.id(), timeout);
        }
    }
}
