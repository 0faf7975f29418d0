package loadbalancer.testbed;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import loadbalancer.config.toml.Problems;
import loadbalancer.proxy.Clock;

/**
 * Plays a scenario: boxes, discovery and load here, the balancer as a process of its own; shows how it goes
 * and
 * ends with the tally. {@link #play} is for one thread; {@link #abort} may come from another.
 */
public final class Demo implements AutoCloseable {
    /** µs after a drain was told within which requests may still be sent: rule 3. */
    static final long GRACE = 1_000_000;

    static final long SLACK = 50_000; // of each of the rules' time limits on sockets
    private static final long LEAD = 200_000; // µs from readiness to the first order
    private static final long READY_S = 60;
    private static final int LINES = 60; // of the balancer's log that are shown at most

    /** How a run ended. */
    public enum End {
        CLEAN(0),
        BROKEN(1),
        INTERRUPTED(130);

        private final int code;

        End(int code) {
            this.code = code;
        }

        /** The exit code that stands for it. */
        public int code() {
            return code;
        }
    }

    /** Where the balancer comes from; in tests another one than the real. */
    interface Balancers {
        TestedBalancer start(Scenario scenario, String known, InetSocketAddress discovery)
                throws IOException, InterruptedException;
    }

    private final Scenario scenario;
    private final Balancers balancers;
    private final PrintStream out;
    private final boolean terminal;
    private final Clock clock = Clock.system();
    private final Ledger ledger = new Ledger();
    private final RequestCounts counts;
    private final EventLoopGroup boxLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup loadLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CountDownLatch over = new CountDownLatch(1);
    private final CountDownLatch told = new CountDownLatch(1);
    private final AtomicBoolean aborted = new AtomicBoolean();
    private final Http3Run http3; // null where all speak HTTP/1.1
    private volatile TestedBalancer balancer;
    private StandInFleet fleet;

    Demo(Scenario scenario, Balancers balancers, PrintStream out, boolean terminal) {
        this(scenario, balancers, null, out, terminal);
    }

    /** Half of the clients and boxes speak HTTP/3 where {@code http3} isn't null. */
    Demo(Scenario scenario, Balancers balancers, Http3Run http3, PrintStream out, boolean terminal) {
        this.http3 = http3;
        this.scenario = scenario;
        this.balancers = balancers;
        this.out = out;
        this.terminal = terminal;
        this.counts = new RequestCounts(scenario);
    }

    /** Plays to the end, and tells of it on the stream. */
    End play() throws IOException, InterruptedException {
        List<ArrivalSchedule.Order> script = ArrivalSchedule.of(scenario);
        fleet = new StandInFleet(scenario, script, boxLoops.next(), clock, ledger, GRACE + SLACK);
        try {
            if (http3 != null) {
                fleet.speakHttp3(http3.identity());
            }
            fleet.open();
            out.printf(
                    Locale.ROOT,
                    "%s: %d boxes, %.0f requests a second for %.0f s, seed %d; the fleet can do " + "%.1f times that%n",
                    scenario.name(),
                    scenario.boxNames().size(),
                    scenario.rate(),
                    scenario.lasting() / 1e6,
                    scenario.seed(),
                    scenario.headroom());
            balancer = balancers.start(scenario, fleet.list(), fleet.discoveryAt());
            LoadGenerator load = new LoadGenerator(
                    scenario, script, loadLoops.next(), clock, ledger, counts, List.of(balancer.address()));
            if (http3 != null) {
                load.through(http3.open(loadLoops.next(), balancer.http3()));
            }
            long begin = clock.now() + LEAD;
            long cpu = balancer.cpuMicros();
            fleet.script(begin);
            load.start(begin, over::countDown);
            watch(begin);
            if (aborted.get()) {
                load.stop();
                over.await(5, TimeUnit.SECONDS);
            }
            long used = balancer.cpuMicros() - cpu;
            load.close();
            long memory = balancer.memoryKib();
            boolean alive = balancer.isAlive();
            int exit = balancer.stop();
            List<StandInFleet.Standing> boxes = standings();
            tell(used, boxes);
            if (http3 != null) {
                out.printf(
                        Locale.ROOT, "most memory of the balancer: %.1f MiB; %s%n", memory / 1024.0, http3.summary());
            }
            boolean orderly = alive && exit == 0;
            if (!orderly) {
                out.println("the balancer " + (alive ? "ended with code " + exit : "died") + ": "
                        + String.join(" | ", balancer.log()));
            }
            return aborted.get()
                    ? End.INTERRUPTED
                    : orderly && RunReport.isClean(counts, ledger, boxes) ? End.CLEAN : End.BROKEN;
        } finally {
            told.countDown();
            close();
        }
    }

    private void tell(long used, List<StandInFleet.Standing> boxes) {
        out.println();
        RunReport.lines(counts, ledger, boxes).forEach(out::println);
        long taken = Math.max(1, counts.all().taken);
        if (used > 0) {
            out.printf(Locale.ROOT, "CPU of the balancer: %.0f µs a request%n", (double) used / taken);
        }
        // All that it said, where something went wrong; its last words otherwise.
        boolean clean = RunReport.isClean(counts, ledger, boxes);
        List<String> said = balancer.log();
        said.subList(Math.max(0, said.size() - LINES), said.size()).stream()
                .filter(l -> !clean || l.contains("stopped: "))
                .forEach(out::println);
        out.flush();
    }

    private List<StandInFleet.Standing> standings() throws InterruptedException {
        try {
            return boxLoops.next().submit(() -> fleet.standings()).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private void watch(long begin) throws InterruptedException {
        int height = 0;
        while (!over.await(1, TimeUnit.SECONDS) && !aborted.get()) {
            List<StandInFleet.Standing> boxes = standings();
            RequestCounts.Recent recent = counts.recent();
            RequestCounts.Line all = counts.all();
            String line = String.format(
                    Locale.ROOT,
                    "%5.0f s %6d/s p50 %7.1f ms p99 %7.1f ms  worth %.3f  refused %d failed %d none %d",
                    (clock.now() - begin) / 1e6,
                    recent.ends(),
                    recent.p50() / 1e3,
                    recent.p99() / 1e3,
                    all.worthInTime(),
                    all.refused,
                    all.failed,
                    all.unanswered);
            if (!terminal) {
                StringBuilder odd = new StringBuilder();
                boxes.stream()
                        .filter(b -> !b.word().equals("up"))
                        .forEach(b ->
                                odd.append("  ").append(b.name()).append(' ').append(b.word()));
                out.println(line + odd);
                continue;
            }
            if (height > 0) {
                out.print("\u001b[" + height + "A");
            }
            height = screen(line, boxes);
        }
    }

    private int screen(String line, List<StandInFleet.Standing> boxes) {
        int height = 1;
        out.println("\u001b[2K" + line);
        for (RequestCounts.Line of : counts.lines()) {
            out.printf(
                    Locale.ROOT,
                    "\u001b[2K  %-16s worth %.3f  p50 %7.1f ms  p99 %7.1f ms%n",
                    of.name,
                    of.worthInTime(),
                    of.latency.getValueAtPercentile(50) / 1e3,
                    of.latency.getValueAtPercentile(99) / 1e3);
            height++;
        }
        for (StandInFleet.Standing box : boxes.subList(0, Math.min(boxes.size(), 24))) {
            out.printf(
                    Locale.ROOT,
                    "\u001b[2K  %-12s %-9s in flight %4d  served %8d%n",
                    box.name(),
                    box.word(),
                    box.inFlight(),
                    box.served());
            height++;
        }
        out.flush();
        return height;
    }

    /** Ends the run early; returns once the tally is out and no child is left, or after {@code seconds}. */
    public void abort(long seconds) throws InterruptedException {
        aborted.set(true);
        over.countDown();
        if (!told.await(seconds, TimeUnit.SECONDS) && balancer != null) {
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
        if (fleet != null && !boxLoops.isShuttingDown()) {
            boxLoops.next().submit(fleet::close).awaitUninterruptibly(2_000);
        }
        if (http3 != null) {
            http3.close();
        }
        boxLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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
            java.nio.file.Path file,
            long seconds,
            double rate,
            String classPath,
            Http3Run http3,
            PrintStream out,
            boolean terminal)
            throws IOException {
        try {
            Scenario scenario;
            if (file == null) {
                try (var in = Demo.class.getResourceAsStream("demo.toml")) {
                    scenario = ScenarioReader.read(
                            "demo.toml", new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8));
                }
            } else {
                scenario = ScenarioReader.read(file);
            }
            Scenario played = scenario.with(seconds, rate);
            if (http3 == null) {
                return new Demo(
                        played,
                        (s, known, discovery) -> BalancerProcess.start(classPath, s, known, discovery, READY_S),
                        out,
                        terminal);
            }
            return new Demo(
                    played,
                    (s, known, discovery) -> BalancerProcess.http3(
                            System.getProperty("java.class.path"), s, discovery, http3.pem(), READY_S),
                    http3,
                    out,
                    terminal);
        } catch (Problems.Bad e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Plays it and returns the exit code. */
    public int run() throws IOException, InterruptedException {
        return play().code();
    }
}
