package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Every decision of one balancer. The module's interface, its events, actions and types, is Policy.java;
 * what it writes down, plain data, is in PolicyState.java.
 *
 * <p>The ordinary path is JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems"): see
 * {@link #draw}. All else says which servers are candidates for it (the exceptions), when a request is sent,
 * held, sent again or given up, and keeps the books. docs/design.md has a paragraph on each exception.
 */
public final class JsqDasPolicy implements Policy {
    private static final double QUICK = 2e6;            // µs, the same for the rate of answers
    private static final double HEDGE_FULL = 0.02;      // safe ones' hedges rest while more is turned away
    private static final double LATE_WORTH = 0.5;       // a late answer that earns less is given up
    private static final long REFRESH = 100_000;        // µs between looks at all servers

    private final ActiveSettings active;
    private final SplittableRandom random;
    private final OperatorLog log = new OperatorLog();
    private final DecayScale scale = new DecayScale();
    private final ArrivalRate arrivals = new ArrivalRate();
    private final ClassLatencies latencies = new ClassLatencies();
    private final RetryBudget retryBudget = new RetryBudget();
    private final SequencedKeys sequencedKeys = new SequencedKeys();
    private final AdmissionController admission;
    private final TenantQuotas quotas;
    private final DiscoverySubscription subscription;
    private final AccomplishmentRanking ranking = new AccomplishmentRanking(scale);
    private final KeyAffinity keys = new KeyAffinity(scale, arrivals);
    private final HashRing ring;
    private final EndpointSet endpoints;
    private final QueueEstimator queues;
    private final ServerSampler sampler;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final SubsetSelector selector;
    private final Map<String, RequestState> open = new LinkedHashMap<>();
    // in share, over share
    private final List<List<RequestState>> held = List.of(new ArrayList<>(), new ArrayList<>());
    private double turnedAway;                          // faded attempts that no server took
    private long fadedAt;
    private long refreshAt;
    private long wakeAt = Long.MAX_VALUE;

    public JsqDasPolicy(Settings settings, long seed) {
        this.active = new ActiveSettings(settings);
        this.random = new SplittableRandom(seed);
        this.admission = new AdmissionController(active, random);
        this.quotas = new TenantQuotas(active, random);
        this.subscription = new DiscoverySubscription(active, random, log);
        this.ring = new HashRing(settings.rank(), settings.balancers());
        this.endpoints = new EndpointSet(random, ring);
        this.queues = new QueueEstimator(active, endpoints, latencies);
        this.sampler = new ServerSampler(random, ranking, queues);
        this.slowStart = new SlowStart(active, scale);
        this.outliers = new OutlierDetector(active, endpoints, ranking, scale, random, log);
        this.selector = new SubsetSelector(active, endpoints, ring, arrivals, keys, slowStart, outliers);
        tune(0, settings, Collections.nCopies(settings.classes().size(), -1),
            Collections.nCopies(settings.tenants().size(), -1));
        admission.start();
    }

    // All that follows from the settings. What is open holds its class's own record, and is not touched.
    private void tune(long now, Settings to, List<Integer> formerClasses, List<Integer> formerTenants) {
        active.reload(to);
        latencies.reload(to.classes(), formerClasses);
        admission.reload();
        quotas.reload(now, formerTenants);
    }

    @Override
    public void reload(long now, Settings to, List<Integer> formerClasses, List<Integer> formerTenants,
            Actions out) {
        tune(now, to, formerClasses, formerTenants);
        wakeBy(now, active.tickMicros(), out);
    }

    // What needs a look at all servers. Guards against work for each wake that grows with the fleet: with
    // counts that faded at each wake a balancer of 200 servers spent more on its sleep than on requests.
    private void refresh(long now) {
        selector.refresh(now);
        slowStart.refresh(ring.homeOrder(), now);
        outliers.refresh(now);
        sequencedKeys.removeIdle(now);
        keys.removeRare();
        if (scale.mustRescale()) {
            for (ServerState n : endpoints.all()) {
                n.accomplishment /= scale.unit();
                n.successes /= scale.unit();
                n.failures /= scale.unit();
            }
            keys.clear();
            scale.reset();
        }
        refreshAt = now + REFRESH;
    }

    // ---------------------------------------------------------------- requests

    @Override
    public void request(long now, String id, int requestClass, int tenant, String key, long timeLeft,
            long work, boolean resubmission, Actions out) {
        RequestClass kind = active.settings().classes().get(requestClass);
        if (active.settings().warmKeys() && key != null && !resubmission) {
            keys.recordRequest(key);
        }
        arrivals.record(now, resubmission);
        quotas.recordArrival(tenant, resubmission);
        long aim = kind.aim() + (work > 0 ? (long) (kind.aimStretch() * work) : 0);
        ClassLatency latency = latencies.of(requestClass);
        long elapsed = latency.elapsedSinceFirstSubmission(kind.deadline(), timeLeft, resubmission);
        RequestState r = new RequestState(id, latency, kind, active.settings().limits(), key == null ? 0 : Hashing.hash(key),
            new RequestState.Times(now, now + timeLeft, now + aim - elapsed), quotas.exceedsQuota(tenant, now));
        open.put(id, r);
        if (work > 0) {
            r.relativeWork = latency.recordWork(work);
        }
        wakeBy(now, active.tickMicros(), out);
        retryBudget.recordRequest();
        if (admission.shouldReject(r)) {
            if (log.isDue(now)) { // the text is not made up for each of many rejections
                log.write(now, admission.describe(), out);
            }
            finish(r, now, out);
            return;
        }
        if (kind.inOrder() && key != null) {
            sequencedKeys.add(r);
        }
        if (!place(r, now, out)) {
            hold(r, now, out);
        }
    }

    // Keeps a request for which no server may be used now; one whose time is all but over is answered.
    private void hold(RequestState r, long now, Actions out) {
        if (now >= r.deadline - 2 * active.tickMicros()) {
            finish(r, now, out);
        } else if (!r.pending) {
            r.pending = true;
            List<RequestState> queue = held.get(r.lowPriority ? 1 : 0);
            int i = queue.size();
            while (i > 0 && queue.get(i - 1).latestStart() > r.latestStart()) {
                i--;                    // the most urgent first: short aims ran out in the queue
            }
            queue.add(i, r);
        }
    }

    private void unhold(RequestState r) {
        if (r.pending) {
            r.pending = false;
            held.get(r.lowPriority ? 1 : 0).remove(r);
        }
    }

    private boolean place(RequestState r, long now, Actions out) {
        List<ServerState> candidates = SequencedKeys.mayRun(r, now) ? selector.candidates(r, now) : List.of();
        if (candidates.isEmpty()) {
            return false;
        }
        send(r, sampler.select(candidates, now, out), now, out);
        return true;
    }

    private void send(RequestState r, ServerState n, long now, Actions out) {
        boolean repeats = r.firstThatMayHaveRun() != null && r.requestClass.effect() == Effect.KEYED;
        long within = repeats ? r.deduplicationTimeLeft(now, active.tickMicros()) : 0;
        AttemptState a = new AttemptState(n, r, now);
        r.attempts.add(a);
        r.attemptsInFlight++;
        n.attempts.add(a);
        queues.attemptSent(n);
        ranking.recordDispatch(n);
        SlowStart.recordDispatch(n);
        if (repeats) {              // its connection may take longer to come up than repeats are dropped for
            out.send(r.id, n.server.id(), timeout(r, now), within);
        } else {
            out.send(r.id, n.server.id(), timeout(r, now));
        }
    }

    // What is not safe to repeat is given up at its aim, where a late answer earns little: its client won't
    // come again, and waiting work dropped then makes room for work that can be in time. What is safe would
    // come back; it leaves room for another attempt where copies are forbidden, and is not cut otherwise.
    private long timeout(RequestState r, long now) {
        if (r.requestClass.streamed()) {
            return 0;
        }
        if (r.requestClass.effect() != Effect.SAFE) {
            return r.requestClass.lateShare() < LATE_WORTH && r.objectiveAt > now ? r.objectiveAt - now : 0;
        }
        if (r.limits.mayDuplicate() || r.attempts.size() >= r.limits.maxAttempts()) {
            return 0;
        }
        long patience = Math.max((r.deadline - now) / 2, (long) (3 * r.latency.typicalMicros()));
        return Math.max(1, Math.min(r.deadline - now, patience));
    }

    // Sends held requests as servers come free, those within their share first.
    private void drainHeld(long now, Actions out) {
        for (List<RequestState> queue : held) {
            Iterator<RequestState> i = queue.iterator();
            while (i.hasNext()) {
                RequestState r = i.next();
                if (r.closed || place(r, now, out)) {
                    r.pending = false;
                    i.remove();
                } else if (r.attempts.isEmpty() && r.sequence == null && r.requestClass.zones().isEmpty()
                        && r.requestClass.machineKinds().isEmpty()) {
                    return;         // any server would do for this one: none is free
                }
            }
        }
    }

    private void finish(RequestState r, long now, Actions out) {
        r.closed = true;
        if (r.isHarmlessToResubmit()) {
            out.reject(r.id, 0);
        } else {
            out.fail(r.id);
        }
        forget(r);
    }

    private void forget(RequestState r) {
        if (r.closed && r.attemptsInFlight == 0) {
            open.remove(r.id);
            SequencedKeys.remove(r);
        }
    }

    @Override
    public void outcome(long now, String id, int attempt, Outcome outcome, long latency, boolean closed,
            Load load, Actions out) {
        RequestState r = open.get(id);
        if (r == null || attempt >= r.attempts.size() || !r.attempts.get(attempt).inFlight) {
            return;
        }
        AttemptState a = r.attempts.get(attempt);
        a.inFlight = false;
        a.mayHaveRun = !outcome.neverRan();
        turnedAway += outcome.neverRan() ? 1 : 0;
        r.attemptsInFlight--;
        queues.attemptEnded(a.target);
        SequencedKeys.attemptEnded(r, a, outcome, now, active.settings().bounds().orderPause());
        QueueEstimator.recordReport(a.target, load, now);
        learn(a, outcome, latency, now, out);
        if (closed) {
            close(r, out);
        } else if (!r.closed && r.attemptsInFlight == 0) {
            again(r, outcome, now, out);
        }
        forget(r);
        drainHeld(now, out);
    }

    private void close(RequestState r, Actions out) {
        r.closed = true;
        for (int i = 0; i < r.attempts.size(); i++) {
            if (r.attempts.get(i).inFlight && r.limits.mayCancel() && !r.streaming) {
                out.cancel(r.id, i);
            }
        }
    }

    // After a failed attempt: another one, if the class, the deadline and the retry budget allow it.
    private void again(RequestState r, Outcome outcome, long now, Actions out) {
        boolean allowed = outcome.neverRan() || r.requestClass.effect() != Effect.UNSAFE && retryBudget.allowsRetry();
        // Nothing can be won by holding what may not be repeated any more.
        allowed &= r.requestClass.effect() != Effect.KEYED || r.firstThatMayHaveRun() == null
            || r.deduplicationTimeLeft(now, active.tickMicros()) > 0;
        if (!allowed || outcome == Outcome.NOT_SENT || r.attempts.size() >= r.limits.maxAttempts()
            || now >= (r.requestClass.effect() == Effect.SAFE ? r.deadline : r.objectiveAt) - active.tickMicros()) {
            finish(r, now, out);
            return;
        }
        if (!outcome.neverRan()) {
            retryBudget.consume();
        }
        if (!place(r, now, out)) {
            hold(r, now, out);
        }
    }

    // Hedging: a request that may be repeated and has waited longer than nearly all do for such work gets a
    // copy elsewhere. Guards against silence of any cause: lost answers, stalls, connections dropped unseen.
    // It draws on the budget of the retries and rests while requests are turned away, so that it can't feed
    // an overload; it might hurt where all servers slow down at once, by the budget's share at most. A keyed
    // request goes to the group that drops repeats, and early: it is given up at its aim, and its client may
    // not come again. A fleet of 60 lost a fifth of its dearest class to queues that one balancer can't see.
    private void hedge(RequestState r, boolean crowded, long now, Actions out) {
        boolean safe = r.requestClass.effect() == Effect.SAFE;
        if (r.attemptsInFlight != 1 || r.closed || r.streaming || r.requestClass.effect() == Effect.UNSAFE || safe && crowded
            || now >= r.objectiveAt || r.attempts.size() >= r.limits.maxAttempts()
            || !r.limits.mayDuplicate() || !retryBudget.allowsHedge()) {
            return;
        }
        double expected = r.latency.typicalMicros() * r.relativeWork;
        double room = safe ? r.objectiveAt - r.arrivedAt - 2 * expected : 0;
        double patience = Math.max(expected, room);
        if (now - r.attempts.get(r.attempts.size() - 1).sentAt < patience) {
            return;
        }
        List<ServerState> others = selector.candidates(r, now);
        others.removeIf(n -> r.wasSentTo(n));
        if (!others.isEmpty()) {
            retryBudget.consume();
            send(r, sampler.select(others, now, out), now, out);
        }
    }

    @Override
    public void streamStarted(long now, String id, int attempt, Actions out) {
        RequestState r = open.get(id);
        if (r != null) {
            r.streaming = true;
        }
    }

    @Override
    public void clientDisconnected(long now, String id, Actions out) {
        RequestState r = open.get(id);
        if (r != null && !r.closed) {
            close(r, out);
            unhold(r);
            forget(r);
        }
    }

    // ---------------------------------------------------------------- health and limits

    private void learn(AttemptState a, Outcome outcome, long latency, long now, Actions out) {
        ServerState n = a.target;
        RequestClass kind = a.request.requestClass;
        ClassLatency of = a.request.latency;
        double usually = of.typicalMicros() * a.request.relativeWork;
        switch (outcome) {
            case OK -> {
                n.successes += scale.unit();
                n.lastSuccessAt = now;
                QueueEstimator.recordSlowness(n, latency / usually, now);
                of.recordLatency(latency);
                outliers.recordSuccess(n, now, out);
                admission.recordLoad(latency / (double) kind.aim(), now);
            }
            case CANCELLED -> {         // the copy came first, or the client left
                if (latency > 2 * usually) {    // its server may well be at it still
                    outliers.recordFailure(n, 0, (long) (2 * of.typicalMicros()), now, out);
                    QueueEstimator.recordSlowness(n, Math.max(QueueEstimator.slowness(n, now), latency / usually), now);
                }
            }
            case NOT_SENT -> { }
            case FULL -> {
                // A hung server fills up and then only turns away: without answers that is no mere overload.
                outliers.recordFailure(n, now - n.lastSuccessAt > QUICK ? 0.5 : 0, (long) of.typicalMicros(), now, out);
                // It answers in no time, so it would win again and again while its queue is longest of all.
                n.fullUntil = now + (long) (of.typicalMicros() * (0.5 + random.nextDouble()));
                admission.recordFullServer(now);
            }
            // A time-out may be the fault of the load: it takes more of them.
            case TIMEOUT -> {
                QueueEstimator.recordSlowness(n, latency / usually, now);
                admission.recordTimeout(now);
                outliers.recordFailure(n, 0.5, (long) (2 * of.typicalMicros()), now, out);
            }
            default -> outliers.recordFailure(n, 1, (long) (2 * of.typicalMicros()), now, out);
        }
    }

    @Override
    public void probeCompleted(long now, String server, Outcome outcome, long latency, Load load, Actions out) { }

    // ---------------------------------------------------------------- time

    @Override
    public void wake(long now, Actions out) {
        if (now < wakeAt) {
            return;                     // asked for before an earlier one was
        }
        wakeAt = Long.MAX_VALUE;
        double keep = Math.exp(-(now - fadedAt) / DecayScale.TIME_CONSTANT_MICROS);
        scale.decay(keep);
        arrivals.decay(keep);
        turnedAway *= keep;
        quotas.decay(keep);
        if (now >= refreshAt) {
            refresh(now);
        }
        latencies.refreshShortest();
        queues.update(now - fadedAt);
        admission.update(now, now - fadedAt, keep);
        fadedAt = now;
        drainHeld(now, out);
        for (List<RequestState> queue : held) {
            for (RequestState r : new ArrayList<>(queue)) {
                sweep(r, now, out);
            }
        }
        if (admission.allowsHedging()) {
            boolean crowded = turnedAway > HEDGE_FULL * arrivals.arrivals();
            open.values().forEach(r -> hedge(r, crowded, now, out));
        }
        subscription.subscribeIfDue(now, out);
        wakeBy(now, open.isEmpty() ? REFRESH : active.tickMicros(), out);
    }

    private void wakeBy(long now, long delay, Actions out) {
        if (now + delay < wakeAt) {
            wakeAt = now + delay;
            out.wakeAfter(delay);
        }
    }

    // Rule 1: answers held requests in time, new ones as soon as they can't be answered within their aim.
    private void sweep(RequestState r, long now, Actions out) {
        long until = r.deadline - 2 * active.tickMicros();
        if (now >= (r.attempts.isEmpty() ? Math.min(until, r.latestStart()) : until)) {
            unhold(r);
            finish(r, now, out);
        }
    }

    // ---------------------------------------------------------------- membership

    @Override
    public void updateEndpoints(long now, ListKind kind, List<Server> servers, Actions out) {
        if (wakeAt == Long.MAX_VALUE) {
            quotas.start(now);
            fadedAt = now;
            wakeBy(now, active.tickMicros(), out);
        }
        if (kind == ListKind.FAILED) {
            subscription.listFailed(now, out);
            return;
        }
        subscription.listReceived(now, kind, out);
        endpoints.update(now, kind, servers);
        ranking.updateFastProportion(endpoints.listed());
        drainHeld(now, out);
    }
}
