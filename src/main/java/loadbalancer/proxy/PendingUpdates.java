package loadbalancer.proxy;

/**
 * Updates of the endpoint list that may lie unread because the event loop was stalled (rule 3): what a
 * transport asks before it begins an attempt. On the event loop.
 */
public interface PendingUpdates {
    /** For an event loop that receives no endpoint list. */
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

    /** Whether the event loop was stalled, and has not polled its sockets since. */
    boolean mayHaveUnreadUpdates();

    /**
     * Until when an attempt may leave, in µs of the balancer's clock (rule 3): from then on the grace of a
     * drain whose announcement lies unread may be over.
     */
    long unreadDrainDeadlineMicros();

    /**
     * Runs {@code task} once updates of the endpoint list that may lie unread have been read: at once where the
     * event loop keeps up, otherwise after a complete poll of its sockets. The poll that is under way may have
     * begun before the stall, and miss sockets that became ready since.
     */
    void runAfterUpdates(Runnable task);
}
