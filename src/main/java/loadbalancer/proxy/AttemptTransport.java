package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * Sends attempts to upstreams: starts and cancels attempts, and reports their outcomes. A transport never chooses
 * a server, retries, queues or sheds load. It reports an attempt as never run only if its protocol proves that.
 * Everything runs on the event loop.
 */
public interface AttemptTransport {
    /** Whether a server may have run an attempt that has been cancelled. */
    enum AttemptEffect {
        NEVER_RAN,
        MAY_HAVE_RUN
    }

    /** Is notified by the transport of the outcome, once for each attempt that is not cancelled or withdrawn before. */
    interface Listener {
        /** The attempt has ended; {@code response} and {@code load} are null if none was received. */
        void ended(Policy.Outcome outcome, UpstreamResponse response, Policy.Load load);

        /**
         * Checks whether the client still waits for this attempt, and whether rule 2 still allows it. To be called
         * right before the attempt's first byte and, if the last byte follows much later, before the last byte. Reads
         * the client's connection, so it must not be called from within a read of any connection.
         *
         * @return the time until which the attempt may be sent, in µs of the balancer's clock; {@link
         *     SendGuard#NOT_AWAITED} if it may not be sent at all: no client waits, and the attempt has then been
         *     withdrawn, or it may not run any more
         */
        default long awaitedUntilMicros() {
            return Long.MAX_VALUE;
        }

        /**
         * The first byte, or the last one of a streamed body, is written next: the attempt may have run from here on.
         * To be called in the same turn of the event loop as {@link #awaitedUntilMicros}, once all conditions hold.
         */
        default void sending() {}

        /** Returns how long the balancer still waits for the response, in µs; the upstream is told no longer time. */
        default long responseTimeLeftMicros() {
            return Long.MAX_VALUE;
        }

        /** The head of the final response has been received, or bytes behind it: the response has begun. */
        default void responseProgress() {}

        /** The first bytes were sent, possibly after the permit expired because the process was stalled. */
        default void sendDelayed() {}
    }

    /** An attempt that has been started. */
    interface Attempt {
        /** Stops waiting for the response; the listener is not notified after this call. */
        AttemptEffect cancel();

        /**
         * Withdraws the attempt if its last byte has not been written yet; then the listener is not notified after
         * this call. This does not depend on the setting for cancellation, since the server has no work to cancel.
         *
         * @return whether the attempt was withdrawn; otherwise it goes on
         */
        boolean withdraw();

        /**
         * Whether the head of a successful response of unknown length has been received that is not complete: it may
         * become longer than what is buffered.
         */
        default boolean responseMayBeLong() {
            return false;
        }

        /**
         * Ends the attempt with the part that has been received of a response of unknown length, whose rest follows as
         * a body stream; the listener is notified before this call returns.
         *
         * @return false if there is no such response, as {@link #responseMayBeLong} tells; the attempt goes on then
         */
        default boolean streamPartialResponse() {
            return false;
        }
    }

    /** Applies an update of the endpoint list, announced at {@code announcedAtMicros} by the balancer's clock. */
    void updateEndpoints(EndpointUpdate update, long announcedAtMicros);

    /**
     * Starts an attempt.
     *
     * @param server the upstream's name in the endpoint list
     * @param responseTimeoutMicros max. time to wait for the response
     * @param startDeadlineMicros a time by the balancer's clock; an attempt that has not been started by then ends
     *     as NOT_SENT
     */
    Attempt send(
            String server,
            ProxyRequest request,
            long responseTimeoutMicros,
            long startDeadlineMicros,
            Listener listener);

    /** Whether an attempt that starts now finds an established connection; true if that is not known. */
    default boolean isConnected(String server) {
        return true;
    }

    /** Sends a health check to an upstream, with a request for its load report if {@code withLoadReport} is set. */
    void probe(String server, boolean withLoadReport, Listener listener);

    /** Closes the idle connections to an upstream. */
    void closeIdle(String server);
}
