package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.toml.Problems;
import loadbalancer.proxy.Clock;
import loadbalancer.testbed.fleet.BalancerMember;
import loadbalancer.testbed.fleet.Fault;
import loadbalancer.testbed.fleet.LoadShares;
import loadbalancer.testbed.fleet.LoadSpread;

/**
 * Many processes of the program in front of stand-in servers and a discovery, with a load that is uneven over the
 * balancers and faults that affect some of them: they are stalled, killed, stopped and restarted, by their
 * process ids. One ledger covers all of them. {@link #play} is for one thread and may be called once;
 * {@link #close} may be called from any, and ends every process that was started.
 */
public final class FleetRun implements AutoCloseable {
    private static final int WATCH_TIMEOUT_SECONDS = 60; // until each process has its watch
    private static final long LEAD_MICROS = 200_000;
    private static final int EXAMPLES = 5;
    private static final int CLIENT_CONNECTIONS = 20_000; // a thin load over many balancers keeps many idle ones
    private static final long SEED_MASK = 0xdea1; // the shares draw other numbers than the schedule
    private static final int FAULT_THREADS = 8;
    private static final int POLL_MILLIS = 20;
    private static final int SAMPLE_MILLIS = 100;
    private static final int SAMPLES_PER_LINE = 10;
    private static final int CLOSE_MILLIS = 2_000;

    private final FleetRunPlan plan;
    private final Scenario scenario;
    private final String classPath;
    private final PrintStream out;
    private final Clock clock = Clock.system();
    private final Ledger ledger = new Ledger();
    private final RequestCounts counts;
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop serverLoop = loops.next();
    private final EventLoop loadLoop = loops.next();
    private final ScheduledExecutorService faultExecutor = Executors.newScheduledThreadPool(FAULT_THREADS);
    private final List<ArrivalSchedule.ScheduledRequest> schedule;
    private final StandInFleet servers;
    private final List<BalancerMember> members = new CopyOnWriteArrayList<>(); // the running ones, by place
    private final List<BalancerMember> former = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private LoadGenerator load;
    private long[] cpuBefore;
    private volatile boolean closed;

    /**
     * @param classPath the classes of the program and the testbed
     * @param out where progress is printed
     */
    FleetRun(FleetRunPlan plan, String classPath, PrintStream out) {
        this.plan = plan;
        this.scenario = plan.scenario().withConnections(CLIENT_CONNECTIONS);
        this.classPath = classPath;
        this.out = out;
        this.counts = new RequestCounts(scenario);
        this.schedule = ArrivalSchedule.of(scenario);
        this.servers = new StandInFleet(
                scenario, schedule, serverLoop, clock, ledger, Demo.DRAIN_GRACE_MICROS + Demo.RULE_SLACK_MICROS);
    }

    /**
     * A run of a plan from a file.
     *
     * @param processes 0 for the plan's own; {@code seed} below 0 likewise
     * @throws IllegalArgumentException with a line for each problem of the file
     */
    public static FleetRun of(Path file, int processes, long seed, String classPath, PrintStream out)
            throws IOException {
        try {
            FleetRunPlan plan = ScenarioReader.fleet(file);
            Scenario scenario = plan.scenario();
            return new FleetRun(
                    new FleetRunPlan(
                            seed < 0 ? scenario : scenario.withSeed(seed),
                            processes > 0 ? processes : plan.processes(),
                            plan.wave(),
                            plan.uneven(),
                            plan.settleMicros(),
                            plan.faults()),
                    classPath,
                    out);
        } catch (Problems.Bad e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /**
     * Starts all processes, plays the load and the faults, and returns what came of it.
     *
     * @throws IOException where a process does not start or does not watch discovery
     */
    public FleetRunResult play() throws IOException, InterruptedException {
        servers.open();
        startAll();
        Thread.sleep(plan.settleMicros() / 1_000);
        load = createLoad();
        long connectionsBefore = onServerLoop(servers::connections);
        cpuBefore = members.stream().mapToLong(BalancerMember::cpuMicros).toArray();
        CountDownLatch loadDone = new CountDownLatch(1);
        long begin = clock.now() + LEAD_MICROS;
        servers.scheduleFaults(begin);
        load.start(begin, loadDone::countDown);
        scheduleFaults(begin);
        long maxQueue = watch(loadDone, begin);
        return result(connectionsBefore, maxQueue);
    }

    private LoadGenerator createLoad() throws InterruptedException {
        LoadShares shares = LoadShares.of(plan.processes(), plan.uneven(), scenario.seed());
        SplittableRandom random = new SplittableRandom(scenario.seed() ^ SEED_MASK);
        int[] memberOf = schedule.stream()
                .mapToInt(request -> shares.balancer(random.nextDouble()))
                .toArray();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (BalancerMember member : members) {
            addresses.add(member.address());
        }
        return new LoadGenerator(
                scenario, schedule, loadLoop, clock, ledger, counts, addresses, request -> memberOf[request]);
    }

    private FleetRunResult result(long connectionsBefore, long maxQueue) throws InterruptedException {
        List<StandInFleet.ServerStatus> statuses = onServerLoop(servers::serverStatuses);
        LoadSpread spread = LoadSpread.of(
                statuses.stream().mapToLong(StandInFleet.ServerStatus::served).toArray(), servers.weights());
        long cpu = 0;
        for (int i = 0; i < members.size(); i++) {
            cpu += Math.max(0, members.get(i).cpuMicros() - cpuBefore[i]);
        }
        RequestCounts.Line all = counts.all();
        return new FleetRunResult(
                plan,
                spread,
                all.taken,
                all.inTime + all.late,
                all.refused,
                all.failed,
                ledger.count(Ledger.RequestOutcome.LOST),
                ledger.count(Ledger.RequestOutcome.NONE),
                onServerLoop(servers::connections) - connectionsBefore,
                maxQueue,
                all.latency.getValueAtPercentile(50),
                all.latency.getValueAtPercentile(90),
                all.latency.getValueAtPercentile(99),
                cpu,
                statuses.stream()
                        .mapToLong(StandInFleet.ServerStatus::collapses)
                        .sum(),
                breaches());
    }

    private List<String> breaches() {
        List<String> breaches = new ArrayList<>(failures);
        for (Ledger.Finding finding : ledger.findings()) {
            breaches.add(RunReport.phrase(finding.breach()) + ": " + finding.request() + ": "
                    + String.join(", ", finding.history()));
        }
        return breaches;
    }

    private BalancerMember start(int place) throws IOException {
        BalancerMember member = BalancerMember.start(
                classPath, BalancerToml.of(scenario, servers.discoveryAt(), "n" + place, place, plan.processes()));
        if (closed) {
            member.close();
            throw new IOException("the run has ended");
        }
        return member;
    }

    private void startAll() throws IOException, InterruptedException {
        long startedNanos = System.nanoTime();
        while (members.size() < plan.processes()) {
            int from = members.size();
            while (members.size() < Math.min(plan.processes(), from + plan.wave())) {
                members.add(start(members.size()));
            }
            for (BalancerMember member : members.subList(from, members.size())) {
                member.awaitReady();
            }
            out.printf(
                    Locale.ROOT,
                    "%d of %d ready after %.1f s%n",
                    members.size(),
                    plan.processes(),
                    (System.nanoTime() - startedNanos) / 1e9);
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WATCH_TIMEOUT_SECONDS);
        while (onServerLoop(servers::watches) < members.size()) {
            if (System.nanoTime() > until) {
                throw new IOException("not every balancer watches discovery: " + onServerLoop(servers::watches));
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private <T> T onServerLoop(Callable<T> task) throws InterruptedException {
        try {
            return serverLoop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Samples the servers until the load is done; returns the most requests that a server held. */
    private long watch(CountDownLatch loadDone, long begin) throws InterruptedException {
        long maxQueue = 0;
        for (int sample = 1; !loadDone.await(SAMPLE_MILLIS, TimeUnit.MILLISECONDS); sample++) {
            List<StandInFleet.ServerStatus> now = onServerLoop(servers::serverStatuses);
            maxQueue = Math.max(
                    maxQueue,
                    now.stream()
                            .mapToLong(StandInFleet.ServerStatus::inFlight)
                            .max()
                            .orElse(0));
            if (sample % SAMPLES_PER_LINE == 0) {
                RequestCounts.Recent recent = counts.recent();
                RequestCounts.Line all = counts.all();
                out.printf(
                        Locale.ROOT,
                        "%5.0f s %6d/s p50 %7.1f ms p99 %7.1f ms  refused %d failed %d" + " none %d%n",
                        (clock.now() - begin) / 1e6,
                        recent.ends(),
                        recent.p50() / 1e3,
                        recent.p99() / 1e3,
                        all.refused,
                        all.failed,
                        all.unanswered);
            }
        }
        return maxQueue;
    }

    // ---------------------------------------------------------------- faults of processes

    private void scheduleFaults(long begin) {
        for (Fault fault : plan.faults()) {
            for (int place : fault.affected(plan.processes(), scenario.seed())) {
                faultExecutor.schedule(
                        () -> guarded(place, () -> inject(fault, place)),
                        Math.max(0, begin + fault.atMicros() - clock.now()),
                        TimeUnit.MICROSECONDS);
            }
        }
    }

    private interface FaultAction {
        void run() throws IOException, InterruptedException;
    }

    private void guarded(int place, FaultAction action) {
        try {
            action.run();
        } catch (IOException | IllegalStateException e) {
            if (!closed) {
                failures.add("n" + place + ": " + e.getMessage());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void inject(Fault fault, int place) throws IOException, InterruptedException {
        BalancerMember member = members.get(place);
        switch (fault.kind()) {
            case STALL -> {
                load.broken(place, true);
                member.signal(BalancerMember.Signal.STOP);
                after(fault.durationMicros(), place, () -> {
                    member.signal(BalancerMember.Signal.CONT);
                    load.broken(place, false);
                });
            }
            case KILL -> {
                load.broken(place, true);
                load.moved(place, null);
                member.signal(BalancerMember.Signal.KILL);
                member.await();
                after(fault.durationMicros(), place, () -> restart(place, member));
            }
            case STOP -> {
                load.moved(place, null);
                member.signal(BalancerMember.Signal.TERM);
                int code = member.await();
                if (code != 0 || !member.line("event=stopped ").contains(" 0 unanswered")) {
                    failures.add("n" + place + " ended with code " + code);
                }
                after(fault.durationMicros(), place, () -> restart(place, member));
            }
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private void after(long micros, int place, FaultAction action) {
        faultExecutor.schedule(() -> guarded(place, action), micros, TimeUnit.MICROSECONDS);
    }

    private void restart(int place, BalancerMember before) throws IOException, InterruptedException {
        former.add(before);
        BalancerMember next = start(place);
        members.set(place, next);
        cpuBefore[place] = Long.MAX_VALUE; // a start is not counted as work on requests
        next.awaitReady();
        load.broken(place, false);
        load.moved(place, next.address());
    }

    @Override
    public void close() {
        closed = true;
        faultExecutor.shutdownNow();
        members.forEach(BalancerMember::close);
        former.forEach(BalancerMember::close);
        if (load != null) {
            load.close();
        }
        if (!serverLoop.isShuttingDown()) {
            serverLoop.submit(servers::close).awaitUninterruptibly(CLOSE_MILLIS);
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The first breaches of a result. */
    public static List<String> examples(FleetRunResult result) {
        return result.breaches().stream().limit(EXAMPLES).toList();
    }
}
