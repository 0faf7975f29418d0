package loadbalancer.proxy;

/**
 * The log lines about the memory for messages in transit: one when the memory becomes scarce and one when it is ample
 * again, and the counts at the end of a run. Does no I/O and reads no clock. To be used on the event loop's thread.
 */
public final class MessageMemoryLog {
    private static final long MIN_LOG_INTERVAL_NANOS = 5_000_000_000L;
    /** Below this size of an account, the windows of streamed bodies become smaller. */
    private static final long SCARCE_ACCOUNT_BYTES = 64 << 10;

    private final MemoryBudget budget;
    private long rejectedRequests;
    private boolean loggedScarce;
    private boolean logged;
    private long loggedAtNanos;

    MessageMemoryLog(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Counts a request that was rejected because it could not be held. */
    public void requestRejected() {
        rejectedRequests++;
    }

    /** Returns a log line if the memory has become scarce or ample, at most one line in 5 s; otherwise null. */
    public String changeLogLine(long nowNanos) {
        boolean scarce = budget.maxAccountBytes() < SCARCE_ACCOUNT_BYTES;
        if (scarce == loggedScarce || (logged && nowNanos - loggedAtNanos < MIN_LOG_INTERVAL_NANOS)) {
            return null;
        }
        logged = true;
        loggedScarce = scarce;
        loggedAtNanos = nowNanos;
        return "event=message_memory level=" + (scarce ? "scarce" : "ample") + " held_bytes=" + budget.heldBytes()
                + " peak_bytes=" + budget.peakBytes() + " rejected_requests=" + rejectedRequests + " held_by="
                + budget.heldByHolder();
    }

    /** Returns a log text with the counts of the run. */
    public String summary() {
        return budget.peakBytes() + " bytes of messages held at most, " + budget.maxOverrunBytes()
                + " over the limit of an account, " + rejectedRequests
                + " requests rejected for memory";
    }
}
