package loadbalancer.testbed;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import loadbalancer.config.toml.Problems;
import loadbalancer.proxy.Clock;

/**
 * Plays a scenario: stand-in servers, discovery and load in this process, the balancer as a process of its own.
 * Shows its progress and ends with a report. {@link #play} is for one thread and may be called once;
 * {@link #abort} may be called from another.
 */
public final class Demo implements AutoCloseable {
    /** µs after a drain was announced within which requests may still be sent (rule 3). */
    static final long DRAIN_GRACE_MICROS = 1_000_000;

    /** µs by which each time limit of the rules may be exceeded on sockets. */
    static final long RULE_SLACK_MICROS = 50_000;

    private static final long LEAD_MICROS = 200_000; // µs from readiness to the first request
    private static final long READY_SECONDS = 60;
    private static final long ABORT_SECONDS = 5;
    private static final int CLOSE_MILLIS = 2_000;
    private static final int MAX_LOG_LINES = 60; // of the balancer's log

    private static final String DEFAULT_SCENARIO = "demo.toml";

    /** How a run ended. */
    public enum RunResult {
        CLEAN(0),
        BROKEN(1),
        INTERRUPTED(130);

        private final int code;

        RunResult(int code) {
            this.code = code;
        }

        /** The exit code that stands for it. */
        public int code() {
            return code;
        }
    }

    /** Starts the balancer; tests provide another than the real one. */
    interface BalancerFactory {
        TestedBalancer start(Scenario scenario, String known, InetSocketAddress discovery)
                throws IOException, InterruptedException;
    }

    private final Scenario scenario;
    private final BalancerFactory balancerFactory;
    private final PrintStream out;
    private final ProgressDisplay display;
    private final Clock clock = Clock.system();
    private final Ledger ledger = new Ledger();
    private final RequestCounts counts;
    private final EventLoopGroup serverLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup loadLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CountDownLatch loadDone = new CountDownLatch(1);
    private final CountDownLatch reported = new CountDownLatch(1);
    private final AtomicBoolean aborted = new AtomicBoolean();
    private final Http3Run http3; // null where all speak HTTP/1.1
    private volatile TestedBalancer balancer;
    private StandInFleet fleet;

    Demo(Scenario scenario, BalancerFactory balancerFactory, PrintStream out, ProgressDisplay.Mode mode) {
        this(scenario, balancerFactory, null, out, mode);
    }

    /** {@code http3}: null if nobody speaks it, otherwise half of the clients and of the servers do. */
    Demo(
            Scenario scenario,
            BalancerFactory balancerFactory,
            Http3Run http3,
            PrintStream out,
            ProgressDisplay.Mode mode) {
        this.http3 = http3;
        this.scenario = scenario;
        this.balancerFactory = balancerFactory;
        this.out = out;
        this.counts = new RequestCounts(scenario);
        this.display = new ProgressDisplay(out, mode, counts);
    }

    /**
     * Plays the scenario to its end and prints the report.
     *
     * @throws IOException where the balancer can't be started
     */
    RunResult play() throws IOException, InterruptedException {
        List<ArrivalSchedule.ScheduledRequest> schedule = ArrivalSchedule.of(scenario);
        fleet = new StandInFleet(
                scenario, schedule, serverLoops.next(), clock, ledger, DRAIN_GRACE_MICROS + RULE_SLACK_MICROS);
        try {
            if (http3 != null) {
                fleet.enableHttp3(http3.identity());
            }
            fleet.open();
            printScenario();
            balancer = balancerFactory.start(scenario, fleet.endpointList(), fleet.discoveryAt());
            long usedCpuMicros = playLoad(schedule);
            return finish(usedCpuMicros);
        } finally {
            reported.countDown();
            close();
        }
    }

    private void printScenario() {
        out.printf(
                Locale.ROOT,
                "%s: %d boxes, %.0f requests a second for %.0f s, seed %d; the fleet can do %.1f times that%n",
                scenario.name(),
                scenario.serverNames().size(),
                scenario.rate(),
                scenario.durationMicros() / 1e6,
                scenario.seed(),
                scenario.headroom());
    }

    /** Plays the load with the faults; returns the CPU that the balancer used for it, in µs. */
    private long playLoad(List<ArrivalSchedule.ScheduledRequest> schedule) throws InterruptedException {
        LoadGenerator load = new LoadGenerator(
                scenario, schedule, loadLoops.next(), clock, ledger, counts, List.of(balancer.address()));
        if (http3 != null) {
            load.through(http3.open(loadLoops.next(), balancer.http3()));
        }
        long begin = clock.now() + LEAD_MICROS;
        long cpuBefore = balancer.cpuMicros();
        fleet.scheduleFaults(begin);
        load.start(begin, loadDone::countDown);
        while (!loadDone.await(1, TimeUnit.SECONDS) && !aborted.get()) {
            List<StandInFleet.ServerStatus> servers = serverStatuses();
            display.show(clock.now() - begin, servers);
        }
        if (aborted.get()) {
            load.stop();
            loadDone.await(ABORT_SECONDS, TimeUnit.SECONDS);
        }
        long usedCpuMicros = balancer.cpuMicros() - cpuBefore;
        load.close();
        return usedCpuMicros;
    }

    /** Ends the balancer and prints the report. */
    private RunResult finish(long usedCpuMicros) throws InterruptedException {
        long memoryKib = balancer.memoryKib();
        boolean alive = balancer.isAlive();
        int exitCode = balancer.stop();
        List<StandInFleet.ServerStatus> servers = serverStatuses();
        report(usedCpuMicros, servers);
        if (http3 != null) {
            out.printf(Locale.ROOT, "most memory of the balancer: %.1f MiB; %s%n", memoryKib / 1024.0, http3.summary());
        }
        boolean endedInOrder = alive && exitCode == 0;
        if (!endedInOrder) {
            out.println("the balancer " + (alive ? "ended with code " + exitCode : "died") + ": "
                    + String.join(" | ", balancer.log()));
        }
        if (aborted.get()) {
            return RunResult.INTERRUPTED;
        }
        return endedInOrder && RunReport.isClean(counts, ledger, servers) ? RunResult.CLEAN : RunResult.BROKEN;
    }

    private void report(long usedCpuMicros, List<StandInFleet.ServerStatus> servers) {
        out.println();
        RunReport.lines(counts, ledger, servers).forEach(out::println);
        long taken = Math.max(1, counts.all().taken);
        if (usedCpuMicros > 0) {
            out.printf(Locale.ROOT, "CPU of the balancer: %.0f µs a request%n", (double) usedCpuMicros / taken);
        }
        // The whole log if something went wrong, otherwise only its last line.
        boolean clean = RunReport.isClean(counts, ledger, servers);
        List<String> said = balancer.log();
        said.subList(Math.max(0, said.size() - MAX_LOG_LINES), said.size()).stream()
                .filter(l -> !clean || l.contains("event=stopped "))
                .forEach(out::println);
        out.flush();
    }

    private List<StandInFleet.ServerStatus> serverStatuses() throws InterruptedException {
        try {
            return serverLoops.next().submit(() -> fleet.serverStatuses()).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Ends the run early; returns once the report is printed and no process is left, or after {@code seconds}. */
    public void abort(long seconds) throws InterruptedException {
        aborted.set(true);
        loadDone.countDown();
        if (!reported.await(seconds, TimeUnit.SECONDS) && balancer != null) {
            balancer.close();
        }
    }

    Ledger ledger() {
        return ledger;
    }

    RequestCounts counts() {
        return counts;
    }

    @Override
    public void close() {
        if (balancer != null) {
            balancer.close();
        }
        if (fleet != null && !serverLoops.isShuttingDown()) {
            serverLoops.next().submit(fleet::close).awaitUninterruptibly(CLOSE_MILLIS);
        }
        if (http3 != null) {
            http3.close();
        }
        serverLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        loadLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * A run of a scenario from a file, or of the one that comes along.
     *
     * @param file null for that one
     * @param seconds 0 for the scenario's own
     * @param rate 0 for the scenario's own
     * @param http3 null where all speak HTTP/1.1
     * @param classPath where the balancer's classes are
     * @throws IllegalArgumentException with a line for each problem of the scenario
     */
    public static Demo of(
            Path file, long seconds, double rate, String classPath, Http3Run http3, PrintStream out, boolean terminal)
            throws IOException {
        ProgressDisplay.Mode mode = terminal ? ProgressDisplay.Mode.TERMINAL : ProgressDisplay.Mode.PLAIN;
        try {
            Scenario played = read(file).withDurationAndRate(seconds, rate);
            if (http3 == null) {
                return new Demo(
                        played,
                        (s, known, discovery) -> BalancerProcess.start(classPath, s, known, discovery, READY_SECONDS),
                        out,
                        mode);
            }
            return new Demo(
                    played,
                    (s, known, discovery) -> BalancerProcess.http3(
                            System.getProperty("java.class.path"), s, discovery, http3.pem(), READY_SECONDS),
                    http3,
                    out,
                    mode);
        } catch (Problems.Bad e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static Scenario read(Path file) throws IOException, Problems.Bad {
        if (file != null) {
            return ScenarioReader.read(file);
        }
        try (InputStream in = Demo.class.getResourceAsStream(DEFAULT_SCENARIO)) {
            return ScenarioReader.read(DEFAULT_SCENARIO, new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** Plays it and returns the exit code. */
    public int run() throws IOException, InterruptedException {
        return play().code();
    }
}
