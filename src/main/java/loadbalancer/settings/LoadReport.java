package loadbalancer.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;

/** The values of a server's load report, under the names of the wire and of the protocol on sockets. */
public final class LoadReport {
    private static final List<String> WIRE =
            List.of("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s");
    private static final List<String> SOCKET = List.of("inflight", "queue", "util", "latency_ms", "qps", "eps");

    private static final double VALUE_MOST = 1e9;

    private LoadReport() {}

    private static double[] unknown() {
        double[] values = new double[WIRE.size()];
        Arrays.fill(values, Double.NaN);
        return values;
    }

    /** Whether a value of that name, in either form, is one that this program uses. */
    public static boolean knows(String name) {
        return slot(name) >= 0;
    }

    // The index of a value, or -1 for an unknown name.
    private static int slot(String name) {
        int slot = WIRE.indexOf(name);
        return slot >= 0 ? slot : SOCKET.indexOf(name);
    }

    /** A report of these values, by name; the others are unknown (NaN). Names must be {@link #knows known}. */
    public static Policy.Load of(Map<String, Double> named) {
        double[] values = unknown();
        named.forEach((name, value) -> values[slot(name)] = value);
        return of(values);
    }

    private static Policy.Load of(double[] values) {
        return new Policy.Load(values[0], values[1], values[2], values[3] * 1000, values[4], values[5]);
    }

    /**
     * Reads a report like {@code TEXT inflight=7, queue=2}. What can't be read, or meant, is passed over.
     *
     * @return null where there is no report, or none of its values is known
     */
    public static Policy.Load parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = unknown();
        boolean any = false;
        String pairs = text.strip();
        for (String pair : (pairs.startsWith("TEXT ") ? pairs.substring(5) : pairs).split(",")) {
            int at = pair.indexOf('=');
            int slot = at < 0 ? -1 : slot(pair.substring(0, at).strip());
            if (slot >= 0) {
                try {
                    double value = Double.parseDouble(pair.substring(at + 1).strip());
                    // Guards against figures that no upstream can mean: NaN and infinity are numbers too.
                    if (value >= 0 && value <= VALUE_MOST) {
                        values[slot] = value;
                        any = true;
                    }
                } catch (NumberFormatException e) {
                    continue; // one odd value does not spoil the others
                }
            }
        }
        return any ? of(values) : null;
    }
}
