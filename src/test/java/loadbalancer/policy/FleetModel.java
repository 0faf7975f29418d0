package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import loadbalancer.connections.IdleTimeout;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;

/**
 * Many instances of the module in virtual time, before servers that serve one request at a time, in order,
 * and reject what finds their queue full; clients resubmit what was rejected. All counts are over all instances.
 */
final class FleetModel {
    private static final long STEP = 5_000;
    private static final int QUEUE_CAPACITY = 12;
    private static final IdleTimeout IDLE_TIMEOUT = new IdleTimeout(0);
    private static final int MAX_SUBMISSIONS = 3;
    private static final long RESUBMIT_AFTER = 50_000;

    private static final class ModelServer {
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        Server server;
        final ArrayDeque<Long> sends = new ArrayDeque<>(); // of the last fall window, while it is cold
        double speed = 1;
        long freeAt;
    }

    /** One balancer's connections, each carrying one request at a time, kept as the real one keeps them. */
    private final class Connections implements PolicyTestHarness.Links {
        private final PolicyTestHarness of;
        private final Map<String, ArrayDeque<Long>> idle = new HashMap<>();

        Connections(PolicyTestHarness of) {
            this.of = of;
        }

        // Spare ones go first: of those behind it the last was used latest.
        private ArrayDeque<Long> idle(String server) {
            ArrayDeque<Long> at = idle.computeIfAbsent(server, id -> new ArrayDeque<>());
            while (!at.isEmpty() && IDLE_TIMEOUT.ends(of.now - at.peekFirst(), at.size() - 1)) {
                at.pollFirst();
            }
            return at;
        }

        @Override
        public boolean connected(String server) {
            return !idle(server).isEmpty();
        }

        @Override
        public void sent(String server) {
            if (idle(server).pollLast() == null) {
                opened++;
            }
        }
    }

    private record Job(PolicyTestHarness at, PolicyTestHarness.Sent sent, long work) {}

    private record Submission(long at, int requestClass, int number, long work) {}

    final List<PolicyTestHarness> balancers = new ArrayList<>();
    final int[] asked;
    final int[] inTime;
    final int[] refused;
    double worstCold; // highest number sent to a cold server in a fall window, in parts of what rule 4 allows
    double worstFall; // the same, in parts of what fells it: n + 3 * root of n + 3 of n allowed
    int coldSends;
    int opened; // connections to servers, of all balancers
    long now = PolicyTestHarness.START;
    private final Policy.Settings settings;
    private final SplittableRandom random;
    private final Map<String, ModelServer> modelServers = new HashMap<>();
    private final PriorityQueue<Submission> submissions = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Map<String, Submission> open = new HashMap<>();
    private final List<Integer> seen = new ArrayList<>();
    private final List<List<Job>> sentOut = new ArrayList<>();
    private final Map<String, Double> slowed = new HashMap<>();
    private int requests;
    private long work = 1;

    FleetModel(Policy.Settings settings, List<Server> servers, long seed) {
        this(settings, settings.balancers(), servers, seed);
    }

    /** With another number of balancers than the settings tell. */
    FleetModel(Policy.Settings settings, int instances, List<Server> servers, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        asked = new int[settings.classes().size()];
        inTime = new int[asked.length];
        refused = new int[asked.length];
        servers.forEach(s -> modelServers.computeIfAbsent(s.id(), id -> new ModelServer()).server = s);
        for (int i = 0; i < instances; i++) {
            Policy.Settings s = settings;
            PolicyTestHarness harness = new PolicyTestHarness(
                    new Policy.Settings(
                            s.balancers(),
                            i % s.balancers(),
                            s.zone(),
                            s.classes(),
                            s.tenants(),
                            s.overShareWorth(),
                            s.goal(),
                            s.prices(),
                            s.worthByWork(),
                            s.discovery(),
                            s.reports(),
                            s.warmKeys(),
                            s.limits(),
                            s.bounds(),
                            s.clockTickMicros()),
                    random.nextLong());
            harness.links = new Connections(harness);
            balancers.add(harness.list(ListKind.PERSISTED, servers));
            seen.add(0);
            sentOut.add(new ArrayList<>());
        }
    }

    /** A change that all balancers hear of at once. */
    void change(List<Server> servers) {
        servers.forEach(s -> modelServers.computeIfAbsent(s.id(), id -> new ModelServer()).server = s);
        modelServers.values().forEach(this::speed);
        balancers.forEach(b -> b.list(ListKind.PARTIAL, servers));
    }

    /** Lets time pass, with {@code rate} new requests a second of {@code work} µs each on average. */
    void run(long time, double rate, double[] shares, long work) {
        this.work = work;
        long until = now + time;
        double next = now;
        while (now < until) {
            while (next < now + STEP) {
                double draw = random.nextDouble();
                int kind = 0;
                while (draw >= shares[kind]) {
                    draw -= shares[kind++];
                }
                asked[kind]++;
                submissions.add(
                        new Submission((long) next, kind, 1, (long) (-work * Math.log(1 - random.nextDouble()))));
                next += -1e6 / rate * Math.log(1 - random.nextDouble());
            }
            step();
        }
    }

    private void step() {
        now += STEP;
        for (PolicyTestHarness b : balancers) {
            b.pass(now - b.now);
        }
        while (!submissions.isEmpty() && submissions.peek().at <= now) {
            Submission t = submissions.poll();
            PolicyTestHarness b = balancers.get(random.nextInt(balancers.size()));
            String id = "q" + requests++;
            open.put(id, t);
            b.request(
                    id,
                    t.requestClass,
                    0,
                    settings.classes().get(t.requestClass).deadlineMicros());
        }
        modelServers.values().forEach(this::serve);
        for (int i = 0; i < balancers.size(); i++) {
            take(i);
        }
    }

    // Giving up an attempt closes its connection.
    private void end(PolicyTestHarness at, PolicyTestHarness.Sent sent, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.FULL) {
            ((Connections) at.links).idle(sent.server).addLast(at.now);
        }
        if (settings.reports() == Policy.Reports.ANSWERS) {
            at.reported = modelServers.get(sent.server).queue.size();
        }
        at.end(sent, outcome);
    }

    private void serve(ModelServer modelServer) {
        modelServer.queue.removeIf(j -> j.sent.ended);
        while (!modelServer.queue.isEmpty() && modelServer.freeAt <= now) {
            Job job = modelServer.queue.poll();
            double speed = modelServer.speed * modelServer.server.weight() * warmth(modelServer);
            modelServer.freeAt = Math.max(now - STEP, modelServer.freeAt) + (long) (job.work / speed);
            if (!job.sent.ended) {
                end(job.at, job.sent, Outcome.OK);
                Submission t = open.remove(job.sent.request);
                if (t != null) {
                    long took = now - t.at;
                    inTime[t.requestClass] +=
                            took <= settings.classes().get(t.requestClass).aimMicros() ? 1 : 0;
                }
            }
        }
    }

    // Rule 4, as a budget over any window: all that reaches the server counts, also what it rejects.
    private void count(ModelServer modelServer, long at) {
        if (warmth(modelServer) < 1) {
            modelServer.sends.add(at);
            while (modelServer.sends.peekFirst() <= at - settings.bounds().fallWindowMicros()) {
                modelServer.sends.pollFirst();
            }
            double allowed = settings.bounds().overloadFactor()
                    * settings.bounds().fallWindowMicros()
                    / work
                    * modelServer.speed
                    * modelServer.server.weight()
                    * warmth(modelServer);
            worstCold = Math.max(worstCold, modelServer.sends.size() / allowed);
            worstFall = Math.max(worstFall, modelServer.sends.size() / (allowed + 3 * Math.sqrt(allowed) + 3));
            coldSends++;
        }
    }

    /** Servers so named need so many times as long for everything, from here on. */
    void slow(String prefix, double times) {
        slowed.put(prefix, times);
        modelServers.values().forEach(this::speed);
    }

    private void speed(ModelServer modelServer) {
        slowed.forEach((prefix, times) ->
                modelServer.speed = modelServer.server.id().startsWith(prefix) ? 1 / times : modelServer.speed);
    }

    private double warmth(ModelServer modelServer) {
        long start = modelServer.server.startedAtMicros();
        double age = start == 0 ? 1 : (double) (now - start) / settings.bounds().rampTimeMicros();
        return Math.min(1, settings.bounds().coldFrom() + (1 - settings.bounds().coldFrom()) * age);
    }

    // What a balancer has sent, given up or answered since the last step.
    private void take(int number) {
        PolicyTestHarness b = balancers.get(number);
        List<Job> jobs = sentOut.get(number);
        for (; seen.get(number) < b.sends.size(); seen.set(number, seen.get(number) + 1)) {
            PolicyTestHarness.Sent s = b.sends.get(seen.get(number));
            ModelServer modelServer = modelServers.get(s.server);
            Submission t = open.get(s.request);
            count(modelServer, s.at);
            if (modelServer.server.state() != State.UP
                    || modelServer.queue.size() >= QUEUE_CAPACITY * modelServer.server.weight()) {
                end(b, s, Outcome.FULL);
            } else {
                Job job = new Job(b, s, t == null ? 0 : t.work);
                modelServer.queue.add(job);
                jobs.add(job);
            }
        }
        jobs.removeIf(j -> j.sent.ended);
        for (Job j : List.copyOf(jobs)) {
            if (j.sent.timeout > 0 && now - j.sent.at >= j.sent.timeout) {
                end(b, j.sent, Outcome.TIMEOUT);
            } else if (b.cancels.contains(j.sent.request + "/" + j.sent.number)) {
                end(b, j.sent, Outcome.CANCELLED);
            }
        }
        b.cancels.clear();
        b.finals.forEach((id, how) -> {
            Submission t = open.remove(id);
            if (t != null && how.equals("refused")) {
                refused[t.requestClass]++;
                long elapsed = now - t.at;
                if (t.number < MAX_SUBMISSIONS
                        && elapsed < settings.classes().get(t.requestClass).deadlineMicros()) {
                    submissions.add(new Submission(now + RESUBMIT_AFTER, t.requestClass, t.number + 1, t.work));
                }
            }
        });
        b.finals.clear();
    }
}
