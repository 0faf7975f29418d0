package loadbalancer.proxy;

/** The one thread that owns requests and module, as far as the core needs it: real, or in virtual time. */
public interface Scheduler {
    /** What has been asked to run later. */
    interface Timer {
        /** Does nothing where it has run already. */
        void cancel();
    }

    /** Runs {@code task} on the loop's thread, not from within this call. May be called from any thread. */
    void execute(Runnable task);

    /** Runs {@code task} on the loop's thread once, after {@code delay} µs. */
    Timer schedule(long delay, Runnable task);
}
