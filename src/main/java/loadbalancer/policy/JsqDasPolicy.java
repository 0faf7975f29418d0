package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.policy.PolicyState.Attempt;
import loadbalancer.policy.PolicyState.Learned;
import loadbalancer.policy.PolicyState.Node;
import loadbalancer.policy.PolicyState.Request;
import loadbalancer.policy.PolicyState.Turn;

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
    private static final double FADE = 10e6;            // µs, time constant of all decaying counts
    private static final double RATE_LEAST = FADE / 3;  // in which what came at a start may be a burst
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
    // Shedding: the mean of latency / aim steers which share of the arrivals is turned away, cheapest first.
    private static final double STRAIN_CHEAP = 0.40;    // above it the cheapest requests are turned away
    private static final double STRAIN_DEAR = 0.60;     // and above it the most valuable too
    private static final double STRAIN_MOST = 1.2;      // one answer counts no more than this
    private static final double FULL_STRAIN = 1.5;      // that an attempt turned away counts as
    private static final double FORGET = 2e6;           // µs without news after which strain is forgotten
    private static final double GAIN = 0.3;             // share of arrivals, per second and unit of strain
    private static final double LEAN = 2;               // the same at once, for as long as the strain lasts
    private static final double LEAN_MOST = 0.85;        // of a tier
    private static final double STRAIN_NEWS = 0.7e6;    // µs, time constant of the strain
    private static final double RETURN = 3;             // times as fast calm lets requests in again
    private static final double SHARE_LEAST = 0.1;      // of arrivals that a tier is taken for at least
    private static final double CHEAP = 0.3;            // over-share worth: at a start turned away
    private static final int KNOWN = 8;                 // answers that the strain is a mean of at least
    private static final double SMOOTH = 0.03;          // weight of one answer in a class's usual latency
    // Work sent to a cold server, as a share of what a warm one of like weight takes at the same coldness.
    private static final double COLD_MARGIN = 2.4;
    // The same for those in this balancer's subset, as a share of what a warm one there takes. How many
    // balancers have a server in a subset of six varies by 0.4 of their mean: twice as many may share it.
    private static final double OUR_MARGIN = 1.2;
    // Further attempts after failures that may have run, per first attempt.
    private static final double RETRY_SHARE = 0.2;
    private static final double BUDGET_MOST = 10;
    private static final double HEDGE_FULL = 0.02;      // safe ones' hedges rest while more is turned away
    private static final double HEDGE_LEAST = 4;        // what hedges leave of that budget to retries
    private static final double HINTED = 0.7;           // part of the latency that goes with hinted work
    private static final double LATE_WORTH = 0.5;       // a late answer that earns less is given up
    private static final double FEW = 5;                // first tries that say little of a tenant's rate
    private static final double SHARE_BURST = 4;        // requests of a small tenant that chance bunches
    private static final double TENANT_BURST = 1e6;     // µs of its rate that a tenant may bring at once
    private static final long TICK_MOST = 20_000;       // µs between sweeps while anything is open
    private static final long REFRESH = 100_000;        // µs between looks at all servers
    private static final double GAIN_MOST = 1e60;       // counts are brought back to scale above it

    private static final Comparator<Node> BY_ACCOMPLISHMENT =
        Comparator.<Node>comparingDouble(n -> -n.count).thenComparingInt(n -> n.order);

    private Settings settings;
    private final SplittableRandom random;
    private long tick;
    private long shortestAim;
    private boolean anySafe;                            // whether any class may simply be repeated
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private List<Node> listed = new ArrayList<>();      // up, in the seeded order
    private boolean allLookBad;                         // or most of them: the fault is elsewhere
    private final TreeMap<Long, Node> points = new TreeMap<>(); // the ring: listed servers, more by weight
    private Node[] ring;                                // the same for keys, made when one asks for it
    private long[] ringAt;
    private Node[] homeRing = {};                       // each server once, from this balancer's point on
    private final long home;                            // where this balancer's subset starts
    private int walk;
    private double fastShare = 0.5;                     // the paper's p
    private final Map<String, Request> open = new LinkedHashMap<>();
    private final Map<Long, Double> keyCounts = new HashMap<>(); // faded requests of each key
    private final Map<Long, Turn> turns = new LinkedHashMap<>();
    // in share, over share
    private final List<List<Request>> held = List.of(new ArrayList<>(), new ArrayList<>());
    private Learned[] learned = {};                     // of each class
    private double[] brought = {};                      // faded first tries of each tenant
    private double[] shareTokens = {}; // requests each tenant may still bring within its share
    private long[] shareAt = {};
    private double meanWeight = 1;                      // of listed servers
    private double ownMean;                             // moving mean of own attempts in flight
    private double shortestUsual;                       // µs, the least of the classes' usual latencies
    private int inFlight;
    private double[] tiers = {};                        // the distinct worths of requests, ascending
    private double[] asked = {};                        // faded arrivals of each tier
    private double hedgeLevel;                          // above it requests within their share are refused
    private double level;                               // tiers turned away, the last of them in part
    private double lean;                                // what the strain of now adds to the level
    private double strain;                              // moving mean of latency / aim
    private int answers;
    private long strainAt;
    private double turnedAway;                          // faded attempts that no server took
    private double arrivals;
    private long firstAt;                               // when the first of them came
    private double retryBudget = BUDGET_MOST;
    private long fadedAt;
    private double scale = 1;                           // of servers' counts: it grows, they don't fade
    private double warmRate;                            // answers per second and weight of warm servers
    private double ourRate;                             // the same of those in this balancer's subset
    private long refreshAt;
    private long wakeAt = Long.MAX_VALUE;
    private long askAt = Long.MAX_VALUE;                // when to subscribe (again)
    private int askFailures;
    private long remarkAt;

    public JsqDasPolicy(Settings settings, long seed) {
        this.random = new SplittableRandom(seed);
        this.home = (long) ((settings.rank() + 0.5) / settings.balancers() * 0x1p64 - 0x1p63);
        tune(0, settings, Collections.nCopies(settings.classes().size(), -1),
            Collections.nCopies(settings.tenants().size(), -1));
        double inShare = inShare();
        while (tiers[(int) level] < Math.min(inShare, CHEAP * tiers[tiers.length - 1])) {
            level++;
        }
    }

    // All that follows from the settings. What is open holds its class's own record, and is not touched.
    private void tune(long now, Settings to, List<Integer> formerClasses, List<Integer> formerTenants) {
        settings = to;
        Learned[] before = learned;
        learned = IntStream.range(0, to.classes().size()).mapToObj(i -> formerClasses.get(i) < 0
            ? new Learned(to.classes().get(i)) : before[formerClasses.get(i)]).toArray(Learned[]::new);
        shortestAim = to.classes().stream().mapToLong(RequestClass::aim).min().getAsLong();
        shortestUsual = shortestUsual();
        anySafe = to.classes().stream().anyMatch(c -> c.effect() == Effect.SAFE);
        tick = Math.max(to.tick(), Math.min(TICK_MOST, shortestAim / 16));
        double[] tiersBefore = tiers;
        tiers = to.classes().stream().flatMapToDouble(c ->
            DoubleStream.of(value(c, false), value(c, true))).distinct().sorted().toArray();
        hedgeLevel = Arrays.binarySearch(tiers, inShare()) + 0.05;
        if (!Arrays.equals(tiers, tiersBefore)) {
            asked = new double[tiers.length];
            level = tiersBefore.length == 0 ? 0 : level * tiers.length / tiersBefore.length;
            lean = 0;
        }
        double[] tokensBefore = shareTokens;
        double[] broughtBefore = brought;
        shareTokens = new double[to.tenants().size()];
        shareAt = new long[shareTokens.length];
        brought = new double[Math.max(1, shareTokens.length)];
        Arrays.fill(shareAt, now);
        for (int i = 0; i < shareTokens.length; i++) {
            int former = formerTenants.get(i);
            // All full at once overran servers at a start.
            shareTokens[i] = former < 0 ? SHARE_BURST * random.nextDouble() : tokensBefore[former];
            brought[i] = former < 0 ? 0 : broughtBefore[former];
        }
    }

    private double inShare() {
        return settings.classes().stream().mapToDouble(c -> value(c, false)).min().getAsDouble();
    }

    private double shortestUsual() {
        return Arrays.stream(learned).mapToDouble(k -> k.usual).min().getAsDouble();
    }

    @Override
    public void reload(long now, Settings to, List<Integer> formerClasses, List<Integer> formerTenants,
            Actions out) {
        tune(now, to, formerClasses, formerTenants);
        wakeBy(now, tick, out);
    }

    // ---------------------------------------------------------------- dispatch: the paper's definition

    // Ranks by accomplishment, samples A of the top p·k and D-A of the rest, takes the shortest queue.
    private Node draw(List<Node> candidates, long now, Actions out) {
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
    private int sample(List<Node> ranked, int from, int to, int draws, int best, long now,
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
    private double queue(Node n, long now, Actions out) {
        while (!n.penalties.isEmpty() && n.penalties.peekFirst() <= now) {
            n.penalties.pollFirst();
        }
        Prices prices = settings.prices();
        double far = n.server.zone() == settings.zone() ? 0 : CROSSING * prices.crossZone();
        if (prices.handshake() > 0 && !out.isConnected(n.server.id())) {
            far += CROSSING * prices.handshake();
        }
        double queue = (n.inFlight + n.penalties.size() + others(n, now)) * meanWeight / n.server.weight();
        return queue + far * (1 + queue);
    }

    // The attempts of other balancers: as last reported, or by Little's law as many as this balancer has in
    // a server on average, in the ratio of this server's latency. Old news fades to the mean of all.
    private double others(Node n, long now) {
        double relative = n.server.weight() / meanWeight;
        double trust = n.reportedAt > 0 ? Math.exp(-(now - n.reportedAt) / (STALE * shortestUsual)) : 0;
        double inferred = relative * ownMean * (settings.balancers() - 1) / Math.max(1, listed.size());
        return slowness(n, now) * (inferred + trust * (n.reported - inferred));
    }

    // ---------------------------------------------------------------- exceptions: who is a candidate

    // The subset: walks the ring from the request's point until enough servers are found that may take it.
    // Guards against connections that grow with the fleet, and counts and queues that say nothing because
    // each server hears from this balancer once in a while only. Where it holds no server that may be used,
    // as when its servers have failed or are cold, the walk goes on, over the whole list if need be.
    private List<Node> candidates(Request r, long now) {
        List<Node> fresh = new ArrayList<>();
        List<Node> tried = new ArrayList<>();
        boolean keyed = r.key != 0 && walksByKey(now);
        int wanted = keyed ? (int) Math.max(KEY_SUBSET, KEY_SPREAD * heat(r.key) * listed.size())
            : subset(now);
        Node[] order = homeRing;
        int from = 0;
        if (keyed) {
            if (ring == null) {
                ring = points.values().toArray(new Node[0]);
                ringAt = points.keySet().stream().mapToLong(Long::longValue).toArray();
            }
            order = ring;
            from = Arrays.binarySearch(ringAt, Hashing.mix(r.key));
            from = from < 0 ? -from - 1 : from;
        }
        walk++;
        boolean near = !keyed && staysNear();
        for (int i = 0, warm = 0, met = 0; i < order.length && warm < wanted && met < REACH * wanted; i++) {
            Node n = order[(from + i) % order.length];
            if (n.walk == walk) {
                continue;
            }
            n.walk = walk;
            if (permitted(r.kind, n.server) && mayRunOn(r, n, now) && hasColdBudget(n, now)
                    && (allLookBad || healthy(n, r, now))) {
                (wasTried(r, n) ? tried : fresh).add(n);
                int counts = warmth(n, now) >= 1 ? 1 : 0;
                met += counts;
                warm += near && n.server.zone() != settings.zone() ? 0 : counts;
            }
        }
        return fresh.isEmpty() ? tried : fresh;
    }

    private int subset(long now) {
        double visits = settings.prices().handshake() > 0 ? DEAR_VISITS : SUBSET_VISITS;
        return (int) Math.max(SUBSET, rate(now) * visits);
    }

    private boolean walksByKey(long now) {
        return settings.warmKeys() && rate(now) * SUBSET_VISITS >= listed.size();
    }

    // Requests a second that clients bring: a mean of the time since the first one, where that is short.
    // Guards against a busy balancer that has just started, and refuses at the few servers of an idle one.
    private double rate(long now) {
        return arrivals / FADE * 1e6 / -Math.expm1(-Math.max(RATE_LEAST, now - firstAt) / FADE);
    }

    private boolean staysNear() {
        return settings.prices().crossZone() > settings.prices().handshake();
    }

    // The part of this balancer's requests that concern the key. Guards against a hot key: four servers
    // of fifty took a seventh of all requests, and the larger the fleet the smaller a part four are.
    private double heat(long key) {
        return Math.max(0, keyCounts.getOrDefault(key, 0.0) / scale - 1) / Math.max(1, arrivals);
    }

    private static boolean wasTried(Request r, Node n) {
        return r.attempts.stream().anyMatch(a -> a.node == n);
    }

    // Guards against a server that fails fast or has fallen silent: it would win every queue comparison.
    // One on trial gets one attempt at a time, and none that could not be repeated where others can be.
    private boolean healthy(Node n, Request r, long now) {
        return !looksBad(n, now)
            && (n.trial == 0 || n.inFlight == 0 && (r.kind.effect() == Effect.SAFE || !anySafe));
    }

    private boolean looksBad(Node n, long now) {
        return n.ejectedUntil > now || n.fullUntil > now || stalled(n, now);
    }

    private static Attempt oldest(Node n) {
        while (!n.sent.isEmpty() && !n.sent.peekFirst().out) {
            n.sent.pollFirst();
        }
        return n.sent.peekFirst();
    }

    private boolean stalled(Node n, long now) {
        Attempt oldest = oldest(n);
        if (oldest == null) {
            return false;
        }
        double patience = SILENCE * oldest.request.learned.usual + tick;
        return now - oldest.at > patience && now - n.lastOk > patience;
    }

    // Bounds ejection: when most servers look bad the fault is likely elsewhere, and all are used.
    private boolean mostLookBad(long now) {
        return 2 * listed.stream().filter(n -> looksBad(n, now)).count() > listed.size();
    }

    // Rule 6: a class may be bound to zones and kinds of machine, at every attempt.
    private static boolean permitted(RequestClass kind, Server s) {
        return (kind.zones().isEmpty() || kind.zones().contains(s.zone()))
            && (kind.machineKinds().isEmpty() || kind.machineKinds().contains(s.kind()));
    }

    // Rule 5: whether all earlier requests of the key are over, and what they left may no longer run.
    private static boolean hasTurn(Request r, long now) {
        return r.turn == null
            || r.turn.line.peekFirst() == r && (now >= r.turn.restUntil || !r.attempts.isEmpty());
    }

    // Rule 2: a request that may have run goes again only where its class allows.
    private boolean mayRunOn(Request r, Node n, long now) {
        Attempt first = firstThatMayHaveRun(r);
        if (first == null || r.kind.effect() == Effect.SAFE) {
            return true;
        }
        if (r.kind.effect() == Effect.UNSAFE || memoryLeft(r, now) <= 0) {
            return false;
        }
        return switch (r.kind.scope()) {
            case ALL -> true;
            case ZONE -> n.server.zone() == first.server.zone() && n.server.zone() >= 0;
            case CELL -> n.server.cell() == first.server.cell() && n.server.cell() >= 0;
        };
    }

    // For how long the servers still drop a repeat of a keyed request that may have run.
    private long memoryLeft(Request r, long now) {
        return firstThatMayHaveRun(r).at + r.kind.keyMemory() - tick - now;
    }

    private static Attempt firstThatMayHaveRun(Request r) {
        return r.attempts.stream().filter(a -> a.mayHaveRun).findFirst().orElse(null);
    }

    // Rule 4: a cold server gets its part of what warm ones of like weight take, from nothing on.
    private boolean hasColdBudget(Node n, long now) {
        double part = warmth(n, now);
        if (part >= 1) {
            return true;
        }
        // The fleet's mean would do if all balancers used it; those do that have it in their subset. By the
        // mean alone the newcomers among 200 servers took a seventh of that, and the rest was crushed.
        double ours = n.ours ? OUR_MARGIN * ourRate * n.server.weight() : 0;
        double rate = part * Math.max(COLD_MARGIN * warmRate(n), ours);
        n.tokens = Math.min(Math.max(1, rate * settings.bounds().fallWindow() / 3e6),
            n.tokens + rate * (now - n.tokensAt) / 1e6);
        n.tokensAt = now;
        return n.tokens >= 1;
    }

    private double warmth(Node n, long now) {
        Bounds b = settings.bounds();
        long age = now - n.server.startedAt();
        if (n.server.startedAt() <= 0 || b.rampTime() <= 0 || age >= b.rampTime()) {
            return 1;
        }
        return b.coldFrom() + (1 - b.coldFrom()) * Math.max(0, age) / b.rampTime();
    }

    // Answers per second that a warm server of n's weight gives this balancer.
    private double warmRate(Node n) {
        // Before anything is known: a warm server gives two answers in the shortest aim, to all balancers.
        double least = 2e6 / shortestAim / settings.balancers();
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
        for (Node n : homeRing) {
            n.ours = !all && warm < subset && met < REACH * subset;
            if (warmth(n, now) >= 1) {
                oks += n.oks / scale;
                weight += n.server.weight();
                used += n.ours ? n.server.weight() : 0;
                met++;
                warm += staysNear() && n.server.zone() != settings.zone() ? 0 : 1;
            }
        }
        warmRate = weight <= 0 ? 0 : oks / FADE * 1e6 / weight;
        ourRate = used <= 0 ? 0 : oks / FADE * 1e6 / used;
        allLookBad = mostLookBad(now);
        turns.values().removeIf(t -> t.line.isEmpty() && now >= t.restUntil);
        keyCounts.values().removeIf(count -> count < scale / 2);
        if (scale > GAIN_MOST) {
            for (Node n : nodes.values()) {
                n.count /= scale;
                n.oks /= scale;
                n.fails /= scale;
            }
            keyCounts.clear();
            scale = 1;
        }
        refreshAt = now + REFRESH;
    }

    // ---------------------------------------------------------------- requests

    @Override
    public void request(long now, String id, int requestClass, int tenant, String key, long timeLeft,
            long work, boolean resubmission, Actions out) {
        RequestClass kind = settings.classes().get(requestClass);
        if (settings.warmKeys() && key != null && !resubmission) {
            keyCounts.merge(Hashing.hash(key), scale, Double::sum);
        }
        firstAt = arrivals == 0 ? now : firstAt;
        arrivals += resubmission ? 0 : 1;
        brought[tenant] += resubmission ? 0 : 1;
        long aim = kind.aim() + (work > 0 ? (long) (kind.aimStretch() * work) : 0);
        Request r = new Request(id, learned[requestClass], kind, settings.limits(),
            key == null ? 0 : Hashing.hash(key), now, timeLeft,
            now + aim - spent(requestClass, timeLeft, resubmission), overShare(tenant, now));
        open.put(id, r);
        if (work > 0) {
            double mean = r.learned.meanWork;
            r.learned.meanWork += (mean > 0 ? SMOOTH : 1) * (work - mean);
            r.size = 1 + HINTED * (work / r.learned.meanWork - 1);
        }
        wakeBy(now, tick, out);
        retryBudget = Math.min(BUDGET_MOST, retryBudget + RETRY_SHARE);
        if (shed(tierOf(r))) {
            if (now >= remarkAt) {      // the text is not made up for each of many refusals
                remark(now, String.format(Locale.ROOT, "overload: refusing, level %.2f, strain %.2f", level,
                    strain), out);
            }
            finish(r, now, out);
            return;
        }
        if (kind.inOrder() && key != null) {
            r.turn = turns.computeIfAbsent(r.key, k -> new Turn());
            r.turn.line.add(r);
        }
        if (!place(r, now, out)) {
            hold(r, now, out);
        }
    }

    private int tierOf(Request r) {
        return Arrays.binarySearch(tiers, value(r.kind, r.last));
    }

    // What a unit of work is worth, which is what an overloaded fleet runs short of. Where worth goes by
    // request, the dear ones are as a rule the heavy ones, and classes are turned away alike: turned away
    // by worth, the light class starved while the fleet served a fraction of the requests it could.
    private double value(RequestClass kind, boolean overShare) {
        return (settings.worthByWork() ? kind.worth() : 1) * (overShare ? settings.overShareWorth() : 1);
    }

    // This balancer's part of the traffic: even, or more where its middle tenant brings more. Traffic is not
    // spread evenly over balancers; one tenant far over its share must not widen the shares of all.
    private double ownPart() {
        double[] ratios = new double[brought.length];
        for (int i = 0; i < ratios.length; i++) {
            double even = settings.tenants().get(i).allowancePerSecond() / settings.balancers() * FADE / 1e6;
            ratios[i] = (brought[i] + FEW) / (even + FEW);
        }
        Arrays.sort(ratios);
        return Math.min(1, Math.max(1, ratios[(ratios.length - 1) / 2]) / settings.balancers());
    }

    // Overload: turns away the tiers under the level, and a part of the one that it has reached.
    private boolean shed(int tier) {
        asked[tier]++;
        return tier + random.nextDouble() < level + lean;
    }

    // Moves the level by how far the strain is from what the tier on the edge may cause. Guards against
    // queues in which all wait and all are late. Each balancer turns away a share of what it sees: a limit
    // on attempts in flight, which for most balancers is about one, refused most of a calm day. What the
    // strain of now adds by itself goes with it: by steps alone 14 balancers met a loss of 30 % of the fleet
    // 4 s too late, then refused all but the dearest for 8 s, most of it with the servers idle again.
    private void steer(double seconds) {
        int edge = Math.min(tiers.length - 1, (int) level);
        double worth = tiers[edge] / tiers[tiers.length - 1];
        double bound = STRAIN_CHEAP + (STRAIN_DEAR - STRAIN_CHEAP) * worth;
        double share = asked[edge] / Math.max(1, Arrays.stream(asked).sum());
        double excess = answers == 0 ? 0 : (strain - bound) / Math.max(SHARE_LEAST, share);
        // Within the tier on the edge: the next one has a bound of its own, and what is cheap returns slowly.
        double most = share < SHARE_LEAST ? LEAN_MOST : Math.min(LEAN_MOST, edge + 1 - level);
        lean = Math.max(worth < CHEAP ? 0 : edge - level, Math.min(most, LEAN * excess));
        double step = GAIN * seconds * excess;
        // Over-share traffic returns slowly: what crowding costs outweighs a cheap request.
        step = step > 0 ? step : step * (worth < CHEAP ? worth : RETURN);
        level = answers == 0 ? level : Math.max(0, Math.min(tiers.length - 0.05, level + step));
    }

    private void strained(double sample, long now) {
        double news = 1 - Math.exp(-(now - strainAt) / STRAIN_NEWS);
        double weight = Math.max(1.0 / ++answers, Math.min(1.0 / KNOWN, news));
        strain += weight * (Math.min(STRAIN_MOST, sample) - strain);
        strainAt = now;
    }

    // Time gone since the client's first try, where a marked resubmission shows it. Each try gets the same
    // time, or what is left of the class's deadline: one with another time than first tries tells its age.
    private long spent(int requestClass, long timeLeft, boolean resubmission) {
        long deadline = settings.classes().get(requestClass).deadline();
        if (!resubmission) {
            learned[requestClass].firstTry = Math.max(learned[requestClass].firstTry, timeLeft);
        }
        boolean tells = resubmission && Math.abs(timeLeft - learned[requestClass].firstTry) > deadline / 32;
        return tells ? Math.max(0, deadline - timeLeft) : 0;
    }

    // Whether this request exceeds its tenant's share: each has a bucket filled at its part of the rate.
    private boolean overShare(int tenant, long now) {
        if (settings.tenants().isEmpty()) {
            return false;
        }
        double rate = settings.tenants().get(tenant).allowancePerSecond() * ownPart();
        double most = Math.max(SHARE_BURST, rate * TENANT_BURST / 1e6);
        shareTokens[tenant] = Math.min(most, shareTokens[tenant] + rate * (now - shareAt[tenant]) / 1e6);
        shareAt[tenant] = now;
        if (shareTokens[tenant] < 1) {
            return true;
        }
        shareTokens[tenant]--;
        return false;
    }

    // When a request must be sent to be answered within its aim; one whose aim has passed is not held.
    private long latestStart(Request r) {
        if (r.aimAt <= r.arrived) {
            return r.arrived;
        }
        return Math.max(r.arrived + (r.aimAt - r.arrived) / 4, r.aimAt - (long) (2 * r.learned.usual));
    }

    // Keeps a request for which no server may be used now; one whose time is all but over is answered.
    private void hold(Request r, long now, Actions out) {
        if (now >= r.deadline - 2 * tick) {
            finish(r, now, out);
        } else if (!r.held) {
            r.held = true;
            List<Request> queue = held.get(r.last ? 1 : 0);
            int i = queue.size();
            while (i > 0 && latestStart(queue.get(i - 1)) > latestStart(r)) {
                i--;                    // the most urgent first: short aims ran out in the queue
            }
            queue.add(i, r);
        }
    }

    private void unhold(Request r) {
        if (r.held) {
            r.held = false;
            held.get(r.last ? 1 : 0).remove(r);
        }
    }

    private boolean place(Request r, long now, Actions out) {
        List<Node> candidates = hasTurn(r, now) ? candidates(r, now) : List.of();
        if (candidates.isEmpty()) {
            return false;
        }
        send(r, draw(candidates, now, out), now, out);
        return true;
    }

    private void send(Request r, Node n, long now, Actions out) {
        boolean repeats = firstThatMayHaveRun(r) != null && r.kind.effect() == Effect.KEYED;
        long within = repeats ? memoryLeft(r, now) : 0;
        Attempt a = new Attempt(n, r, now);
        r.attempts.add(a);
        r.out++;
        n.sent.add(a);
        n.inFlight++;
        inFlight++;
        n.count += scale;
        n.tokens--;
        if (repeats) {              // its connection may take longer to come up than repeats are dropped for
            out.send(r.id, n.server.id(), timeout(r, now), within);
        } else {
            out.send(r.id, n.server.id(), timeout(r, now));
        }
    }

    // What is not safe to repeat is given up at its aim, where a late answer earns little: its client won't
    // come again, and waiting work dropped then makes room for work that can be in time. What is safe would
    // come back; it leaves room for another attempt where copies are forbidden, and is not cut otherwise.
    private long timeout(Request r, long now) {
        if (r.kind.streamed()) {
            return 0;
        }
        if (r.kind.effect() != Effect.SAFE) {
            return r.kind.lateShare() < LATE_WORTH && r.aimAt > now ? r.aimAt - now : 0;
        }
        if (r.limits.mayDuplicate() || r.attempts.size() >= r.limits.maxAttempts()) {
            return 0;
        }
        long patience = Math.max((r.deadline - now) / 2, (long) (3 * r.learned.usual));
        return Math.max(1, Math.min(r.deadline - now, patience));
    }

    // Sends held requests as servers come free, those within their share first.
    private void drainHeld(long now, Actions out) {
        for (List<Request> queue : held) {
            Iterator<Request> i = queue.iterator();
            while (i.hasNext()) {
                Request r = i.next();
                if (r.closed || place(r, now, out)) {
                    r.held = false;
                    i.remove();
                } else if (r.attempts.isEmpty() && r.turn == null && r.kind.zones().isEmpty()
                        && r.kind.machineKinds().isEmpty()) {
                    return;         // any server would do for this one: none is free
                }
            }
        }
    }

    private void finish(Request r, long now, Actions out) {
        r.closed = true;
        boolean harmless = firstThatMayHaveRun(r) == null || r.kind.effect() == Effect.SAFE
            || r.kind.effect() == Effect.KEYED && r.kind.scope() == Scope.ALL;
        if (harmless) {
            out.reject(r.id, 0);
        } else {
            out.fail(r.id);
        }
        forget(r);
    }

    private void forget(Request r) {
        if (r.closed && r.out == 0) {
            open.remove(r.id);
            if (r.turn != null) {
                r.turn.line.remove(r);
            }
        }
    }

    @Override
    public void outcome(long now, String id, int attempt, Outcome outcome, long latency, boolean closed,
            Load load, Actions out) {
        Request r = open.get(id);
        if (r == null || attempt >= r.attempts.size() || !r.attempts.get(attempt).out) {
            return;
        }
        Attempt a = r.attempts.get(attempt);
        a.out = false;
        a.mayHaveRun = !outcome.neverRan();
        turnedAway += outcome.neverRan() ? 1 : 0;
        r.out--;
        a.node.inFlight--;
        inFlight--;
        if (r.turn != null && a.mayHaveRun && outcome != Outcome.OK && outcome != Outcome.ERROR) {
            r.turn.restUntil = Math.max(r.turn.restUntil, now + settings.bounds().orderPause());
        }
        report(a.node, load, now);
        learn(a, outcome, latency, now, out);
        if (closed) {
            close(r, out);
        } else if (!r.closed && r.out == 0) {
            again(r, outcome, now, out);
        }
        forget(r);
        drainHeld(now, out);
    }

    private void close(Request r, Actions out) {
        r.closed = true;
        for (int i = 0; i < r.attempts.size(); i++) {
            if (r.attempts.get(i).out && r.limits.mayCancel() && !r.streaming) {
                out.cancel(r.id, i);
            }
        }
    }

    // After a failed attempt: another one, if the class, the deadline and the retry budget allow it.
    private void again(Request r, Outcome outcome, long now, Actions out) {
        boolean allowed = outcome.neverRan() || r.kind.effect() != Effect.UNSAFE && retryBudget >= 1;
        // Nothing can be won by holding what may not be repeated any more.
        allowed &= r.kind.effect() != Effect.KEYED || firstThatMayHaveRun(r) == null
            || memoryLeft(r, now) > 0;
        if (!allowed || outcome == Outcome.NOT_SENT || r.attempts.size() >= r.limits.maxAttempts()
            || now >= (r.kind.effect() == Effect.SAFE ? r.deadline : r.aimAt) - tick) {
            finish(r, now, out);
            return;
        }
        if (!outcome.neverRan()) {
            retryBudget--;
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
    private void hedge(Request r, boolean crowded, long now, Actions out) {
        boolean safe = r.kind.effect() == Effect.SAFE;
        if (r.out != 1 || r.closed || r.streaming || r.kind.effect() == Effect.UNSAFE || safe && crowded
            || now >= r.aimAt || r.attempts.size() >= r.limits.maxAttempts()
            || !r.limits.mayDuplicate() || retryBudget < HEDGE_LEAST) {
            return;
        }
        double expected = r.learned.usual * r.size;
        double room = safe ? r.aimAt - r.arrived - 2 * expected : 0;
        double patience = Math.max(expected, room);
        if (now - r.attempts.get(r.attempts.size() - 1).at < patience) {
            return;
        }
        List<Node> others = candidates(r, now);
        others.removeIf(n -> wasTried(r, n));
        if (!others.isEmpty()) {
            retryBudget--;
            send(r, draw(others, now, out), now, out);
        }
    }

    @Override
    public void streamStarted(long now, String id, int attempt, Actions out) {
        Request r = open.get(id);
        if (r != null) {
            r.streaming = true;
        }
    }

    @Override
    public void clientDisconnected(long now, String id, Actions out) {
        Request r = open.get(id);
        if (r != null && !r.closed) {
            close(r, out);
            unhold(r);
            forget(r);
        }
    }

    // ---------------------------------------------------------------- health and limits

    // Guards against figures that no server can mean: what is missing, negative or absurd is passed over.
    private void report(Node n, Load load, long now) {
        if (load != null && load.inFlight() >= 0 && load.inFlight() < REPORT_MOST) {
            n.reported = load.inFlight();
            n.reportedAt = now;
        }
    }

    private static double slowness(Node n, long now) {
        return 1 + (n.slowness - 1) * Math.exp(-(now - n.slownessAt) / FADE);
    }

    private static void slowed(Node n, double ratio, long now) {
        double old = slowness(n, now);
        n.slowness = old + SLOW_SMOOTH * (Math.min(SLOW_MOST, ratio) - old);
        n.slownessAt = now;
    }

    private void learn(Attempt a, Outcome outcome, long latency, long now, Actions out) {
        Node n = a.node;
        RequestClass kind = a.request.kind;
        Learned of = a.request.learned;
        double usually = of.usual * a.request.size;
        switch (outcome) {
            case OK -> {
                n.oks += scale;
                n.lastOk = now;
                slowed(n, latency / usually, now);
                of.usual += SMOOTH * (latency - of.usual);
                if (n.trial > 0 && --n.trial == 0) {
                    n.ejections = 0;
                    n.fails = 0;
                    remark(now, "recovered " + n.server.id(), out);
                }
                strained(latency / (double) kind.aim(), now);
            }
            case CANCELLED -> {         // the copy came first, or the client left
                if (latency > 2 * usually) {    // its server may well be at it still
                    failed(n, 0, (long) (2 * of.usual), now, out);
                    slowed(n, Math.max(slowness(n, now), latency / usually), now);
                }
            }
            case NOT_SENT -> { }
            case FULL -> {
                // A hung server fills up and then only turns away: without answers that is no mere overload.
                failed(n, now - n.lastOk > QUICK ? 0.5 : 0, (long) of.usual, now, out);
                // It answers in no time, so it would win again and again while its queue is longest of all.
                n.fullUntil = now + (long) (of.usual * (0.5 + random.nextDouble()));
                strained(FULL_STRAIN, now);
            }
            // A time-out may be the fault of the load: it takes more of them.
            case TIMEOUT -> {
                slowed(n, latency / usually, now);
                strained(STRAIN_MOST, now);
                failed(n, 0.5, (long) (2 * of.usual), now, out);
            }
            default -> failed(n, 1, (long) (2 * of.usual), now, out);
        }
    }

    // A failure neither earns rank nor frees its slot at once, and enough of them eject the server.
    private void failed(Node n, double weight, long penalty, long now, Actions out) {
        n.count = Math.max(0, n.count - scale);
        n.penalties.add(now + penalty);
        n.fails += weight * scale;
        boolean many = n.fails > FAIL_COUNT * scale && n.fails > FAIL_SHARE * (n.fails + n.oks);
        if (weight > 0 && (n.trial > 0 || many)) {
            eject(n, now, out);
        }
    }

    private void eject(Node n, long now, Actions out) {
        if (n.ejectedUntil > now) {
            return;
        }
        long length = EJECT_FIRST << Math.min(EJECT_DOUBLINGS, n.ejections++);
        n.ejectedUntil = now + length + random.nextLong(length / 4);
        n.trial = TRIALS_OK;
        remark(now, "ejected " + n.server.id() + " for " + length / 1000 + " ms after failures", out);
    }

    @Override
    public void probeCompleted(long now, String server, Outcome outcome, long latency, Load load, Actions out) { }

    private void remark(long now, String line, Actions out) {
        if (now >= remarkAt) {
            remarkAt = now + 1_000_000;
            out.log(line);
        }
    }

    // ---------------------------------------------------------------- time

    @Override
    public void wake(long now, Actions out) {
        if (now < wakeAt) {
            return;                     // asked for before an earlier one was
        }
        wakeAt = Long.MAX_VALUE;
        double keep = Math.exp(-(now - fadedAt) / FADE);
        scale /= Math.max(keep, 1 / GAIN_MOST);
        arrivals *= keep;
        turnedAway *= keep;
        fade(asked, keep);
        fade(brought, keep);
        if (now >= refreshAt) {
            refresh(now);
        }
        shortestUsual = shortestUsual();
        ownMean += (1 - Math.exp(-(now - fadedAt) / QUICK)) * (inFlight - ownMean);
        if (now - strainAt > FORGET) {
            strain *= Math.exp(-(now - fadedAt) / FORGET);
        }
        steer((now - fadedAt) / 1e6);
        fadedAt = now;
        drainHeld(now, out);
        for (List<Request> queue : held) {
            for (Request r : new ArrayList<>(queue)) {
                sweep(r, now, out);
            }
        }
        if (level + lean < hedgeLevel) {
            boolean crowded = turnedAway > HEDGE_FULL * arrivals;
            open.values().forEach(r -> hedge(r, crowded, now, out));
        }
        if (now >= askAt) {
            ask(now, out);
        }
        wakeBy(now, open.isEmpty() ? REFRESH : tick, out);
    }

    private void wakeBy(long now, long delay, Actions out) {
        if (now + delay < wakeAt) {
            wakeAt = now + delay;
            out.wakeAfter(delay);
        }
    }

    private static void fade(double[] counts, double keep) {
        for (int i = 0; i < counts.length; i++) {
            counts[i] *= keep;
        }
    }

    // Rule 1: answers held requests in time, new ones as soon as they can't be answered within their aim.
    private void sweep(Request r, long now, Actions out) {
        long until = r.deadline - 2 * tick;
        if (now >= (r.attempts.isEmpty() ? Math.min(until, latestStart(r)) : until)) {
            unhold(r);
            finish(r, now, out);
        }
    }

    // ---------------------------------------------------------------- membership

    @Override
    public void updateEndpoints(long now, ListKind kind, List<Server> servers, Actions out) {
        if (wakeAt == Long.MAX_VALUE) {
            Arrays.fill(shareAt, now);
            fadedAt = now;
            wakeBy(now, tick, out);
        }
        if (kind == ListKind.FAILED) {
            long pause = Math.min(settings.bounds().askWithin() / 2, 500_000L << Math.min(4, askFailures++));
            askAt = Math.min(askAt, now + pause / 2 + random.nextLong(Math.max(1, pause)));
            remark(now, "discovery failed " + askFailures + " times, asking again", out);
            return;
        }
        if (kind == ListKind.PERSISTED) {
            if (settings.discovery() == Discovery.ASK) {
                ask(now, out);
            }
        } else {
            askFailures = 0;
            askAt = Long.MAX_VALUE;
        }
        if (kind != ListKind.PARTIAL) {
            for (Node n : nodes.values()) {
                n.server = n.server.withState(State.GONE);
            }
        }
        for (Server s : servers) {
            enter(s, now);
        }
        listed = new ArrayList<>();
        for (Node n : nodes.values()) {
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
        Node n = nodes.get(s.id());
        if (n == null || n.server.startedAt() != s.startedAt() && s.startedAt() > 0) {
            if (n != null) {
                setPoints(n, 0);
            }
            n = new Node(s, random.nextInt());
            n.tokens = random.nextDouble();
            n.tokensAt = now;
            n.lastOk = now;
            nodes.put(s.id(), n);
        }
        n.server = s;
    }

    // Puts the servers on the ring at points that follow from their ids: a change of the list moves few, and
    // only those are touched. Made anew at each step of a deploy, the ring cost more than all requests.
    private void arrange() {
        meanWeight = listed.stream().mapToDouble(n -> n.server.weight()).average().orElse(1);
        for (Node n : nodes.values()) {
            double share = POINTS * n.server.weight() / meanWeight;
            int many = (int) Math.max(1, Math.min(8 * POINTS, Math.round(share)));
            setPoints(n, n.server.state() == State.UP ? many : 0);
        }
        ring = null;
        walk++;
        homeRing = Stream.of(points.tailMap(home), points.headMap(home)).flatMap(m -> m.values().stream())
            .filter(n -> n.walk != walk).peek(n -> n.walk = walk).toArray(Node[]::new);
    }

    private void setPoints(Node n, int many) {
        while (n.points < many) {
            points.put(Hashing.mix(n.hash + n.points++), n);
        }
        while (n.points > many) {
            points.remove(Hashing.mix(n.hash + --n.points), n);
        }
    }

    // The paper's p: the share of servers of the kinds whose mean weight is above the mean of all.
    private double fastShare() {
        Map<Integer, double[]> kinds = new LinkedHashMap<>();
        double sum = 0;
        for (Node n : listed) {
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

    // Subscribes; asks again if nothing answers.
    private void ask(long now, Actions out) {
        long within = settings.bounds().askWithin();
        askAt = now + within / 2 + random.nextLong(1 + within / 8);
        out.watch(true);
    }
}
