package loadbalancer.proxy;

/** The one thread that owns requests and policy: the event loop, or virtual time in tests. */
public interface Scheduler {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; does nothing where it has run already. */
        void cancel();
    }

    /** Runs {@code task} on the event loop, never from within this call. May be called from any thread. */
    void execute(Runnable task);

    /** Runs {@code task} on the event loop once, after {@code delayMicros} µs. */
    Timer schedule(long delayMicros, Runnable task);
}
