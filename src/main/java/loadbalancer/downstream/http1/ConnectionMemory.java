package loadbalancer.downstream.http1;

import loadbalancer.http1.ReadLimit;
import loadbalancer.proxy.MemoryBudget;

/**
 * The memory that one connection holds for its client: input that has not been decoded, the heads and bodies of
 * requests until they have been answered or written, and short responses that have not been sent. Limits what is read.
 * Must be used on the event loop.
 */
final class ConnectionMemory implements ReadLimit {
    private final MemoryBudget budget;
    private final MemoryBudget.Account account; // of what is read
    private final MemoryBudget.Account unsentResponses;
    private final ConnectionInput input;
    private final RequestQueue queue;
    private final ConnectionOutput output;
    private boolean released;

    ConnectionMemory(MemoryBudget budget, ConnectionInput input, RequestQueue queue, ConnectionOutput output) {
        this.budget = budget;
        this.account = budget.open(MemoryBudget.Holder.CLIENT);
        this.unsentResponses = budget.open(MemoryBudget.Holder.UNSENT_RESPONSE);
        this.input = input;
        this.queue = queue;
        this.output = output;
    }

    /**
     * Reports to the budget of the process what the connection holds now. After a close this is only what an upstream
     * is still being written, although writes that fail and the end of a read are handled behind the close.
     */
    void update() {
        account.setShare(input.isUploadPending() ? MemoryBudget.Share.LARGE : MemoryBudget.Share.USUAL);
        account.hold(released ? input.unwrittenUploadBytes() : input.heldBytes() + queue.heldBytes());
        unsentResponses.hold(released ? 0 : output.unsentShortBytes());
    }

    // Input that is decoded and then rejected holds nothing, so that a little of it may be read at any time: the close
    // of the connection may lie behind it.
    @Override
    public int maxReadBytes() {
        if (input.isDiscarding()) {
            return Integer.MAX_VALUE;
        }
        long allowance = account.allowance();
        if (!input.isReceivingBody()) {
            allowance = Math.max(allowance, MemoryBudget.REJECTED_INPUT_BYTES - input.undecodedBytes());
        }
        return (int) Math.min(Integer.MAX_VALUE, allowance);
    }

    @Override
    public void awaitMemory(Runnable resume) {
        if (!released) {
            account.whenAllowed(resume);
        }
    }

    /** Whether the connection may hold that much more. */
    boolean mayHoldMore(long bytes) {
        update();
        return account.mayHold(account.bytes() + unsentResponses.bytes() + bytes);
    }

    /** Whether a request of that size may be held by a connection that holds none: most may, however much is held. */
    boolean mayHoldFirst(long bytes) {
        return account.mayHold(bytes);
    }

    /** Whether another response may be passed on: a client that does not read its responses gets no further ones. */
    boolean mayRespond() {
        return output.isWritable() && output.unsentShortBytes() <= budget.maxAccountBytes();
    }

    /** The connection has been closed and holds nothing. */
    void release() {
        released = true;
        account.stopWaiting();
        update();
    }
}
