package loadbalancer.proxy;

/**
 * The memory of one process for messages in transit, over all downstream and upstream protocols. To be used on the
 * event loop's thread.
 */
public final class MessageMemory {
    private final MemoryBudget budget;
    private final MessageMemoryLog log;
    private final BodyMemoryBudget http3Bodies;

    /** Creates the memory of a process, none of which is in use. */
    public MessageMemory() {
        this(MemoryBudget.MAX_BYTES);
    }

    /** Creates a memory of {@code maxBytes} in all. */
    public MessageMemory(long maxBytes) {
        budget = new MemoryBudget(maxBytes);
        log = new MessageMemoryLog(budget);
        http3Bodies = new BodyMemoryBudget(maxBytes, budget);
    }

    /** The limit on all messages together. */
    public MemoryBudget budget() {
        return budget;
    }

    /** What is logged about this memory. */
    public MessageMemoryLog log() {
        return log;
    }

    /** The part of the budget for buffered bodies of requests over HTTP/3. */
    public BodyMemoryBudget http3Bodies() {
        return http3Bodies;
    }
}
