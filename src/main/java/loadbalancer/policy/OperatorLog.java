package loadbalancer.policy;

import loadbalancer.policy.Policy.Actions;

/** Lines for the operators, one a second at most; others are dropped. */
final class OperatorLog {
    private static final long MIN_INTERVAL_MICROS = 1_000_000;

    private long nextLineAtMicros;

    /** Whether a line would be written: callers on hot paths ask before they make up the text. */
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
