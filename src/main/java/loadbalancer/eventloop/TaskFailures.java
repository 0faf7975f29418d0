package loadbalancer.eventloop;

import java.util.function.Consumer;

/**
 * Counts and logs event loop tasks that throw. Netty itself stores the exception of a scheduled task in a future that
 * nobody reads, and stops repeating a periodic task that has thrown. To be used on the event loop.
 */
public final class TaskFailures {
    private final Consumer<String> log;
    private long count;

    /** Creates a counter of 0; {@code log} receives the log lines and must not block. */
    public TaskFailures(Consumer<String> log) {
        this.log = log;
    }

    /** Runs a task; an exception of the task is recorded and not thrown to the caller. */
    public void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            record(e);
        }
    }

    /** Counts a failure, and logs the failure if the count is a power of two. */
    void record(Throwable cause) {
        count++;
        if (Long.bitCount(count) == 1) {
            StackTraceElement[] trace = cause.getStackTrace();
            log.accept("event=loop_task_failed count=" + count + " cause=" + cause
                    + (trace.length == 0 ? "" : " at " + trace[0]));
        }
    }

    /** Returns the count as text, for the summary at the end of a run. */
    public String summary() {
        return count + " failed tasks";
    }
}
