package loadbalancer.policy;

import loadbalancer.policy.Policy.Actions;

/** Log lines for the operators, at most one per second; further lines are dropped. */
final class OperatorLog {
    private static final long MIN_INTERVAL_MICROS = 1_000_000;

    private long nextLineAtMicros;

    /** Whether a line would be written: callers on hot paths check this before they build the text. */
    boolean isDue(long nowMicros) {
        return nowMicros >= nextLineAtMicros;
    }

    void write(long nowMicros, String line, Actions actions) {
        if (isDue(nowMicros)) {
            nextLineAtMicros = nowMicros + MIN_INTERVAL_MICROS;
            actions.log(line);
        }
    }
}
