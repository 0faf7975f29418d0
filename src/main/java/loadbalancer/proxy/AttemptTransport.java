package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * Carries attempts to upstreams: starts an attempt, gives it up, and reports its outcome. Never chooses a
 * server, retries, queues or sheds load. An attempt counts as never run only where the transport's protocol
 * proves it. Everything runs on the event loop.
 */
public interface AttemptTransport {
    /** What is certain of an attempt that has been given up. */
    enum AttemptEffect {
        NEVER_RAN,
        MAY_HAVE_RUN
    }

    /** Whom the transport notifies, once for each attempt, unless the attempt is given up before. */
    interface Listener {
        /** The attempt has ended; {@code response} and {@code load} are null where none was received. */
        void ended(Policy.Outcome outcome, UpstreamResponse response, Policy.Load load);

        /**
         * Checks whether somebody still waits for the attempt. To be called right before its first byte and,
         * where that is much later, before its last. Reads the client's connection: not to be called from
         * within a read of any connection.
         *
         * @return until when somebody certainly waits, in µs of the balancer's clock;
         *     {@link SendGuard#NOT_AWAITED} where nobody does, and the attempt has been withdrawn by then
         */
        default long awaitedUntilMicros() {
            return Long.MAX_VALUE;
        }

        /** Its first bytes have left, possibly after its permit had expired: the process was stalled meanwhile. */
        default void sendDelayed() {}
    }

    /** An attempt that has been started. */
    interface Attempt {
        /** Stops waiting for the response; the listener is not notified from here on. */
        AttemptEffect cancel();

        /**
         * Withdraws the attempt if its last byte has not been written yet; the listener is not notified from
         * here on. Not a cancellation of work: there is none yet, whatever the settings say of cancellation.
         *
         * @return false where the attempt goes on
         */
        boolean withdraw();
    }

    /** The endpoint list has changed; {@code announcedAtMicros} in µs of the balancer's clock. */
    void updateEndpoints(EndpointUpdate update, long announcedAtMicros);

    /**
     * Starts an attempt.
     *
     * @param server the upstream's name in the endpoint list
     * @param responseTimeoutMicros how long its response is waited for, in µs
     * @param startDeadlineMicros in µs of the balancer's clock: from then on it is not begun, and ends as NOT_SENT
     */
    Attempt send(
            String server,
            ProxyRequest request,
            long responseTimeoutMicros,
            long startDeadlineMicros,
            Listener listener);

    /** Whether an attempt that starts now finds an established connection; true where that is not known. */
    default boolean isConnected(String server) {
        return true;
    }

    /** Sends a health check to an upstream; {@code withLoadReport}: asks for its load report as well. */
    void probe(String server, boolean withLoadReport, Listener listener);

    /** Closes the idle connections to an upstream. */
    void closeIdle(String server);
}
