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
 * Simulates many balancers in virtual time, each with its own instance of the policy. A server processes one request
 * at a time, in order of arrival, and rejects requests while its queue is full; clients resubmit rejected requests.
 * All counts are sums over all balancers.
 */
final class FleetModel {
    private static final long STEP_MICROS = 5_000;
    private static final int QUEUE_CAPACITY = 12;
    private static final IdleTimeout IDLE_TIMEOUT = new IdleTimeout(0);
    private static final int MAX_SUBMISSIONS = 3;
    private static final long RESUBMIT_DELAY_MICROS = 50_000;

    private static final class ModelServer {
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        Server server;
        final ArrayDeque<Long> recentSendTimes = new ArrayDeque<>(); // within the last fall window, during slow start
        double speedFactor = 1;
        long busyUntilMicros;
    }

    /** One balancer's connections, each with one request at a time, closed by the real balancer's idle timeout. */
    private final class PooledConnections implements PolicyTestHarness.ConnectionModel {
        private final PolicyTestHarness balancer;
        private final Map<String, ArrayDeque<Long>> idleSinceByServer = new HashMap<>();

        PooledConnections(PolicyTestHarness balancer) {
            this.balancer = balancer;
        }

        // Closes the connections whose idle timeout is over. The queue is ordered by last use, so the first one is
        // spare as long as others follow.
        private ArrayDeque<Long> idleConnections(String server) {
            ArrayDeque<Long> idleSince = idleSinceByServer.computeIfAbsent(server, id -> new ArrayDeque<>());
            while (!idleSince.isEmpty()
                    && IDLE_TIMEOUT.isExpired(balancer.nowMicros - idleSince.peekFirst(), idleSince.size() - 1)) {
                idleSince.pollFirst();
            }
            return idleSince;
        }

        @Override
        public boolean isConnected(String server) {
            return !idleConnections(server).isEmpty();
        }

        @Override
        public void attemptSent(String server) {
            if (idleConnections(server).pollLast() == null) {
                connectionsOpened++;
            }
        }
    }

    private record Job(PolicyTestHarness balancer, PolicyTestHarness.SentAttempt attempt, long workMicros) {}

    private record Submission(long submittedAtMicros, int requestClass, int number, long workMicros) {}

    final List<PolicyTestHarness> balancers = new ArrayList<>();
    final int[] arrivals;
    final int[] withinObjective;
    final int[] rejections;
    // Most attempts sent to one cold server within a fall window, relative to the number that rule 4 allows.
    double maxSendsToAllowedRatio;
    // The same relative to the number that overloads the server: n + 3 * sqrt(n) + 3, where n are allowed.
    double maxSendsToFailureRatio;
    int coldSends;
    int connectionsOpened; // connections to servers
    long nowMicros = PolicyTestHarness.START_MICROS;
    private final Policy.Settings settings;
    private final SplittableRandom random;
    private final Map<String, ModelServer> modelServers = new HashMap<>();
    private final PriorityQueue<Submission> submissions =
            new PriorityQueue<>((a, b) -> Long.compare(a.submittedAtMicros, b.submittedAtMicros));
    private final Map<String, Submission> openSubmissions = new HashMap<>();
    private final List<Integer> processedSends = new ArrayList<>();
    private final List<List<Job>> outstandingJobs = new ArrayList<>();
    private final Map<String, Double> slowdownByIdPrefix = new HashMap<>();
    private int submissionCount;
    private long meanWorkMicros = 1;

    FleetModel(Policy.Settings settings, List<Server> servers, long seed) {
        this(settings, settings.balancers(), servers, seed);
    }

    /** Simulates another number of balancers than the settings state. */
    FleetModel(Policy.Settings settings, int balancerCount, List<Server> servers, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        arrivals = new int[settings.classes().size()];
        withinObjective = new int[arrivals.length];
        rejections = new int[arrivals.length];
        servers.forEach(s -> modelServers.computeIfAbsent(s.id(), id -> new ModelServer()).server = s);
        for (int i = 0; i < balancerCount; i++) {
            Policy.Settings shared = settings;
            PolicyTestHarness harness = new PolicyTestHarness(
                    new Policy.Settings(
                            shared.balancers(),
                            i % shared.balancers(),
                            shared.zone(),
                            shared.classes(),
                            shared.tenants(),
                            shared.overShareWorth(),
                            shared.goal(),
                            shared.prices(),
                            shared.worthByWork(),
                            shared.discovery(),
                            shared.reports(),
                            shared.warmKeys(),
                            shared.limits(),
                            shared.bounds(),
                            shared.clockTickMicros()),
                    random.nextLong());
            harness.connections = new PooledConnections(harness);
            balancers.add(harness.updateEndpoints(ListKind.PERSISTED, servers));
            processedSends.add(0);
            outstandingJobs.add(new ArrayList<>());
        }
    }

    /** Changes servers and notifies all balancers at once. */
    void updateEndpoints(List<Server> servers) {
        servers.forEach(s -> modelServers.computeIfAbsent(s.id(), id -> new ModelServer()).server = s);
        modelServers.values().forEach(this::applySlowdowns);
        balancers.forEach(b -> b.updateEndpoints(ListKind.PARTIAL, servers));
    }

    /** Advances the time with new requests; their intervals and their work are exponentially distributed. */
    void run(long durationMicros, double requestsPerSecond, double[] classShares, long meanWorkMicros) {
        this.meanWorkMicros = meanWorkMicros;
        long end = nowMicros + durationMicros;
        double nextArrival = nowMicros;
        while (nowMicros < end) {
            while (nextArrival < nowMicros + STEP_MICROS) {
                double classDraw = random.nextDouble();
                int requestClass = 0;
                while (classDraw >= classShares[requestClass]) {
                    classDraw -= classShares[requestClass++];
                }
                arrivals[requestClass]++;
                submissions.add(new Submission((long) nextArrival, requestClass, 1, (long)
                        (-meanWorkMicros * Math.log(1 - random.nextDouble()))));
                nextArrival += -1e6 / requestsPerSecond * Math.log(1 - random.nextDouble());
            }
            step();
        }
    }

    private void step() {
        nowMicros += STEP_MICROS;
        for (PolicyTestHarness balancer : balancers) {
            balancer.advanceTime(nowMicros - balancer.nowMicros);
        }
        while (!submissions.isEmpty() && submissions.peek().submittedAtMicros <= nowMicros) {
            Submission submission = submissions.poll();
            PolicyTestHarness balancer = balancers.get(random.nextInt(balancers.size()));
            String id = "q" + submissionCount++;
            openSubmissions.put(id, submission);
            balancer.request(
                    id,
                    submission.requestClass,
                    0,
                    settings.classes().get(submission.requestClass).deadlineMicros());
        }
        modelServers.values().forEach(this::serve);
        for (int i = 0; i < balancers.size(); i++) {
            processActions(i);
        }
    }

    // Only OK and FULL leave the connection idle; an attempt that was given up closes its connection.
    private void endAttempt(PolicyTestHarness balancer, PolicyTestHarness.SentAttempt attempt, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.FULL) {
            ((PooledConnections) balancer.connections)
                    .idleConnections(attempt.server)
                    .addLast(balancer.nowMicros);
        }
        if (settings.reports() == Policy.Reports.ANSWERS) {
            balancer.reportedInFlight = modelServers.get(attempt.server).queue.size();
        }
        balancer.endAttempt(attempt, outcome);
    }

    private void serve(ModelServer modelServer) {
        modelServer.queue.removeIf(j -> j.attempt.ended);
        while (!modelServer.queue.isEmpty() && modelServer.busyUntilMicros <= nowMicros) {
            Job job = modelServer.queue.poll();
            double speedFactor = modelServer.speedFactor * modelServer.server.weight() * warmth(modelServer);
            modelServer.busyUntilMicros = Math.max(nowMicros - STEP_MICROS, modelServer.busyUntilMicros)
                    + (long) (job.workMicros / speedFactor);
            if (!job.attempt.ended) {
                endAttempt(job.balancer, job.attempt, Outcome.OK);
                Submission submission = openSubmissions.remove(job.attempt.request);
                if (submission != null) {
                    long latencyMicros = nowMicros - submission.submittedAtMicros;
                    withinObjective[submission.requestClass] += latencyMicros
                                    <= settings.classes()
                                            .get(submission.requestClass)
                                            .aimMicros()
                            ? 1
                            : 0;
                }
            }
        }
    }

    // Rule 4 limits the sends within any window. All attempts that reach the server count, rejected ones too.
    private void recordSend(ModelServer modelServer, long sentAtMicros) {
        if (warmth(modelServer) < 1) {
            modelServer.recentSendTimes.add(sentAtMicros);
            while (modelServer.recentSendTimes.peekFirst()
                    <= sentAtMicros - settings.bounds().fallWindowMicros()) {
                modelServer.recentSendTimes.pollFirst();
            }
            double allowedSends = settings.bounds().overloadFactor()
                    * settings.bounds().fallWindowMicros()
                    / meanWorkMicros
                    * modelServer.speedFactor
                    * modelServer.server.weight()
                    * warmth(modelServer);
            maxSendsToAllowedRatio =
                    Math.max(maxSendsToAllowedRatio, modelServer.recentSendTimes.size() / allowedSends);
            maxSendsToFailureRatio = Math.max(
                    maxSendsToFailureRatio,
                    modelServer.recentSendTimes.size() / (allowedSends + 3 * Math.sqrt(allowedSends) + 3));
            coldSends++;
        }
    }

    /** From now on, servers with this prefix of their id need {@code factor} times as long for each request. */
    void slowDown(String idPrefix, double factor) {
        slowdownByIdPrefix.put(idPrefix, factor);
        modelServers.values().forEach(this::applySlowdowns);
    }

    private void applySlowdowns(ModelServer modelServer) {
        slowdownByIdPrefix.forEach((idPrefix, factor) -> modelServer.speedFactor =
                modelServer.server.id().startsWith(idPrefix) ? 1 / factor : modelServer.speedFactor);
    }

    private double warmth(ModelServer modelServer) {
        long startedAtMicros = modelServer.server.startedAtMicros();
        double rampProgress = startedAtMicros == 0
                ? 1
                : (double) (nowMicros - startedAtMicros) / settings.bounds().rampTimeMicros();
        return Math.min(1, settings.bounds().coldFrom() + (1 - settings.bounds().coldFrom()) * rampProgress);
    }

    // Carries out what a balancer has sent, given up or answered since the last step.
    private void processActions(int balancerIndex) {
        PolicyTestHarness balancer = balancers.get(balancerIndex);
        List<Job> jobs = outstandingJobs.get(balancerIndex);
        for (;
                processedSends.get(balancerIndex) < balancer.sentAttempts.size();
                processedSends.set(balancerIndex, processedSends.get(balancerIndex) + 1)) {
            PolicyTestHarness.SentAttempt attempt = balancer.sentAttempts.get(processedSends.get(balancerIndex));
            ModelServer modelServer = modelServers.get(attempt.server);
            Submission submission = openSubmissions.get(attempt.request);
            recordSend(modelServer, attempt.sentAtMicros);
            if (modelServer.server.state() != State.UP
                    || modelServer.queue.size() >= QUEUE_CAPACITY * modelServer.server.weight()) {
                endAttempt(balancer, attempt, Outcome.FULL);
            } else {
                Job job = new Job(balancer, attempt, submission == null ? 0 : submission.workMicros);
                modelServer.queue.add(job);
                jobs.add(job);
            }
        }
        jobs.removeIf(j -> j.attempt.ended);
        for (Job job : List.copyOf(jobs)) {
            if (job.attempt.timeoutMicros > 0 && nowMicros - job.attempt.sentAtMicros >= job.attempt.timeoutMicros) {
                endAttempt(balancer, job.attempt, Outcome.TIMEOUT);
            } else if (balancer.cancelledAttempts.contains(job.attempt.request + "/" + job.attempt.number)) {
                endAttempt(balancer, job.attempt, Outcome.CANCELLED);
            }
        }
        balancer.cancelledAttempts.clear();
        balancer.finalResponses.forEach((id, response) -> {
            Submission submission = openSubmissions.remove(id);
            if (submission != null && response.equals("rejected")) {
                rejections[submission.requestClass]++;
                long elapsedMicros = nowMicros - submission.submittedAtMicros;
                if (submission.number < MAX_SUBMISSIONS
                        && elapsedMicros
                                < settings.classes()
                                        .get(submission.requestClass)
                                        .deadlineMicros()) {
                    submissions.add(new Submission(
                            nowMicros + RESUBMIT_DELAY_MICROS,
                            submission.requestClass,
                            submission.number + 1,
                            submission.workMicros));
                }
            }
        });
        balancer.finalResponses.clear();
    }
}
