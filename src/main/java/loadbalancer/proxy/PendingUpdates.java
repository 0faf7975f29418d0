package loadbalancer.proxy;

/**
 * Tells whether updates of the endpoint list may be unread in a socket because the event loop was stalled (rule 3).
 * Used by transports before they start an attempt. To be used on the event loop.
 */
public interface PendingUpdates {
    /** The implementation for an event loop that receives no endpoint lists. */
    PendingUpdates NONE = new PendingUpdates() {
        @Override
        public boolean mayHaveUnreadUpdates() {
            return false;
        }

        @Override
        public long unreadDrainDeadlineMicros() {
            return Long.MAX_VALUE;
        }

        @Override
        public void runAfterUpdates(Runnable task) {
            task.run();
        }
    };

    /** Whether the event loop was stalled and has not polled its sockets since. */
    boolean mayHaveUnreadUpdates();

    /**
     * Returns the time until which an attempt may be sent, in µs of the balancer's clock (rule 3). After this time the
     * grace of a drain may be over whose announcement is still unread.
     */
    long unreadDrainDeadlineMicros();

    /**
     * Runs {@code task} when no update of the endpoint list can be unread: immediately if the event loop was not
     * stalled, otherwise after a complete poll of its sockets. The current poll does not count: it may have begun
     * before the stall, and miss sockets that became ready since.
     */
    void runAfterUpdates(Runnable task);
}
