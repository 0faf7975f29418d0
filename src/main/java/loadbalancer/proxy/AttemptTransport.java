package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * Who carries attempts to upstreams: the other side of the seam. It starts an attempt, gives it up, and
 * tells how it ended; it never picks, repeats, queues or sheds. That an attempt never ran is its word: said
 * only where its protocol proves it. All of it runs on the event loop.
 */
public interface AttemptTransport {
    /** What is certain of an attempt that is given up. */
    enum AttemptEffect {
        NEVER_RAN,
        MAY_HAVE_RUN
    }

    /** Whom it tells, once for each attempt, unless the attempt is given up before. */
    interface Listener {
        /** {@code answer} and {@code load} are null where none came. */
        void ended(Policy.Outcome outcome, UpstreamResponse answer, Policy.Load load);

        /**
         * Looks whether somebody still waits for the attempt, right before its first byte and, where that is
         * much later, before its last: until when that is certain, in µs of the node's clock. Where nobody
         * does it is {@link SendGuard#NOBODY}, and the attempt has been withdrawn by then. Reads the client's
         * connection: not to be called from within a read of any.
         */
        default long awaitedUntil() {
            return Long.MAX_VALUE;
        }

        /** Its first bytes have left, maybe after its permit was over: the process was held up meanwhile. */
        default void heldUp() {}
    }

    /** An attempt that has been started. */
    interface Attempt {
        /** Stops waiting and tells nobody from here on. */
        AttemptEffect cancel();

        /**
         * Takes it back where its last byte has not been written yet, and tells nobody from here on; false
         * where it goes on. No cancellation of work: there is none, whatever the settings say of that.
         */
        boolean withdraw();
    }

    /** The list of upstreams has changed; {@code now} in µs by the node's clock. */
    void updateEndpoints(EndpointUpdate targets, long now);

    /**
     * Starts an attempt.
     *
     * @param wait how long its answer is waited for, in µs
     * @param before by the node's clock, in µs: from then on it is not begun, and ends as NOT_SENT
     */
    Attempt send(String server, ProxyRequest order, long wait, long before, Listener listener);

    /** Whether an attempt that starts now finds a connection that stands; true where that is not known. */
    default boolean isConnected(String server) {
        return true;
    }

    /** Asks an upstream how it is; {@code report}: for its load report as well. */
    void probe(String server, boolean report, Listener listener);

    /** Closes the idle connections to an upstream. */
    void closeIdle(String server);
}
