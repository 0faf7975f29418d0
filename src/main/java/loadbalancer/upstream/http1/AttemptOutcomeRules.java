package loadbalancer.upstream.http1;

import loadbalancer.policy.Policy.Outcome;

/** What the ending of an attempt proves. No I/O. */
final class AttemptOutcomeRules {
    private AttemptOutcomeRules() {}

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
