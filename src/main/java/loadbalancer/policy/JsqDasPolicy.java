package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Every decision of one balancer. The module's interface, its events, actions and types, is Policy.java;
 * what it writes down, plain data, is in PolicyState.java.
 *
 * <p>The ordinary path is JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems"): see
 * {@link #draw}. All else says which servers are candidates for it (the exceptions), when a request is sent,
 * held, sent again or given up, and keeps the books. docs/design.md has a paragraph on each exception.
 */
public final class JsqDasPolicy implements Policy {
    // Mechanism. D, A: the paper's defaults. Counts fade so that a slowed server loses its rank in seconds.
    private static final int D = 4;
    private static final int A = 2;
    private static final double QUICK = 2e6;            // µs, the same for the rate of answers
    private static final double STALE = 2;              // usual latencies, time constant of trust in a report
    private static final double SLOW_SMOOTH = 0.25;     // weight of one answer in a server's slowness
    private static final double CROSSING = 10;          // part that a far queue seems longer, per price
    private static final double REPORT_MOST = 1e6;      // requests in hand that a report may name
    private static final double SLOW_MOST = 4;          // one answer counts no more than this
    // The subset of a balancer, or of a key: as few as sampling needs, more where traffic keeps them in view.
    private static final int SUBSET = 6;
    private static final double SUBSET_VISITS = 1.5;    // s between a balancer's requests to one server
    private static final double DEAR_VISITS = 0.5;      // the same where new connections have a price
    private static final int KEY_SUBSET = 4;            // D: a key's servers are all sampled
    private static final int REACH = 4;                 // times as many where only the own zone's count
    private static final double KEY_SPREAD = 2;         // times the part of the fleet that a hot key needs
    private static final int POINTS = 8;                // on the ring, for a server of mean weight
    // Health. Two failures within some ten recent attempts are far beyond any sane base rate.
    private static final double FAIL_COUNT = 1.6;       // faded failures before a server can be ejected
    private static final double FAIL_SHARE = 0.15;      // and their share of its recent attempts
    private static final long EJECT_FIRST = 1_000_000;  // µs, first ejection; doubles each time
    private static final int EJECT_DOUBLINGS = 4;       // up to 16 s
    private static final int TRIALS_OK = 3;             // successes in a row, one at a time, that end a trial
    private static final double SILENCE = 3; // silent for this multiple of the usual latency: stalled
    // Work sent to a cold server, as a share of what a warm one of like weight takes at the same coldness.
    private static final double COLD_MARGIN = 2.4;
    // The same for those in this balancer's subset, as a share of what a warm one there takes. How many
    // balancers have a server in a subset of six varies by 0.4 of their mean: twice as many may share it.
    private static final double OUR_MARGIN = 1.2;
    private static final double HEDGE_FULL = 0.02;      // safe ones' hedges rest while more is turned away
    private static final double LATE_WORTH = 0.5;       // a late answer that earns less is given up
    private static final long REFRESH = 100_000;        // µs between looks at all servers

    private static final Comparator<ServerState> BY_ACCOMPLISHMENT =
        Comparator.<ServerState>comparingDouble(n -> -n.accomplishment).thenComparingInt(n -> n.tieBreaker);

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
    private final Map<String, ServerState> nodes = new LinkedHashMap<>();
    private List<ServerState> listed = new ArrayList<>();      // up, in the seeded order
    private boolean allLookBad;                         // or most of them: the fault is elsewhere
    private final TreeMap<Long, ServerState> points = new TreeMap<>(); // the ring: listed servers, more by weight
    private ServerState[] ring;                                // the same for keys, made when one asks for it
    private long[] ringAt;
    private ServerState[] homeRing = {};                       // each server once, from this balancer's point on
    private final long home;                            // where this balancer's subset starts
    private int walk;
    private double fastShare = 0.5;                     // the paper's p
    private final Map<String, RequestState> open = new LinkedHashMap<>();
    private final Map<Long, Double> keyCounts = new HashMap<>(); // faded requests of each key
    // in share, over share
    private final List<List<RequestState>> held = List.of(new ArrayList<>(), new ArrayList<>());
    private double meanWeight = 1;                      // of listed servers
    private double ownMean;                             // moving mean of own attempts in flight
    private int inFlight;
    private double turnedAway;                          // faded attempts that no server took
    private long fadedAt;
    private double warmRate;                            // answers per second and weight of warm servers
    private double ourRate;                             // the same of those in this balancer's subset
    private long refreshAt;
    private long wakeAt = Long.MAX_VALUE;

    public JsqDasPolicy(Settings settings, long seed) {
        this.active = new ActiveSettings(settings);
        this.random = new SplittableRandom(seed);
        this.admission = new AdmissionController(active, random);
        this.quotas = new TenantQuotas(active, random);
        this.subscription = new DiscoverySubscription(active, random, log);
        this.home = (long) ((settings.rank() + 0.5) / settings.balancers() * 0x1p64 - 0x1p63);
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

    // ---------------------------------------------------------------- dispatch: the paper's definition

    // Ranks by accomplishment, samples A of the top p·k and D-A of the rest, takes the shortest queue.
    private ServerState draw(List<ServerState> candidates, long now, Actions out) {
        int k = candidates.size();
        if (k == 1) {
            return candidates.get(0);
        }
        candidates.sort(BY_ACCOMPLISHMENT);
        int top = Math.max(1, Math.min(k - 1, (int) Math.round(fastShare * k)));
        int fromTop = Math.min(top, Math.max(A, D - (k - top)));
        int fromRest = Math.min(k - top, D - fromTop);
        int best = sample(candidates, 0, top, fromTop, -1, now, out);
        return candidates.get(sample(candidates, top, k, fromRest, best, now, out));
    }

    // Draws without replacement from [from, to); returns the shortest queue, ties to the higher rank.
    private int sample(List<ServerState> ranked, int from, int to, int draws, int best, long now,
            Actions out) {
        int shortest = best;
        int[] left = IntStream.range(from, to).toArray();
        for (int i = 0; i < draws; i++) {
            int j = i + random.nextInt(left.length - i);
            int drawn = left[j];
            left[j] = left[i];
            double difference = shortest < 0 ? -1
                : queue(ranked.get(drawn), now, out) - queue(ranked.get(shortest), now, out);
            shortest = difference < 0 || difference == 0 && drawn < shortest ? drawn : shortest;
        }
        return shortest;
    }

    // The queue signal, for a server of mean weight: own attempts in flight, the slots that quick failures
    // still keep, and what the other balancers have there. A balancer that sees a small part of the traffic
    // finds its own queues empty nearly always, and ties alone would then send all of it to one set. In
    // another zone, where crossing has a price, a queue counts for longer: it must be worth the price. So
    // does one that needs a handshake: chosen by queues alone, four requests in ten opened a connection.
    private double queue(ServerState n, long now, Actions out) {
        while (!n.penaltyEnds.isEmpty() && n.penaltyEnds.peekFirst() <= now) {
            n.penaltyEnds.pollFirst();
        }
        Prices prices = active.settings().prices();
        double far = n.server.zone() == active.settings().zone() ? 0 : CROSSING * prices.crossZone();
        if (prices.handshake() > 0 && !out.isConnected(n.server.id())) {
            far += CROSSING * prices.handshake();
        }
        double queue = (n.inFlight + n.penaltyEnds.size() + others(n, now)) * meanWeight / n.server.weight();
        return queue + far * (1 + queue);
    }

    // The attempts of other balancers: as last reported, or by Little's law as many as this balancer has in
    // a server on average, in the ratio of this server's latency. Old news fades to the mean of all.
    private double others(ServerState n, long now) {
        double relative = n.server.weight() / meanWeight;
        double trust = n.reportedAt > 0 ? Math.exp(-(now - n.reportedAt) / (STALE * latencies.shortestMicros())) : 0;
        double inferred = relative * ownMean * (active.settings().balancers() - 1) / Math.max(1, listed.size());
        return slowness(n, now) * (inferred + trust * (n.reportedInFlight - inferred));
    }

    // ---------------------------------------------------------------- exceptions: who is a candidate

    // The subset: walks the ring from the request's point until enough servers are found that may take it.
    // Guards against connections that grow with the fleet, and counts and queues that say nothing because
    // each server hears from this balancer once in a while only. Where it holds no server that may be used,
    // as when its servers have failed or are cold, the walk goes on, over the whole list if need be.
    private List<ServerState> candidates(RequestState r, long now) {
        List<ServerState> fresh = new ArrayList<>();
        List<ServerState> tried = new ArrayList<>();
        boolean keyed = r.key != 0 && walksByKey(now);
        int wanted = keyed ? (int) Math.max(KEY_SUBSET, KEY_SPREAD * heat(r.key) * listed.size())
            : subset(now);
        ServerState[] order = homeRing;
        int from = 0;
        if (keyed) {
            if (ring == null) {
                ring = points.values().toArray(new ServerState[0]);
                ringAt = points.keySet().stream().mapToLong(Long::longValue).toArray();
            }
            order = ring;
            from = Arrays.binarySearch(ringAt, Hashing.mix(r.key));
            from = from < 0 ? -from - 1 : from;
        }
        walk++;
        boolean near = !keyed && staysNear();
        for (int i = 0, warm = 0, met = 0; i < order.length && warm < wanted && met < REACH * wanted; i++) {
            ServerState n = order[(from + i) % order.length];
            if (n.lastWalk == walk) {
                continue;
            }
            n.lastWalk = walk;
            if (r.isPermittedOn(n.server) && r.mayRunOn(n, now, active.tickMicros()) && hasColdBudget(n, now)
                    && (allLookBad || healthy(n, r, now))) {
                (r.wasSentTo(n) ? tried : fresh).add(n);
                int counts = warmth(n, now) >= 1 ? 1 : 0;
                met += counts;
                warm += near && n.server.zone() != active.settings().zone() ? 0 : counts;
            }
        }
        return fresh.isEmpty() ? tried : fresh;
    }

    private int subset(long now) {
        double visits = active.settings().prices().handshake() > 0 ? DEAR_VISITS : SUBSET_VISITS;
        return (int) Math.max(SUBSET, arrivals.perSecond(now) * visits);
    }

    private boolean walksByKey(long now) {
        return active.settings().warmKeys() && arrivals.perSecond(now) * SUBSET_VISITS >= listed.size();
    }

    private boolean staysNear() {
        return active.settings().prices().crossZone() > active.settings().prices().handshake();
    }

    // The part of this balancer's requests that concern the key. Guards against a hot key: four servers
    // of fifty took a seventh of all requests, and the larger the fleet the smaller a part four are.
    private double heat(long key) {
        return Math.max(0, keyCounts.getOrDefault(key, 0.0) / scale.unit() - 1) / Math.max(1, arrivals.arrivals());
    }

    // Guards against a server that fails fast or has fallen silent: it would win every queue comparison.
    // One on trial gets one attempt at a time, and none that could not be repeated where others can be.
    private boolean healthy(ServerState n, RequestState r, long now) {
        return !looksBad(n, now)
            && (n.trialSuccessesLeft == 0 || n.inFlight == 0 && (r.requestClass.effect() == Effect.SAFE || !active.anyClassSafe()));
    }

    private boolean looksBad(ServerState n, long now) {
        return n.ejectedUntil > now || n.fullUntil > now || stalled(n, now);
    }

    private static AttemptState oldest(ServerState n) {
        while (!n.attempts.isEmpty() && !n.attempts.peekFirst().inFlight) {
            n.attempts.pollFirst();
        }
        return n.attempts.peekFirst();
    }

    private boolean stalled(ServerState n, long now) {
        AttemptState oldest = oldest(n);
        if (oldest == null) {
            return false;
        }
        double patience = SILENCE * oldest.request.latency.typicalMicros() + active.tickMicros();
        return now - oldest.sentAt > patience && now - n.lastSuccessAt > patience;
    }

    // Bounds ejection: when most servers look bad the fault is likely elsewhere, and all are used.
    private boolean mostLookBad(long now) {
        return 2 * listed.stream().filter(n -> looksBad(n, now)).count() > listed.size();
    }

    // Rule 4: a cold server gets its part of what warm ones of like weight take, from nothing on.
    private boolean hasColdBudget(ServerState n, long now) {
        double part = warmth(n, now);
        if (part >= 1) {
            return true;
        }
        // The fleet's mean would do if all balancers used it; those do that have it in their subset. By the
        // mean alone the newcomers among 200 servers took a seventh of that, and the rest was crushed.
        double ours = n.inSubset ? OUR_MARGIN * ourRate * n.server.weight() : 0;
        double rate = part * Math.max(COLD_MARGIN * warmRate(n), ours);
        n.slowStartTokens = Math.min(Math.max(1, rate * active.settings().bounds().fallWindow() / 3e6),
            n.slowStartTokens + rate * (now - n.slowStartTokensAt) / 1e6);
        n.slowStartTokensAt = now;
        return n.slowStartTokens >= 1;
    }

    private double warmth(ServerState n, long now) {
        Bounds b = active.settings().bounds();
        long age = now - n.server.startedAt();
        if (n.server.startedAt() <= 0 || b.rampTime() <= 0 || age >= b.rampTime()) {
            return 1;
        }
        return b.coldFrom() + (1 - b.coldFrom()) * Math.max(0, age) / b.rampTime();
    }

    // Answers per second that a warm server of n's weight gives this balancer.
    private double warmRate(ServerState n) {
        // Before anything is known: a warm server gives two answers in the shortest aim, to all balancers.
        double least = 2e6 / active.shortestObjectiveMicros() / active.settings().balancers();
        return Math.max(least, warmRate * n.server.weight());
    }

    // What needs a look at all servers. Guards against work for each wake that grows with the fleet: with
    // counts that faded at each wake a balancer of 200 servers spent more on its sleep than on requests.
    private void refresh(long now) {
        double oks = 0;
        double weight = 0;
        double used = 0;
        double warm = 0;
        double met = 0;
        int subset = subset(now);
        boolean all = walksByKey(now);
        for (ServerState n : homeRing) {
            n.inSubset = !all && warm < subset && met < REACH * subset;
            if (warmth(n, now) >= 1) {
                oks += n.successes / scale.unit();
                weight += n.server.weight();
                used += n.inSubset ? n.server.weight() : 0;
                met++;
                warm += staysNear() && n.server.zone() != active.settings().zone() ? 0 : 1;
            }
        }
        warmRate = weight <= 0 ? 0 : oks / DecayScale.TIME_CONSTANT_MICROS * 1e6 / weight;
        ourRate = used <= 0 ? 0 : oks / DecayScale.TIME_CONSTANT_MICROS * 1e6 / used;
        allLookBad = mostLookBad(now);
        sequencedKeys.removeIdle(now);
        keyCounts.values().removeIf(count -> count < scale.unit() / 2);
        if (scale.mustRescale()) {
            for (ServerState n : nodes.values()) {
                n.accomplishment /= scale.unit();
                n.successes /= scale.unit();
                n.failures /= scale.unit();
            }
            keyCounts.clear();
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
            keyCounts.merge(Hashing.hash(key), scale.unit(), Double::sum);
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
        List<ServerState> candidates = SequencedKeys.mayRun(r, now) ? candidates(r, now) : List.of();
        if (candidates.isEmpty()) {
            return false;
        }
        send(r, draw(candidates, now, out), now, out);
        return true;
    }

    private void send(RequestState r, ServerState n, long now, Actions out) {
        boolean repeats = r.firstThatMayHaveRun() != null && r.requestClass.effect() == Effect.KEYED;
        long within = repeats ? r.deduplicationTimeLeft(now, active.tickMicros()) : 0;
        AttemptState a = new AttemptState(n, r, now);
        r.attempts.add(a);
        r.attemptsInFlight++;
        n.attempts.add(a);
        n.inFlight++;
        inFlight++;
        n.accomplishment += scale.unit();
        n.slowStartTokens--;
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
        a.target.inFlight--;
        inFlight--;
        SequencedKeys.attemptEnded(r, a, outcome, now, active.settings().bounds().orderPause());
        report(a.target, load, now);
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
        List<ServerState> others = candidates(r, now);
        others.removeIf(n -> r.wasSentTo(n));
        if (!others.isEmpty()) {
            retryBudget.consume();
            send(r, draw(others, now, out), now, out);
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

    // Guards against figures that no server can mean: what is missing, negative or absurd is passed over.
    private void report(ServerState n, Load load, long now) {
        if (load != null && load.inFlight() >= 0 && load.inFlight() < REPORT_MOST) {
            n.reportedInFlight = load.inFlight();
            n.reportedAt = now;
        }
    }

    private static double slowness(ServerState n, long now) {
        return 1 + (n.slowness - 1) * Math.exp(-(now - n.slownessAt) / DecayScale.TIME_CONSTANT_MICROS);
    }

    private static void slowed(ServerState n, double ratio, long now) {
        double old = slowness(n, now);
        n.slowness = old + SLOW_SMOOTH * (Math.min(SLOW_MOST, ratio) - old);
        n.slownessAt = now;
    }

    private void learn(AttemptState a, Outcome outcome, long latency, long now, Actions out) {
        ServerState n = a.target;
        RequestClass kind = a.request.requestClass;
        ClassLatency of = a.request.latency;
        double usually = of.typicalMicros() * a.request.relativeWork;
        switch (outcome) {
            case OK -> {
                n.successes += scale.unit();
                n.lastSuccessAt = now;
                slowed(n, latency / usually, now);
                of.recordLatency(latency);
                if (n.trialSuccessesLeft > 0 && --n.trialSuccessesLeft == 0) {
                    n.ejections = 0;
                    n.failures = 0;
                    log.write(now, "recovered " + n.server.id(), out);
                }
                admission.recordLoad(latency / (double) kind.aim(), now);
            }
            case CANCELLED -> {         // the copy came first, or the client left
                if (latency > 2 * usually) {    // its server may well be at it still
                    failed(n, 0, (long) (2 * of.typicalMicros()), now, out);
                    slowed(n, Math.max(slowness(n, now), latency / usually), now);
                }
            }
            case NOT_SENT -> { }
            case FULL -> {
                // A hung server fills up and then only turns away: without answers that is no mere overload.
                failed(n, now - n.lastSuccessAt > QUICK ? 0.5 : 0, (long) of.typicalMicros(), now, out);
                // It answers in no time, so it would win again and again while its queue is longest of all.
                n.fullUntil = now + (long) (of.typicalMicros() * (0.5 + random.nextDouble()));
                admission.recordFullServer(now);
            }
            // A time-out may be the fault of the load: it takes more of them.
            case TIMEOUT -> {
                slowed(n, latency / usually, now);
                admission.recordTimeout(now);
                failed(n, 0.5, (long) (2 * of.typicalMicros()), now, out);
            }
            default -> failed(n, 1, (long) (2 * of.typicalMicros()), now, out);
        }
    }

    // A failure neither earns rank nor frees its slot at once, and enough of them eject the server.
    private void failed(ServerState n, double weight, long penalty, long now, Actions out) {
        n.accomplishment = Math.max(0, n.accomplishment - scale.unit());
        n.penaltyEnds.add(now + penalty);
        n.failures += weight * scale.unit();
        boolean many = n.failures > FAIL_COUNT * scale.unit() && n.failures > FAIL_SHARE * (n.failures + n.successes);
        if (weight > 0 && (n.trialSuccessesLeft > 0 || many)) {
            eject(n, now, out);
        }
    }

    private void eject(ServerState n, long now, Actions out) {
        if (n.ejectedUntil > now) {
            return;
        }
        long length = EJECT_FIRST << Math.min(EJECT_DOUBLINGS, n.ejections++);
        n.ejectedUntil = now + length + random.nextLong(length / 4);
        n.trialSuccessesLeft = TRIALS_OK;
        log.write(now, "ejected " + n.server.id() + " for " + length / 1000 + " ms after failures", out);
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
        ownMean += (1 - Math.exp(-(now - fadedAt) / QUICK)) * (inFlight - ownMean);
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
        if (kind != ListKind.PARTIAL) {
            for (ServerState n : nodes.values()) {
                n.server = n.server.withState(State.GONE);
            }
        }
        for (Server s : servers) {
            enter(s, now);
        }
        listed = new ArrayList<>();
        for (ServerState n : nodes.values()) {
            if (n.server.state() == State.UP) {
                listed.add(n);
            }
        }
        arrange();
        nodes.values().removeIf(n -> n.server.state() == State.GONE && n.inFlight == 0);
        fastShare = fastShare();
        drainHeld(now, out);
    }

    private void enter(Server s, long now) {
        ServerState n = nodes.get(s.id());
        if (n == null || n.server.startedAt() != s.startedAt() && s.startedAt() > 0) {
            if (n != null) {
                setPoints(n, 0);
            }
            n = new ServerState(s, random.nextInt());
            n.slowStartTokens = random.nextDouble();
            n.slowStartTokensAt = now;
            n.lastSuccessAt = now;
            nodes.put(s.id(), n);
        }
        n.server = s;
    }

    // Puts the servers on the ring at points that follow from their ids: a change of the list moves few, and
    // only those are touched. Made anew at each step of a deploy, the ring cost more than all requests.
    private void arrange() {
        meanWeight = listed.stream().mapToDouble(n -> n.server.weight()).average().orElse(1);
        for (ServerState n : nodes.values()) {
            double share = POINTS * n.server.weight() / meanWeight;
            int many = (int) Math.max(1, Math.min(8 * POINTS, Math.round(share)));
            setPoints(n, n.server.state() == State.UP ? many : 0);
        }
        ring = null;
        walk++;
        homeRing = Stream.of(points.tailMap(home), points.headMap(home)).flatMap(m -> m.values().stream())
            .filter(n -> n.lastWalk != walk).peek(n -> n.lastWalk = walk).toArray(ServerState[]::new);
    }

    private void setPoints(ServerState n, int many) {
        while (n.ringPoints < many) {
            points.put(Hashing.mix(n.idHash + n.ringPoints++), n);
        }
        while (n.ringPoints > many) {
            points.remove(Hashing.mix(n.idHash + --n.ringPoints), n);
        }
    }

    // The paper's p: the share of servers of the kinds whose mean weight is above the mean of all.
    private double fastShare() {
        Map<Integer, double[]> kinds = new LinkedHashMap<>();
        double sum = 0;
        for (ServerState n : listed) {
            double[] k = kinds.computeIfAbsent(n.server.kind(), x -> new double[2]);
            k[0] += n.server.weight();
            k[1]++;
            sum += n.server.weight();
        }
        double fast = 0;
        for (double[] k : kinds.values()) {
            if (k[0] / k[1] >= sum / listed.size()) {
                fast += k[1];
            }
        }
        return kinds.size() < 2 ? 0.5 : fast / listed.size();
    }
}
