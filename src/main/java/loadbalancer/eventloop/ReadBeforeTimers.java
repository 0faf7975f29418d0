package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Timers that let the event loop read its sockets first if they run late.
 *
 * <p>After a stall of the process (SIGSTOP, a machine without a free core) the selector returns with timers due, but
 * without the sockets that became readable during the stall. If the timers ran at once, an attempt would time out
 * although its response has arrived, an idle connection would be closed although a request is unread in its socket, and
 * the age of a request would be counted from the end of the stall.
 *
 * <p>To be used on the loop's own thread, except {@link #schedule} and {@link Handle#cancel}.
 */
public final class ReadBeforeTimers {
    /** A timer that runs later than this is late: no iteration of an event loop that keeps up takes so long. */
    static final long LATE_NANOS = 5_000_000;
    /** Max. passes over the sockets that a timer waits for, so that it also runs on a loop that is always late. */
    private static final int MAX_SOCKET_PASSES = 3;

    private ReadBeforeTimers() {}

    /** A scheduled task. */
    public static final class Handle {
        private final EventLoop loop;
        private final Runnable task;
        private long dueNanos; // System.nanoTime()
        private int socketPasses;
        private volatile Future<?> future;
        private volatile boolean cancelled;

        private Handle(EventLoop loop, long delayNanos, Runnable task) {
            this.loop = loop;
            this.task = task;
            this.dueNanos = System.nanoTime() + delayNanos;
            this.future = loop.schedule(this::runOrReschedule, delayNanos, TimeUnit.NANOSECONDS);
        }

        // A task that is scheduled within an iteration runs in the next one, after the pass over the sockets.
        private void runOrReschedule() {
            if (cancelled) {
                return;
            }
            // Checked after each pass: the process may have stalled again between the pass and this task.
            long now = System.nanoTime();
            if (now - dueNanos > LATE_NANOS && socketPasses++ < MAX_SOCKET_PASSES) {
                dueNanos = now;
                future = loop.schedule(this::runOrReschedule, 0, TimeUnit.NANOSECONDS);
            } else {
                task.run();
            }
        }

        /** Cancels the task; has no effect once the task has run. May be called from any thread. */
        public void cancel() {
            cancelled = true;
            future.cancel(false);
        }
    }

    /** Runs {@code task} once on the loop's thread, after {@code delay}. May be called from any thread. */
    public static Handle schedule(EventLoop loop, long delay, TimeUnit unit, Runnable task) {
        return new Handle(loop, unit.toNanos(Math.max(0, delay)), task);
    }

    /**
     * Runs {@code task} repeatedly, each time {@code delay} after the end of the previous run, until the loop shuts
     * down. An exception of the task does not end the repetition.
     */
    public static void scheduleWithFixedDelay(EventLoop loop, long delay, TimeUnit unit, Runnable task) {
        schedule(loop, delay, unit, () -> {
            try {
                task.run();
            } finally {
                if (!loop.isShuttingDown()) {
                    scheduleWithFixedDelay(loop, delay, unit, task);
                }
            }
        });
    }
}
