package loadbalancer.policy;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The policy of one balancer: JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems") with
 * admission control, retries, hedging, outlier detection and slow start. This class handles the events and composes the
 * parts; each part makes one decision and documents its reasons:
 *
 * <ul>
 *   <li>whether a request is admitted: {@link AdmissionController}, {@link TenantQuotas};
 *   <li>which servers are candidates: {@link EndpointSet}, {@link SubsetSelector} with {@link HashRing} and
 *       {@link KeyAffinity}, {@link SlowStart}, {@link OutlierDetector};
 *   <li>which candidate is chosen, the paper's mechanism: {@link AccomplishmentRanking}, {@link ServerSampler},
 *       {@link QueueEstimator};
 *   <li>when an attempt is sent, repeated or given up: {@link PendingQueue}, {@link SequencedKeys},
 *       {@link AttemptDispatcher}, {@link RetryBudget}, {@link HedgingPolicy}, {@link TimeoutPolicy};
 *   <li>what is learned from the outcomes: {@link OutcomeRecorder}.
 * </ul>
 *
 * <p>The same settings, seed and events give the same actions. docs/design.md has a paragraph on each rule.
 */
public final class JsqDasPolicy implements Policy {
    /** Interval between two refreshes over all servers, and between two wakes while no request is open. */
    private static final long REFRESH_MICROS = 100_000;

    private static final int NO_FORMER_INDEX = -1;

    private final ActiveSettings activeSettings;
    private final SplittableRandom random;
    private final OperatorLog log = new OperatorLog();
    private final DecayScale decayScale = new DecayScale();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final ClassLatencies latencies = new ClassLatencies();

    private final AdmissionController admission;
    private final TenantQuotas quotas;

    private final HashRing ring;
    private final EndpointSet endpoints;
    private final DiscoverySubscription subscription;
    private final KeyAffinity keyAffinity = new KeyAffinity(decayScale, arrivalRate);
    private final SlowStart slowStart;
    private final OutlierDetector outlierDetector;
    private final SubsetSelector subsetSelector;

    private final AccomplishmentRanking ranking = new AccomplishmentRanking(decayScale);
    private final QueueEstimator queueEstimator;
    private final AttemptDispatcher dispatcher;
    private final OutcomeRecorder outcomeRecorder;

    private final RetryBudget retryBudget = new RetryBudget();
    private final HedgingPolicy hedging = new HedgingPolicy(retryBudget, arrivalRate);
    private final SequencedKeys sequencedKeys = new SequencedKeys();
    private final PendingQueue pendingQueue;
    /** Requests that await their final response or have attempts in flight, by id. */
    private final Map<String, RequestState> requests = new LinkedHashMap<>();

    /** Time of the last update of decaying statistics. */
    private long updatedAtMicros;

    private long refreshAtMicros;
    /** The earliest wake that has been requested. */
    private long wakeAtMicros = Long.MAX_VALUE;

    /** Creates a policy; the same settings, seed and events give the same actions. */
    public JsqDasPolicy(Settings settings, long seed) {
        activeSettings = new ActiveSettings(settings);
        random = new SplittableRandom(seed);
        admission = new AdmissionController(activeSettings, random);
        quotas = new TenantQuotas(activeSettings, random);
        ring = new HashRing(settings.rank(), settings.balancers());
        endpoints = new EndpointSet(random, ring);
        subscription = new DiscoverySubscription(activeSettings, random, log);
        slowStart = new SlowStart(activeSettings, decayScale);
        outlierDetector = new OutlierDetector(activeSettings, endpoints, ranking, decayScale, random, log);
        subsetSelector = new SubsetSelector(
                activeSettings, endpoints, ring, arrivalRate, keyAffinity, slowStart, outlierDetector);
        queueEstimator = new QueueEstimator(activeSettings, endpoints, latencies);
        ServerSampler sampler = new ServerSampler(random, ranking, queueEstimator);
        dispatcher = new AttemptDispatcher(activeSettings, subsetSelector, sampler, queueEstimator, ranking);
        outcomeRecorder = new OutcomeRecorder(outlierDetector, admission, decayScale, random);
        pendingQueue = new PendingQueue(activeSettings);
        apply(0, settings, noFormer(settings.classes()), noFormer(settings.tenants()));
        admission.start();
    }

    private static List<Integer> noFormer(List<?> entries) {
        return Collections.nCopies(entries.size(), NO_FORMER_INDEX);
    }

    @Override
    public void reload(
            long nowMicros,
            Settings settings,
            List<Integer> formerClasses,
            List<Integer> formerTenants,
            Actions actions) {
        apply(nowMicros, settings, formerClasses, formerTenants);
        wakeWithin(nowMicros, activeSettings.sweepIntervalMicros(), actions);
    }

    // Open requests keep the class, limits and latency statistics under which they were accepted.
    private void apply(long nowMicros, Settings settings, List<Integer> formerClasses, List<Integer> formerTenants) {
        activeSettings.reload(settings);
        latencies.reload(settings.classes(), formerClasses);
        admission.reload();
        quotas.reload(nowMicros, formerTenants);
    }

    @Override
    public void updateEndpoints(long nowMicros, ListKind kind, List<Server> servers, Actions actions) {
        if (wakeAtMicros == Long.MAX_VALUE) {
            quotas.start(nowMicros);
            updatedAtMicros = nowMicros;
            wakeWithin(nowMicros, activeSettings.sweepIntervalMicros(), actions);
        }
        if (kind == ListKind.FAILED) {
            subscription.listFailed(nowMicros, actions);
            return;
        }
        subscription.listReceived(nowMicros, kind, actions);
        endpoints.update(nowMicros, kind, servers);
        ranking.updateFastProportion(endpoints.upServers());
        pendingQueue.drain(dispatcher, nowMicros, actions);
    }

    @Override
    public void request(
            long nowMicros,
            String requestId,
            int classIndex,
            int tenantIndex,
            String key,
            long timeLeftMicros,
            long work,
            boolean resubmission,
            Actions actions) {
        Settings settings = activeSettings.settings();
        if (settings.warmKeys() && key != null && !resubmission) {
            keyAffinity.recordRequest(key);
        }
        arrivalRate.record(nowMicros, resubmission);
        quotas.recordArrival(tenantIndex, resubmission);
        RequestClass requestClass = settings.classes().get(classIndex);
        ClassLatency classLatency = latencies.of(classIndex);
        long ageMicros = classLatency.submissionAgeMicros(requestClass.deadlineMicros(), timeLeftMicros, resubmission);
        long stretchMicros = work > 0 ? (long) (requestClass.aimStretch() * work) : 0;
        long objectiveAtMicros = nowMicros + requestClass.aimMicros() + stretchMicros - ageMicros;
        RequestState request = new RequestState(
                requestId,
                classLatency,
                requestClass,
                settings.limits(),
                key == null ? 0 : Hashing.hash(key),
                new RequestState.Times(nowMicros, nowMicros + timeLeftMicros, objectiveAtMicros),
                quotas.exceedsQuota(tenantIndex, nowMicros));
        if (work > 0) {
            request.relativeWork = classLatency.recordWork(work);
        }
        requests.put(requestId, request);
        wakeWithin(nowMicros, activeSettings.sweepIntervalMicros(), actions);
        retryBudget.recordRequest();
        admit(request, key != null, nowMicros, actions);
    }

    private void admit(RequestState request, boolean hasKey, long nowMicros, Actions actions) {
        if (admission.shouldReject(request)) {
            if (log.isDue(nowMicros)) {
                log.write(nowMicros, admission.describe(), actions);
            }
            finish(request, actions);
            return;
        }
        if (request.requestClass.inOrder() && hasKey) {
            sequencedKeys.add(request);
        }
        if (!dispatcher.dispatch(request, nowMicros, actions) && !pendingQueue.offer(request, nowMicros)) {
            finish(request, actions);
        }
    }

    @Override
    public void outcome(
            long nowMicros,
            String requestId,
            int attemptIndex,
            Outcome outcome,
            long latencyMicros,
            boolean closed,
            Load load,
            Actions actions) {
        RequestState request = requests.get(requestId);
        if (request == null || attemptIndex >= request.attempts.size()) {
            return;
        }
        AttemptState ended = request.attempts.get(attemptIndex);
        if (!ended.inFlight) {
            return;
        }
        endAttempt(ended, outcome, nowMicros);
        QueueEstimator.recordReport(ended.target, load, nowMicros);
        outcomeRecorder.record(ended, outcome, latencyMicros, nowMicros, actions);
        if (closed) {
            close(request, actions);
        } else if (!request.closed && (request.attemptsInFlight == 0 || actions.awaitsConnection(requestId))) {
            retryOrFinish(request, outcome, nowMicros, actions);
        }
        removeIfDone(request);
        pendingQueue.drain(dispatcher, nowMicros, actions);
    }

    private void endAttempt(AttemptState attempt, Outcome outcome, long nowMicros) {
        RequestState request = attempt.request;
        attempt.inFlight = false;
        attempt.mayHaveRun = !outcome.neverRan();
        if (outcome.neverRan()) {
            hedging.recordRejectedAttempt();
        }
        request.attemptsInFlight--;
        queueEstimator.attemptEnded(attempt.target);
        SequencedKeys.attemptEnded(
                request,
                attempt,
                outcome,
                nowMicros,
                activeSettings.settings().bounds().orderPauseMicros());
    }

    // Attempts that are left wait for their connections, which may be established too late, or never.
    private void retryOrFinish(RequestState request, Outcome outcome, long nowMicros, Actions actions) {
        boolean mayRetry = mayRetry(request, outcome, nowMicros);
        if (mayRetry && !outcome.neverRan()) {
            retryBudget.consume();
        }
        boolean sent = mayRetry && dispatcher.dispatch(request, nowMicros, actions);
        if (!sent && request.attemptsInFlight == 0 && !(mayRetry && pendingQueue.offer(request, nowMicros))) {
            finish(request, actions);
        }
    }

    // Whether the class, the time left and the retry budget allow another attempt after a failed one.
    private boolean mayRetry(RequestState request, Outcome outcome, long nowMicros) {
        boolean mayNotRunAgain = !outcome.neverRan() && (request.isUnsafe() || !retryBudget.allowsRetry());
        if (outcome == Outcome.NOT_SENT || !request.hasAttemptsLeft() || mayNotRunAgain) {
            return false;
        }
        // Waiting gains nothing where the request may no longer be repeated.
        if (request.isKeyed()
                && request.firstThatMayHaveRun() != null
                && request.deduplicationTimeLeftMicros(nowMicros, activeSettings.sweepIntervalMicros()) <= 0) {
            return false;
        }
        return nowMicros + activeSettings.sweepIntervalMicros()
                < (request.isSafe() ? request.deadlineAtMicros : request.objectiveAtMicros);
    }

    @Override
    public void streamStarted(long nowMicros, String requestId, int attemptIndex, Actions actions) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            request.streaming = true;
        }
    }

    @Override
    public void clientDisconnected(long nowMicros, String requestId, Actions actions) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.closed) {
            close(request, actions);
            pendingQueue.remove(request);
            removeIfDone(request);
        }
    }

    @Override
    public void probeCompleted(
            long nowMicros, String serverId, Outcome outcome, long latencyMicros, Load load, Actions actions) {
        // No probes are sent: ejected servers are tried with requests.
    }

    private void finish(RequestState request, Actions actions) {
        request.closed = true;
        if (request.isHarmlessToResubmit()) {
            actions.reject(request.id, 0);
        } else {
            actions.fail(request.id);
        }
        removeIfDone(request);
    }

    // The client has its response or has disconnected: other attempts are cancelled where the settings allow it.
    private static void close(RequestState request, Actions actions) {
        request.closed = true;
        if (!request.limits.mayCancel() || request.streaming) {
            return;
        }
        for (int i = 0; i < request.attempts.size(); i++) {
            if (request.attempts.get(i).inFlight) {
                actions.cancel(request.id, i);
            }
        }
    }

    private void removeIfDone(RequestState request) {
        if (request.closed && request.attemptsInFlight == 0) {
            requests.remove(request.id);
            SequencedKeys.remove(request);
        }
    }

    @Override
    public void wake(long nowMicros, Actions actions) {
        if (nowMicros < wakeAtMicros) {
            return; // superseded by an earlier wake that was requested later
        }
        wakeAtMicros = Long.MAX_VALUE;
        try {
            sweep(nowMicros, actions);
        } finally { // the next wake is requested even after an exception
            wakeWithin(nowMicros, requests.isEmpty() ? REFRESH_MICROS : activeSettings.sweepIntervalMicros(), actions);
        }
    }

    private void sweep(long nowMicros, Actions actions) {
        update(nowMicros);
        pendingQueue.drain(dispatcher, nowMicros, actions);
        for (RequestState expired : pendingQueue.removeExpired(nowMicros)) {
            finish(expired, actions);
        }
        if (admission.allowsHedging()) {
            hedge(nowMicros, actions);
        }
        subscription.subscribeIfDue(nowMicros, actions);
    }

    private void hedge(long nowMicros, Actions actions) {
        boolean serversLackCapacity = hedging.serversLackCapacity();
        for (RequestState request : requests.values()) {
            if (hedging.isDue(request, serversLackCapacity, nowMicros)) {
                dispatcher.hedge(request, retryBudget, nowMicros, actions);
            }
        }
    }

    private void wakeWithin(long nowMicros, long delayMicros, Actions actions) {
        if (nowMicros + delayMicros < wakeAtMicros) {
            wakeAtMicros = nowMicros + delayMicros;
            actions.wakeAfter(delayMicros);
        }
    }

    // Brings decaying statistics up to date.
    private void update(long nowMicros) {
        long elapsedMicros = nowMicros - updatedAtMicros;
        double decayFactor = Math.exp(-elapsedMicros / DecayScale.TIME_CONSTANT_MICROS);
        decayScale.decay(decayFactor);
        arrivalRate.decay(decayFactor);
        hedging.decay(decayFactor);
        quotas.decay(decayFactor);
        if (nowMicros >= refreshAtMicros) {
            refresh(nowMicros);
        }
        latencies.refreshShortest();
        queueEstimator.update(elapsedMicros);
        admission.update(nowMicros, elapsedMicros, decayFactor);
        updatedAtMicros = nowMicros;
    }

    // Work that visits all servers, at an interval of its own so that the work of each wake does not grow with the
    // fleet: with counts decayed at each wake, a balancer of 200 servers did more work while idle than for requests.
    private void refresh(long nowMicros) {
        subsetSelector.refresh(nowMicros);
        slowStart.refresh(ring.homeOrder(), nowMicros);
        outlierDetector.refresh(nowMicros);
        sequencedKeys.removeIdle(nowMicros);
        keyAffinity.removeRare();
        if (decayScale.mustRescale()) {
            rescale();
        }
        refreshAtMicros = nowMicros + REFRESH_MICROS;
    }

    private void rescale() {
        for (ServerState server : endpoints.all()) {
            server.accomplishment /= decayScale.unit();
            server.successes /= decayScale.unit();
            server.failures /= decayScale.unit();
        }
        keyAffinity.clear();
        decayScale.reset();
    }
}
