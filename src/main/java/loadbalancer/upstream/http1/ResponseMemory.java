package loadbalancer.upstream.http1;

import loadbalancer.proxy.MemoryBudget;

/**
 * The memory that a connection to an upstream holds for its present response: what has been read of it, until it has
 * been written to its client. The next response has an account of its own, as its client may read this one slowly. On
 * the event loop.
 */
final class ResponseMemory {
    /** The part of a response that is streamed: passed on and not written to the client. */
    final class Stream {
        private final MemoryBudget.Account streamAccount = account;
        private int unwrittenBytes;

        void reportUnwritten(int bytes) {
            unwrittenBytes = bytes;
            if (stream == this) {
                update();
            } else {
                streamAccount.hold(bytes);
            }
        }
    }

    private final MemoryBudget budget;
    private MemoryBudget.Account account;
    private Stream stream; // of the present response; null if it is not streamed
    private long readBytes; // of it, and not passed on

    ResponseMemory(MemoryBudget budget) {
        this.budget = budget;
        this.account = budget.open(MemoryBudget.Holder.RESPONSE);
    }

    /** Counts the first bytes of the present response, which are passed on now, and what follows them as a stream. */
    Stream openStream(int firstBytes) {
        stream = new Stream();
        stream.unwrittenBytes = firstBytes;
        readBytes = Math.max(0, readBytes - firstBytes);
        return stream;
    }

    /** Reports what has been read of the present response and not been passed on. */
    void hold(long bytes) {
        readBytes = bytes;
        update();
    }

    private void update() {
        account.hold(readBytes + (stream == null ? 0 : stream.unwrittenBytes));
    }

    boolean mayHold(long bytes) {
        return account.mayHold(bytes);
    }

    /**
     * Returns how many bytes may be read now. A head is decoded as it comes, so that a little may always be read of it.
     */
    int maxReadBytes(boolean headComplete) {
        long allowance = account.allowance();
        return (int) Math.min(
                Integer.MAX_VALUE, headComplete ? allowance : Math.max(allowance, MemoryBudget.MIN_RESPONSE_BYTES));
    }

    void whenAllowed(Runnable task) {
        account.whenAllowed(task);
    }

    /** Nothing more is read of the present response; what is still being written stays in its account. */
    void release() {
        account.stopWaiting();
        hold(0);
    }

    /** Begins the account of the next response. */
    void openNext() {
        release();
        stream = null;
        account = budget.open(MemoryBudget.Holder.RESPONSE);
    }
}
