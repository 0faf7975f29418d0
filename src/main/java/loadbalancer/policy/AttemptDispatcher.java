package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.Policy.Actions;

/** Sends attempts: asks who is a candidate, samples one of them, and records the attempt. */
final class AttemptDispatcher {
    private final ActiveSettings activeSettings;
    private final SubsetSelector subsetSelector;
    private final ServerSampler sampler;
    private final QueueEstimator queueEstimator;
    private final AccomplishmentRanking ranking;

    AttemptDispatcher(
            ActiveSettings activeSettings,
            SubsetSelector subsetSelector,
            ServerSampler sampler,
            QueueEstimator queueEstimator,
            AccomplishmentRanking ranking) {
        this.activeSettings = activeSettings;
        this.subsetSelector = subsetSelector;
        this.sampler = sampler;
        this.queueEstimator = queueEstimator;
        this.ranking = ranking;
    }

    /** Sends an attempt if the request may run now and there is a server for it; returns whether it did. */
    boolean dispatch(RequestState request, long nowMicros, Actions actions) {
        if (!SequencedKeys.mayRun(request, nowMicros)) {
            return false;
        }
        List<ServerState> candidates = subsetSelector.candidates(request, nowMicros);
        if (candidates.isEmpty()) {
            return false;
        }
        send(request, sampler.select(candidates, nowMicros, actions), nowMicros, actions);
        return true;
    }

    /** Sends another attempt to a server that has had none of the request, if there is one; paid by the budget. */
    void hedge(RequestState request, RetryBudget retryBudget, long nowMicros, Actions actions) {
        List<ServerState> candidates = subsetSelector.candidates(request, nowMicros);
        candidates.removeIf(request::wasSentTo);
        if (!candidates.isEmpty()) {
            retryBudget.consume();
            send(request, sampler.select(candidates, nowMicros, actions), nowMicros, actions);
        }
    }

    private void send(RequestState request, ServerState server, long nowMicros, Actions actions) {
        boolean isRepeat = request.isKeyed() && request.firstThatMayHaveRun() != null;
        long sendWithinMicros =
                isRepeat ? request.deduplicationTimeLeftMicros(nowMicros, activeSettings.sweepIntervalMicros()) : 0;
        AttemptState attempt = new AttemptState(server, request, nowMicros);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        server.attempts.add(attempt);
        queueEstimator.attemptSent(server);
        ranking.recordDispatch(server);
        SlowStart.recordDispatch(server);
        long timeoutMicros = TimeoutPolicy.timeoutMicros(request, nowMicros);
        if (isRepeat) { // connecting may take longer than the servers drop repeats for
            actions.send(request.id, server.endpoint.id(), timeoutMicros, sendWithinMicros);
        } else {
            actions.send(request.id, server.endpoint.id(), timeoutMicros);
        }
    }
}
