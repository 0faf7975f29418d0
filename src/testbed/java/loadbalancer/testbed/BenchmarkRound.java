package loadbalancer.testbed;

import org.HdrHistogram.Histogram;

/**
 * The figures of one round of a benchmark over one path.
 *
 * @param cpuMicros µs of CPU that the process in the path used for each request; 0 without one
 * @param p50Millis median latency; {@code p99Millis} and {@code p999Millis} are further percentiles
 * @param requests how many were sent
 * @param notGood how many of them got no successful response within their latency objective
 */
record BenchmarkRound(
        double cpuMicros, double p50Millis, double p99Millis, double p999Millis, long requests, long notGood) {
    static BenchmarkRound of(RequestCounts.Line line, long usedCpuMicros) {
        Histogram latency = line.latency;
        return new BenchmarkRound(
                (double) usedCpuMicros / line.taken,
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                latency.getValueAtPercentile(99.9) / 1e3,
                line.taken,
                line.taken - line.inTime);
    }
}
