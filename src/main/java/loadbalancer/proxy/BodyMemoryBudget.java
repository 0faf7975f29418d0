package loadbalancer.proxy;

/**
 * Limits the memory that the buffered request bodies of all clients over HTTP/3 take together, from the receipt of a
 * body until the response. Draws on the memory of the process. To be used on the event loop's thread.
 */
public final class BodyMemoryBudget {
    private final long maxBytes;
    private final MemoryBudget budget; // of the process
    private final MemoryBudget.Account account;
    private long reservedBytes;

    /** Creates a budget of {@code maxBytes}, none of which are reserved. */
    public BodyMemoryBudget(long maxBytes) {
        this(maxBytes, new MemoryBudget(maxBytes));
    }

    /** Creates a part of {@code budget}, none of which is reserved. */
    BodyMemoryBudget(long maxBytes, MemoryBudget budget) {
        this.maxBytes = maxBytes;
        this.budget = budget;
        this.account = budget.open(MemoryBudget.Holder.HTTP3_BODY);
    }

    /** Reserves {@code bytes}; reserves nothing and returns false if they exceed the budget. */
    public boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > maxBytes || !budget.hasFree(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        account.hold(reservedBytes);
        return true;
    }

    /** Releases reserved bytes. */
    public void release(int bytes) {
        reservedBytes -= bytes;
        account.hold(reservedBytes);
    }
}
