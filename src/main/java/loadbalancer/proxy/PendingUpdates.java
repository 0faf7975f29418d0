package loadbalancer.proxy;

/**
 * News of the list that may lie unread, because the loop's thread stood still (rule 3): what a carrier asks
 * before it begins with a request. On the loop.
 */
public interface PendingUpdates {
    /** Of a loop that has no list to hear of. */
    PendingUpdates NONE = new PendingUpdates() {
        @Override
        public boolean mayHaveUnread() {
            return false;
        }

        @Override
        public long graceHolds() {
            return Long.MAX_VALUE;
        }

        @Override
        public void afterUpdates(Runnable task) {
            task.run();
        }
    };

    /** Whether the loop has stood still, and not passed over its sockets since. */
    boolean mayHaveUnread();

    /**
     * Until when what is ready may leave, in µs of the node's clock (rule 3): then the grace of a drain may
     * be over of which nothing has been read.
     */
    long graceHolds();

    /**
     * Runs {@code task} once news of the list that may lie unread has been read: at once where the loop keeps
     * up, else behind a whole pass over its sockets. The present pass may have begun before the standstill,
     * and look at none that became ready since.
     */
    void afterUpdates(Runnable task);
}
