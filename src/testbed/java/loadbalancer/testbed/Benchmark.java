package loadbalancer.testbed;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;

/**
 * Measures what the load balancer costs: CPU for each request, and latencies, through the balancer, through a
 * bare {@link PassThrough} under the same JVM options, and straight to the servers. The paths take turns
 * within one run, so that a machine whose speed drifts favours none of them. Figures are medians over the
 * rounds; ratios are of rounds side by side. For one thread.
 */
public final class Benchmark {
    private static final long READY_SECONDS = 60;
    private static final long END_SECONDS = 30;
    private static final long LEAD_MICROS = 20_000;
    private static final int CLIENT_CONNECTIONS = 256;
    private static final int CLOSE_MILLIS = 2_000;

    private final PrintStream out;
    private final String classPath;
    private final String ownPath;
    private final long seconds;
    private final int rounds;
    private final double rate;

    /**
     * @param out where the tables are printed
     * @param classPath the classes of the balancer
     * @param ownPath the classes of the testbed
     * @param seconds how long a round lasts on each path
     * @param rounds measured rounds; one more comes first to warm up
     * @param rate requests per second
     */
    public Benchmark(PrintStream out, String classPath, String ownPath, long seconds, int rounds, double rate) {
        this.out = out;
        this.classPath = classPath;
        this.ownPath = ownPath;
        this.seconds = seconds;
        this.rounds = rounds;
        this.rate = rate;
    }

    private static Scenario scenario(int servers, long seconds, double rate, long seed) {
        return new Scenario(
                "bench",
                seed,
                seconds * 1_000_000,
                rate,
                CLIENT_CONNECTIONS,
                new Scenario.SlowStart(0.3, 8_000_000, 3, 1_000_000, 5_000_000),
                List.of(new Scenario.ServerGroup("box", servers, 64, 1, 1_000, "a", "m", 1)),
                List.of(
                        new Scenario.RequestClass("read", Policy.Effect.SAFE, 7, 2_000, 500_000, 2_000_000, 1, 0.2, 0),
                        new Scenario.RequestClass(
                                "order", Policy.Effect.UNSAFE, 3, 2_000, 500_000, 2_000_000, 1, 0.2, 0)),
                List.of());
    }

    /**
     * Measures with each of these numbers of servers.
     *
     * @return the figures by their JSON keys
     * @throws IOException where a process does not become ready, or a round does not end
     */
    public Map<String, Object> run(List<Integer> serverCounts) throws IOException, InterruptedException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("rate", rate);
        all.put("seconds", seconds);
        all.put("rounds", rounds);
        for (int servers : serverCounts) {
            all.put(servers + " boxes", measure(servers));
        }
        return all;
    }

    private Map<String, Object> measure(int servers) throws IOException, InterruptedException {
        Map<BenchmarkPath, List<BenchmarkRound>> results;
        try (Session session = new Session(servers)) {
            results = session.play();
        }
        out.printf(
                Locale.ROOT,
                "%d boxes, %.0f requests a second, %d rounds of %d s each way; medians%n",
                servers,
                rate,
                rounds,
                seconds);
        return new BenchmarkReport(out, results).print();
    }

    /** The servers, processes and clients of a measurement with one number of servers. */
    private final class Session implements AutoCloseable {
        private final EventLoopGroup serverLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final EventLoopGroup loadLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final Clock clock = Clock.system();
        private final Ledger ledger = new Ledger();
        private final Scenario scenario;
        private final List<List<ArrivalSchedule.ScheduledRequest>> schedules;
        private final StandInFleet fleet;

        Session(int servers) throws InterruptedException {
            scenario = scenario(servers, seconds, rate, 1);
            schedules = schedules(servers);
            List<ArrivalSchedule.ScheduledRequest> all =
                    schedules.stream().flatMap(List::stream).toList();
            fleet = new StandInFleet(scenario, all, serverLoops.next(), clock, ledger, 0);
            fleet.open();
        }

        Map<BenchmarkPath, List<BenchmarkRound>> play() throws IOException, InterruptedException {
            try (TestedBalancer bare = BalancerProcess.bare(ownPath, fleet.addresses(), READY_SECONDS);
                    TestedBalancer balancer = BalancerProcess.start(
                            classPath, scenario, fleet.endpointList(), fleet.discoveryAt(), READY_SECONDS)) {
                BenchmarkPath[] paths = BenchmarkPath.values();
                Map<BenchmarkPath, List<BenchmarkRound>> results = new EnumMap<>(BenchmarkPath.class);
                for (BenchmarkPath path : paths) {
                    results.put(path, new ArrayList<>());
                }
                for (int i = 0; i < schedules.size(); i++) {
                    BenchmarkPath path = paths[i % paths.length];
                    TestedBalancer target = switch (path) {
                        case DIRECT -> null;
                        case BARE -> bare;
                        case BALANCER -> balancer;
                    };
                    BenchmarkRound round = playRound(schedules.get(i), target);
                    if (i >= paths.length) { // those before warm up
                        results.get(path).add(round);
                    }
                }
                return results;
            }
        }

        /** {@code target}: null for the servers themselves. */
        private BenchmarkRound playRound(List<ArrivalSchedule.ScheduledRequest> schedule, TestedBalancer target)
                throws IOException, InterruptedException {
            List<InetSocketAddress> addresses = target == null ? fleet.addresses() : List.of(target.address());
            RequestCounts counts = new RequestCounts(scenario);
            LoadGenerator load =
                    new LoadGenerator(scenario, schedule, loadLoops.next(), clock, ledger, counts, addresses);
            CountDownLatch loadDone = new CountDownLatch(1);
            long cpuBefore = target == null ? 0 : target.cpuMicros();
            load.start(clock.now() + LEAD_MICROS, loadDone::countDown);
            if (!loadDone.await(seconds + END_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("a round did not end");
            }
            long usedCpuMicros = target == null ? 0 : target.cpuMicros() - cpuBefore;
            load.close();
            return BenchmarkRound.of(counts.all(), usedCpuMicros);
        }

        @Override
        public void close() {
            serverLoops.next().submit(fleet::close).awaitUninterruptibly(CLOSE_MILLIS);
            serverLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            loadLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * The schedules of all rounds, path by path; those of the first round warm up. Each path of each round has
     * request identifiers of its own, so that the ledger never sees one twice.
     */
    private List<List<ArrivalSchedule.ScheduledRequest>> schedules(int servers) {
        int paths = BenchmarkPath.values().length;
        List<List<ArrivalSchedule.ScheduledRequest>> schedules = new ArrayList<>();
        for (int i = 0; i < (rounds + 1) * paths; i++) {
            String prefix = i + "-";
            schedules.add(ArrivalSchedule.of(scenario(servers, seconds, rate, 1 + i / paths)).stream()
                    .map(request -> request.withPrefix(prefix))
                    .toList());
        }
        return schedules;
    }

    /** The figures of {@link #run} as JSON, for a file. */
    public static String json(Map<String, Object> result) throws IOException {
        return JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(result) + "\n";
    }
}
