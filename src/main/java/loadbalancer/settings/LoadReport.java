package loadbalancer.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;

/**
 * Reads a server's load report, with the value names of the simulator's wire protocol or of the {@code Srv-Load}
 * header. Stateless and thread-safe.
 */
public final class LoadReport {
    /** Value names in the simulator's wire protocol; the position of a name is the index of its value. */
    private static final List<String> SIMULATOR_NAMES =
            List.of("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s");

    /** The names of the same values in the {@code Srv-Load} header. */
    private static final List<String> HEADER_NAMES = List.of("inflight", "queue", "util", "latency_ms", "qps", "eps");

    private static final String HEADER_PREFIX = "TEXT ";
    private static final double MAX_VALUE = 1e9;
    private static final double MICROS_PER_MILLI = 1000;

    private LoadReport() {}

    private static double[] unknownValues() {
        double[] values = new double[SIMULATOR_NAMES.size()];
        Arrays.fill(values, Double.NaN);
        return values;
    }

    /** Returns whether a value of that name, in either form, is used by the policy. */
    public static boolean knows(String name) {
        return indexOf(name) >= 0;
    }

    /** The index of a value, or -1 for an unknown name. */
    private static int indexOf(String name) {
        int index = SIMULATOR_NAMES.indexOf(name);
        return index >= 0 ? index : HEADER_NAMES.indexOf(name);
    }

    /**
     * Returns a report of these values; values that are not named are unknown (NaN).
     *
     * @param valuesByName values by name, as reported; every name must be {@link #knows known}
     */
    public static Policy.Load of(Map<String, Double> valuesByName) {
        double[] values = unknownValues();
        valuesByName.forEach((name, value) -> values[indexOf(name)] = value);
        return of(values);
    }

    private static Policy.Load of(double[] values) {
        return new Policy.Load(values[0], values[1], values[2], values[3] * MICROS_PER_MILLI, values[4], values[5]);
    }

    /**
     * Reads a report like {@code TEXT inflight=7, queue=2}. Malformed pairs, unknown names and values outside the range
     * 0 to 10^9 are ignored.
     *
     * @param text the header's value; null where the response has no such header
     * @return null where there is no report, or no usable value in it
     */
    public static Policy.Load parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = unknownValues();
        boolean anyKnown = false;
        String report = text.strip();
        String pairs = report.startsWith(HEADER_PREFIX) ? report.substring(HEADER_PREFIX.length()) : report;
        for (String pair : pairs.split(",", -1)) {
            int separator = pair.indexOf('=');
            int index =
                    separator < 0 ? -1 : indexOf(pair.substring(0, separator).strip());
            if (index >= 0) {
                double value = parseValue(pair.substring(separator + 1).strip());
                // NaN and infinity are parsed as numbers too, but are not valid values.
                if (value >= 0 && value <= MAX_VALUE) {
                    values[index] = value;
                    anyKnown = true;
                }
            }
        }
        return anyKnown ? of(values) : null;
    }

    /** Returns NaN for a malformed value, so that it does not invalidate the other values. */
    private static double parseValue(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
