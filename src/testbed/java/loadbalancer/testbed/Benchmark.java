package loadbalancer.testbed;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;
import org.HdrHistogram.Histogram;

/**
 * What the balancer costs: CPU a request and latencies, through it, through a bare {@link PassThrough} under
 * the
 * same options of the JVM, and straight to the boxes; in turn within one run, so that a machine whose speed
 * drifts
 * is no one's advantage. Figures are medians over the rounds; ratios are of rounds side by side.
 */
public final class Benchmark {
    private static final List<String> WAYS = List.of("direct", "bare", "balancer");
    private static final long READY_S = 60;
    private static final long END_S = 30;

    private final PrintStream out;
    private final String classPath;
    private final String ownPath;
    private final long seconds;
    private final int rounds;
    private final double rate;

    /**
     * {@code classPath} holds the balancer, {@code ownPath} the rig; a round lasts {@code seconds} for each
     * way.
     */
    public Benchmark(PrintStream out, String classPath, String ownPath, long seconds, int rounds, double rate) {
        this.out = out;
        this.classPath = classPath;
        this.ownPath = ownPath;
        this.seconds = seconds;
        this.rounds = rounds;
        this.rate = rate;
    }

    private record Round(double cpu, double p50, double p99, double p999, long ends, long bad) {}

    private static Scenario scenario(int boxes, long seconds, double rate, long seed) {
        return new Scenario(
                "bench",
                seed,
                seconds * 1_000_000,
                rate,
                256,
                new Scenario.Cold(0.3, 8_000_000, 3, 1_000_000, 5_000_000),
                List.of(new Scenario.Boxes("box", boxes, 64, 1, 1_000, "a", "m", 1)),
                List.of(
                        new Scenario.Kind("read", Policy.Effect.SAFE, 7, 2_000, 500_000, 2_000_000, 1, 0.2, 0),
                        new Scenario.Kind("order", Policy.Effect.UNSAFE, 3, 2_000, 500_000, 2_000_000, 1, 0.2, 0)),
                List.of());
    }

    /** Measures with each of these numbers of boxes; returns what goes into the JSON file. */
    public Map<String, Object> run(List<Integer> fleets) throws IOException, InterruptedException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("rate", rate);
        all.put("seconds", seconds);
        all.put("rounds", rounds);
        for (int boxes : fleets) {
            all.put(boxes + " boxes", one(boxes));
        }
        return all;
    }

    private Map<String, Object> one(int boxes) throws IOException, InterruptedException {
        EventLoopGroup boxLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoopGroup loadLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Clock clock = Clock.system();
        Ledger ledger = new Ledger();
        // Each way of each round has orders of its own, so that no id comes twice; round 0 warms up.
        List<List<ArrivalSchedule.Order>> scripts = new ArrayList<>();
        List<ArrivalSchedule.Order> every = new ArrayList<>();
        for (int i = 0; i < (rounds + 1) * WAYS.size(); i++) {
            String prefix = i + "-";
            List<ArrivalSchedule.Order> script =
                    ArrivalSchedule.of(scenario(boxes, seconds, rate, 1 + i / WAYS.size())).stream()
                            .map(o -> new ArrivalSchedule.Order(
                                    o.number(), prefix + o.id(), o.at(), o.kind(), prefix + o.key(), o.work()))
                            .toList();
            scripts.add(script);
            every.addAll(script);
        }
        Scenario scenario = scenario(boxes, seconds, rate, 1);
        StandInFleet fleet = new StandInFleet(scenario, every, boxLoops.next(), clock, ledger, 0);
        fleet.open();
        try (TestedBalancer bare = BalancerProcess.bare(ownPath, fleet.addresses(), READY_S);
                TestedBalancer real =
                        BalancerProcess.start(classPath, scenario, fleet.list(), fleet.discoveryAt(), READY_S)) {
            Map<String, List<Round>> results = new LinkedHashMap<>();
            WAYS.forEach(w -> results.put(w, new ArrayList<>()));
            for (int i = 0; i < scripts.size(); i++) {
                String way = WAYS.get(i % WAYS.size());
                TestedBalancer through = way.equals("bare") ? bare : way.equals("balancer") ? real : null;
                RequestCounts counts = new RequestCounts(scenario);
                LoadGenerator load = new LoadGenerator(
                        scenario,
                        scripts.get(i),
                        loadLoops.next(),
                        clock,
                        ledger,
                        counts,
                        through == null ? fleet.addresses() : List.of(through.address()));
                CountDownLatch over = new CountDownLatch(1);
                long cpu = through == null ? 0 : through.cpuMicros();
                load.start(clock.now() + 20_000, over::countDown);
                if (!over.await(seconds + END_S, TimeUnit.SECONDS)) {
                    throw new IOException("a round did not end");
                }
                long used = through == null ? 0 : through.cpuMicros() - cpu;
                load.close();
                RequestCounts.Line line = counts.all();
                Histogram h = line.latency;
                if (i >= WAYS.size()) {
                    results.get(way)
                            .add(new Round(
                                    (double) used / line.taken,
                                    h.getValueAtPercentile(50) / 1e3,
                                    h.getValueAtPercentile(99) / 1e3,
                                    h.getValueAtPercentile(99.9) / 1e3,
                                    line.taken,
                                    line.taken - line.inTime));
                }
            }
            return tell(boxes, results);
        } finally {
            boxLoops.next().submit(fleet::close).awaitUninterruptibly(2_000);
            boxLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            loadLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private Map<String, Object> tell(int boxes, Map<String, List<Round>> results) {
        out.printf(
                Locale.ROOT,
                "%d boxes, %.0f requests a second, %d rounds of %d s each way; medians%n",
                boxes,
                rate,
                rounds,
                seconds);
        out.printf(
                Locale.ROOT,
                "%-10s %14s %16s %9s %9s %9s %9s%n",
                "way",
                "CPU µs/request",
                "a core, req/s",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "not good");
        Map<String, Object> json = new LinkedHashMap<>();
        for (String way : WAYS) {
            List<Round> list = results.get(way);
            double cpu = median(list.stream().mapToDouble(Round::cpu).toArray());
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("cpu_us", cpu);
            row.put("core_rps", cpu > 0 ? 1e6 / cpu : 0);
            row.put("p50_ms", median(list.stream().mapToDouble(Round::p50).toArray()));
            row.put("p99_ms", median(list.stream().mapToDouble(Round::p99).toArray()));
            row.put("p999_ms", median(list.stream().mapToDouble(Round::p999).toArray()));
            row.put("requests", list.stream().mapToLong(Round::ends).sum());
            row.put("not_good", list.stream().mapToLong(Round::bad).sum());
            json.put(way, row);
            out.printf(
                    Locale.ROOT,
                    "%-10s %14s %16s %9.2f %9.2f %9.2f %9s%n",
                    way,
                    cpu > 0 ? String.format(Locale.ROOT, "%.1f", cpu) : "-",
                    cpu > 0 ? String.format(Locale.ROOT, "%.0f", 1e6 / cpu) : "-",
                    row.get("p50_ms"),
                    row.get("p99_ms"),
                    row.get("p999_ms"),
                    row.get("not_good"));
        }
        double[] ratios = new double[rounds];
        for (int i = 0; i < rounds; i++) {
            ratios[i] = results.get("balancer").get(i).cpu()
                    / results.get("bare").get(i).cpu();
        }
        json.put("ratio_to_bare", median(ratios));
        json.put("ratio_least", Arrays.stream(ratios).min().orElse(0));
        json.put("ratio_most", Arrays.stream(ratios).max().orElse(0));
        out.printf(
                Locale.ROOT,
                "CPU of the balancer over the bare pass-through: %.2f (%.2f to %.2f)%n%n",
                median(ratios),
                json.get("ratio_least"),
                json.get("ratio_most"));
        out.flush();
        return json;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        return n == 0 ? 0 : n % 2 == 1 ? sorted[n / 2] : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
    }

    /** As JSON, for a file. */
    public static String json(Map<String, Object> result) throws IOException {
        return JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(result) + "\n";
    }
}
