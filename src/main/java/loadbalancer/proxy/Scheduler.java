package loadbalancer.proxy;

/** Schedules tasks on the thread that owns requests and policy: the event loop, or virtual time in tests. */
public interface Scheduler {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; does nothing if the task has run. */
        void cancel();
    }

    /** Runs {@code task} on the event loop, after this call has returned. May be called from any thread. */
    void execute(Runnable task);

    /** Runs {@code task} on the event loop once, after {@code delayMicros}. */
    Timer schedule(long delayMicros, Runnable task);
}
