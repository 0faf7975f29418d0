package loadbalancer.proxy;

/**
 * The memory that the bodies of all clients' requests may take together, from their receipt until the
 * response. Each connection has a limit of its own; this one guards against a heap that many connections fill
 * together. For the event loop's thread.
 */
public final class BodyMemoryBudget {
    /** Bytes of request bodies that a process holds at once, over all downstream protocols. */
    public static final long MAX_CLIENT_BODY_BYTES = 6 << 20;

    private final long maxBytes;
    private long reservedBytes;

    /** A budget of {@code maxBytes}, of which nothing is reserved. */
    public BodyMemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves {@code bytes}; false where they don't fit into the budget, and nothing is reserved then. */
    public boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Gives reserved bytes back. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
