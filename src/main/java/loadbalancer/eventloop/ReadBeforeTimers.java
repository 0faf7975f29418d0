package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Timers of an event loop that may stand still: one that runs late lets the loop pass over its sockets first.
 * A wait that is interrupted by a stall of the process (SIGSTOP, a machine that gives it no turn) comes back
 * with its timers due and with none of the sockets that have become ready meanwhile: an attempt was given up
 * whose answer had come, a connection at rest was closed on the request in it, and a request was taken for
 * new that had lain there for as long. For the loop's own thread, but for {@link #after}.
 */
public final class ReadBeforeTimers {
    /** From so much on a timer is late, in ns: no turn of a loop that keeps up takes that long. */
    static final long LATE = 5_000_000;
    // Passes that a timer waits for at most: a loop that is always late still comes to its timers.
    private static final int PASSES = 3;

    private ReadBeforeTimers() {}

    /** A task that has been asked for. */
    public static final class Handle {
        private final EventLoop loop;
        private final Runnable task;
        private long due;
        private int passes;
        private volatile Future<?> future;
        private volatile boolean cancelled;

        private Handle(EventLoop loop, long nanos, Runnable task) {
            this.loop = loop;
            this.task = task;
            this.due = System.nanoTime() + nanos;
            this.future = loop.schedule(this::due, nanos, TimeUnit.NANOSECONDS);
        }

        // What is scheduled from within a turn runs in the next one, behind the pass over the sockets.
        private void due() {
            if (cancelled) {
                return;
            }
            // Again where it stood still between that pass and here.
            long now = System.nanoTime();
            if (now - due > LATE && passes++ < PASSES) {
                due = now;
                future = loop.schedule(this::due, 0, TimeUnit.NANOSECONDS);
            } else {
                task.run();
            }
        }

        /** Does nothing where it has run already. */
        public void cancel() {
            cancelled = true;
            future.cancel(false);
        }
    }

    /** Runs {@code task} on the loop's thread once, after that time. May be called from any thread. */
    public static Handle after(EventLoop loop, long delay, TimeUnit unit, Runnable task) {
        return new Handle(loop, unit.toNanos(Math.max(0, delay)), task);
    }

    /** Runs {@code task} again and again, each time so long after its last end, as long as the loop lives. */
    public static void every(EventLoop loop, long delay, TimeUnit unit, Runnable task) {
        after(loop, delay, unit, () -> {
            try {
                task.run();
            } finally {
                if (!loop.isShuttingDown()) {
                    every(loop, delay, unit, task);
                }
            }
        });
    }
}
