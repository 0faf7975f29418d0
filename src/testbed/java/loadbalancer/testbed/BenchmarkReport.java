package loadbalancer.testbed;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Prints the figures of a benchmark with one number of servers and collects them for the JSON file. */
final class BenchmarkReport {
    private final PrintStream out;
    private final Map<BenchmarkPath, List<BenchmarkRound>> results;
    private final Map<String, Object> json = new LinkedHashMap<>();

    /** {@code results}: as many rounds of each path. */
    BenchmarkReport(PrintStream out, Map<BenchmarkPath, List<BenchmarkRound>> results) {
        this.out = out;
        this.results = results;
    }

    /** Prints the table, and returns its figures by their JSON keys. */
    Map<String, Object> print() {
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
        for (BenchmarkPath path : BenchmarkPath.values()) {
            json.put(path.label(), printPath(path));
        }
        printRatios();
        out.flush();
        return json;
    }

    private Map<String, Object> printPath(BenchmarkPath path) {
        List<BenchmarkRound> rounds = results.get(path);
        double cpu = median(rounds, BenchmarkRound::cpuMicros);
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("cpu_us", cpu);
        row.put("core_rps", cpu > 0 ? 1e6 / cpu : 0);
        row.put("p50_ms", median(rounds, BenchmarkRound::p50Millis));
        row.put("p99_ms", median(rounds, BenchmarkRound::p99Millis));
        row.put("p999_ms", median(rounds, BenchmarkRound::p999Millis));
        row.put("requests", rounds.stream().mapToLong(BenchmarkRound::requests).sum());
        row.put("not_good", rounds.stream().mapToLong(BenchmarkRound::notGood).sum());
        out.printf(
                Locale.ROOT,
                "%-10s %14s %16s %9.2f %9.2f %9.2f %9s%n",
                path.label(),
                cpu > 0 ? String.format(Locale.ROOT, "%.1f", cpu) : "-",
                cpu > 0 ? String.format(Locale.ROOT, "%.0f", 1e6 / cpu) : "-",
                median(rounds, BenchmarkRound::p50Millis),
                median(rounds, BenchmarkRound::p99Millis),
                median(rounds, BenchmarkRound::p999Millis),
                row.get("not_good"));
        return row;
    }

    /** Ratios are of rounds side by side, as the speed of a machine drifts. */
    private void printRatios() {
        List<BenchmarkRound> balancer = results.get(BenchmarkPath.BALANCER);
        List<BenchmarkRound> bare = results.get(BenchmarkPath.BARE);
        double[] ratios = new double[balancer.size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = balancer.get(i).cpuMicros() / bare.get(i).cpuMicros();
        }
        json.put("ratio_to_bare", median(ratios));
        double min = Arrays.stream(ratios).min().orElse(0);
        double max = Arrays.stream(ratios).max().orElse(0);
        json.put("ratio_least", min);
        json.put("ratio_most", max);
        out.printf(
                Locale.ROOT,
                "CPU of the balancer over the bare pass-through: %.2f (%.2f to %.2f)%n%n",
                median(ratios),
                min,
                max);
    }

    private static double median(List<BenchmarkRound> rounds, ToDoubleFunction<BenchmarkRound> figure) {
        return median(rounds.stream().mapToDouble(figure).toArray());
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int count = sorted.length;
        if (count == 0) {
            return 0;
        }
        return count % 2 == 1 ? sorted[count / 2] : (sorted[count / 2 - 1] + sorted[count / 2]) / 2;
    }
}
