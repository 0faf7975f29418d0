package loadbalancer.testbed;

import java.util.List;
import java.util.Locale;

/**
 * The result of one seed of a {@link FaultSoak}. It has more than seven components as it is one line of the summary.
 *
 * @param crowded whether idle clients, bursts of connections and pipelined requests took the processes' descriptors
 *     and memory
 * @param lateAttempts attempts that waited for a late connection, sent or not; 0 without such faults
 * @param left requests whose clients closed before a response
 * @param violations of the rules, and faults of the run itself
 * @param notes what is allowed and still worth a look, as last-resort responses
 */
public record SoakOutcome(
        long seed,
        int processes,
        boolean crowded,
        long served,
        long refused,
        long failed,
        long left,
        long lostToKills,
        long lateAttempts,
        List<String> violations,
        List<String> notes) {
    /** Whether something was served and nothing went wrong. */
    public boolean isClean() {
        return served > 0 && violations.isEmpty();
    }

    /** One line. */
    public String summary() {
        return String.format(
                Locale.ROOT,
                "seed %d, %d processes%s: %d served, %d refused, %d failed, %d"
                        + " clients left, %d lost to kills, %d late connections, %d violations",
                seed,
                processes,
                crowded ? ", crowded" : "",
                served,
                refused,
                failed,
                left,
                lostToKills,
                lateAttempts,
                violations.size());
    }
}
