package loadbalancer.upstream.http1;

import loadbalancer.policy.Policy.Outcome;

/** What the end of an attempt over HTTP/1.1 proves. No I/O. */
final class AttemptOutcomeRules {
    private AttemptOutcomeRules() {}

    /**
     * Whether a response can't be that of the request. An upstream begins with a request when its last byte
     * has come; one that reports success before breaks that rule, or answers another request: its response
     * can neither be forwarded nor be taken for proof that nothing ran.
     */
    static boolean isForged(Outcome outcome, boolean requestSent) {
        return !requestSent && outcome == Outcome.OK;
    }

    /**
     * Whether an attempt whose connection closes continues on another one as the same attempt: its upstream
     * closed an idle connection, as it may at any time (RFC 9112, section 9.6), and has seen nothing of the
     * request. One that was dialled for the attempt and never opened is a failure.
     */
    static boolean mayMoveToAnotherConnection(boolean reused, boolean started) {
        return reused && !started;
    }

    /** How an attempt ends whose connection is lost: it may have run once the last byte was sent. */
    static Outcome onConnectionLost(boolean requestSent) {
        return requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }
}
