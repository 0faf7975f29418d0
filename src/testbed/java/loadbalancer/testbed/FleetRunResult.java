package loadbalancer.testbed;

import java.util.List;
import java.util.Locale;
import loadbalancer.testbed.fleet.LoadSpread;

/**
 * What came of a {@link FleetRun}: one line of its JSON file, which is why it has more than seven components.
 *
 * @param asked requests that were sent; each is one of served, refused, failed, lost and unanswered
 * @param lost requests without a response because their balancer was killed or stalled by the plan
 * @param connections that the servers accepted under load
 * @param queue the most requests that a server held at any sample, ten samples a second
 * @param p50 median latency in µs; {@code p90} and {@code p99} are further percentiles
 * @param cpu of all processes under load, in µs, without restarts
 * @param collapses of servers that were overloaded during slow start
 * @param breaches of the rules, and faults of the run itself
 */
public record FleetRunResult(
        FleetRunPlan plan,
        LoadSpread spread,
        long asked,
        long served,
        long refused,
        long failed,
        long lost,
        long unanswered,
        long connections,
        long queue,
        long p50,
        long p90,
        long p99,
        long cpu,
        long collapses,
        List<String> breaches) {
    /** Whether the rules were kept, and something was asked. */
    public boolean isClean() {
        return asked > 0 && breaches.isEmpty() && collapses == 0 && unanswered == 0;
    }

    /** One line of JSON. */
    public String json() {
        Scenario scenario = plan.scenario();
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"seed\":%d,\"processes\":%d,\"boxes\":%d,"
                        + "\"load\":%.2f,\"uneven\":%.2f,%s,\"asked\":%d,\"served\":%d,\"refused\":%d,"
                        + "\"failed\":%d,"
                        + "\"lost\":%d,\"unanswered\":%d,\"connections\":%.3f,\"queue\":%d,\"p50\":%d,\"p90\":%d,"
                        + "\"p99\":%d,\"cpu\":%d,\"falls\":%d,\"breaches\":%d}",
                scenario.name(),
                scenario.seed(),
                plan.processes(),
                scenario.serverNames().size(),
                1 / scenario.headroom(),
                plan.uneven(),
                spread.json(),
                asked,
                served,
                refused,
                failed,
                lost,
                unanswered,
                (double) connections / Math.max(1, asked),
                queue,
                p50,
                p90,
                p99,
                cpu / Math.max(1, asked),
                collapses,
                breaches.size());
    }
}
