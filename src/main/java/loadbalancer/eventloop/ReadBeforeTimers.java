package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Timers that, when they run late, let the event loop read its sockets first.
 *
 * <p>After a stall of the process (SIGSTOP, a machine without a free core) the selector returns with the timers due and
 * with none of the sockets that became readable meanwhile. Without the extra pass an attempt would time out whose
 * response has arrived, an idle connection would be closed on the request in it, and the age of a request would be
 * counted from after the stall.
 *
 * <p>For the loop's own thread, except {@link #schedule}.
 */
public final class ReadBeforeTimers {
    /** A timer that runs later than this, in ns, is late: no iteration of a loop that keeps up takes so long. */
    static final long LATE_NANOS = 5_000_000;
    /** Passes over the sockets that a timer waits for at most, so that it also runs on a loop that is always late. */
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

        // A task scheduled within an iteration runs in the next one, behind the pass over the sockets.
        private void runOrReschedule() {
            if (cancelled) {
                return;
            }
            // Checked on each pass: the process may have been stalled between the pass and this task.
            long now = System.nanoTime();
            if (now - dueNanos > LATE_NANOS && socketPasses++ < MAX_SOCKET_PASSES) {
                dueNanos = now;
                future = loop.schedule(this::runOrReschedule, 0, TimeUnit.NANOSECONDS);
            } else {
                task.run();
            }
        }

        /** Cancels the task; no effect once it has run. From any thread. */
        public void cancel() {
            cancelled = true;
            future.cancel(false);
        }
    }

    /** Runs {@code task} once on the loop's thread, after {@code delay}. May be called from any thread. */
    public static Handle schedule(EventLoop loop, long delay, TimeUnit unit, Runnable task) {
        return new Handle(loop, unit.toNanos(Math.max(0, delay)), task);
    }

    /** Runs {@code task} repeatedly, each time {@code delay} after its last end, until the loop shuts down. */
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
