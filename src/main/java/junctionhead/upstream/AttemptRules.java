package junctionhead.upstream;

import junctionhead.Policy.Outcome;

/** When an attempt may be begun, and what its ending proves. No I/O; times in µs of one clock. */
final class AttemptRules {
    private AttemptRules() { }

    /**
     * Looks at an attempt right before its first byte: the list and the time went on while it waited for its
     * connection.
     *
     * @param before from then on it may not run any more, or nobody waits for it
     * @param stopAt when the grace of its upstream's drain is over
     * @param moved its upstream has another address now: whoever listens at this one is not that upstream
     * @return how it ends unbegun, or null: it may begin
     */
    static Outcome unbegun(long now, long before, long stopAt, boolean moved) {
        if (now >= before) {
            return Outcome.NOT_SENT;
        }
        return now >= stopAt || moved ? Outcome.CONNECT_FAILED : null;     // another upstream may take it
    }

    /**
     * An upstream begins with a request when its last byte has come. One that says before that it has served
     * it keeps to no rule, or answers another one: it can't be passed on, nor be taken for proof that nothing
     * ran.
     */
    static boolean isForged(Outcome answered, boolean written) {
        return !written && answered == Outcome.OK;
    }

    /**
     * Whether an attempt whose connection ends goes on over another one, and is still the same attempt: its
     * upstream ended a connection at rest, as it may at any time, and has seen nothing of the request. One
     * that was dialled for it and never stood is a failure to be told.
     */
    static boolean goesOver(boolean rested, boolean begun) {
        return rested && !begun;
    }

    /** How an attempt ends whose connection breaks: the line is the request's last byte. */
    static Outcome broken(boolean written) {
        return written ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }
}
