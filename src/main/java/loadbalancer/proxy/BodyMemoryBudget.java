package loadbalancer.proxy;

/**
 * Limits the memory that the request bodies of all clients take together, from the receipt of a body until the
 * response. Each connection has its own limit; this limit prevents many connections from filling the heap together.
 * To be used on the event loop's thread.
 */
public final class BodyMemoryBudget {
    /** Max. bytes of request bodies that a process holds at once, over all downstream protocols. */
    public static final long MAX_CLIENT_BODY_BYTES = 6 << 20;

    private final long maxBytes;
    private long reservedBytes;

    /** Creates a budget of {@code maxBytes}, none of which are reserved. */
    public BodyMemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves {@code bytes}; reserves nothing and returns false if they exceed the budget. */
    public boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved bytes. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
