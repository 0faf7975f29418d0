package loadbalancer.policy;

import java.util.List;
import java.util.function.Predicate;
import loadbalancer.policy.Policy.Actions;

/** Sends attempts: determines the candidates, samples one of them and records the attempt. */
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

    /** Sends an attempt if the request may run now and a server is available; returns whether an attempt was sent. */
    boolean dispatch(RequestState request, long nowMicros, Actions actions) {
        return SequencedKeys.mayRun(request, nowMicros)
                && sendUnless(request::isInFlightAt, request, nowMicros, actions);
    }

    /**
     * Sends an additional attempt to a server that has had none of the request's attempts, if there is such a server,
     * and charges the retry budget for the attempt.
     */
    void hedge(RequestState request, RetryBudget retryBudget, long nowMicros, Actions actions) {
        if (sendUnless(request::wasSentTo, request, nowMicros, actions)) {
            retryBudget.consume();
        }
    }

    private boolean sendUnless(Predicate<ServerState> excluded, RequestState request, long nowMicros, Actions actions) {
        List<ServerState> candidates = subsetSelector.candidates(request, nowMicros);
        candidates.removeIf(excluded);
        if (candidates.isEmpty()) {
            return false;
        }
        send(request, sampler.select(candidates, nowMicros, actions), nowMicros, actions);
        return true;
    }

    private void send(RequestState request, ServerState server, long nowMicros, Actions actions) {
        boolean isRepeat = request.isKeyed() && request.firstThatMayHaveRun() != null;
        AttemptState attempt = new AttemptState(server, request, nowMicros);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        server.attempts.add(attempt);
        queueEstimator.attemptSent(server);
        ranking.recordDispatch(server);
        SlowStart.recordDispatch(server);
        long timeoutMicros = TimeoutPolicy.timeoutMicros(request, nowMicros);
        if (isRepeat) { // connecting may take longer than the time for which servers drop repeats
            long sendWithinMicros =
                    request.deduplicationTimeLeftMicros(nowMicros, activeSettings.sweepIntervalMicros());
            actions.send(request.id, server.endpoint.id(), timeoutMicros, sendWithinMicros);
        } else {
            actions.send(request.id, server.endpoint.id(), timeoutMicros);
        }
    }
}
