package loadbalancer.policy;

import loadbalancer.policy.Policy.Actions;

/** Lines for the operators, one a second at most; others are dropped. */
final class OperatorLog {
    private static final long MIN_INTERVAL_MICROS = 1_000_000;

    private long nextAt;

    /** Whether a line would be written: callers on hot paths ask before they make up the text. */
    boolean isDue(long now) {
        return now >= nextAt;
    }

    void write(long now, String line, Actions out) {
        if (isDue(now)) {
            nextAt = now + MIN_INTERVAL_MICROS;
            out.log(line);
        }
    }
}
