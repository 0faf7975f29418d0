package loadbalancer.eventloop;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.RejectedExecutionHandlers;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * A group with one event loop that rounds its wait for the next timer up to whole milliseconds, and that logs
 * exceptions of scheduled tasks. A periodic task that throws keeps running periodically.
 *
 * <p>Netty's selector waits for whole milliseconds and rounds to the nearest one. If it wakes up early, by up to half a
 * millisecond, it polls its sockets without waiting until the timer is due: hundreds of iterations that do no work, on
 * a core that other processes share. With this group timers run up to one millisecond late instead.
 */
public final class MillisecondEventLoopGroup extends MultiThreadIoEventLoopGroup {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    /** Time for which tasks that add further tasks run before the sockets are polled again. */
    private static final long MAX_TASK_MILLIS = 20;

    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 100;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    /** Creates a loop with Netty's default select strategy that does not log failed tasks. */
    public MillisecondEventLoopGroup() {
        this(new TaskFailures(line -> {}));
    }

    /** Creates a loop with Netty's default select strategy that reports exceptions of tasks to {@code failures}. */
    public MillisecondEventLoopGroup(TaskFailures failures) {
        this(DefaultSelectStrategyFactory.INSTANCE, failures);
    }

    /** Creates a loop with the given select strategy; tests use the strategy to count iterations. */
    MillisecondEventLoopGroup(SelectStrategyFactory strategy) {
        this(strategy, new TaskFailures(line -> {}));
    }

    private MillisecondEventLoopGroup(SelectStrategyFactory strategy, TaskFailures failures) {
        super(1, (Executor) null, NioIoHandler.newFactory(SelectorProvider.provider(), strategy), failures);
    }

    /**
     * Shuts the loop down and closes its channels, without waiting for either. May be called from any thread.
     *
     * <p>Netty closes channels in the iteration after the one in which the shutdown is requested. Without a quiet
     * period a shutdown that is requested while tasks run has no such iteration, and the connections would stay open.
     */
    public void shutdownAsync() {
        shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handler, Object... arguments) {
        return new Loop(this, executor, handler, (TaskFailures) arguments[0]);
    }

    private static final class Loop extends SingleThreadIoEventLoop {
        private final TaskFailures failures;

        Loop(MillisecondEventLoopGroup group, Executor executor, IoHandlerFactory handler, TaskFailures failures) {
            super(group, executor, handler, Integer.MAX_VALUE, RejectedExecutionHandlers.reject(), MAX_TASK_MILLIS);
            this.failures = failures;
        }

        @Override
        protected long delayNanos(long currentTimeNanos) {
            long delay = super.delayNanos(currentTimeNanos);
            if (delay <= 0) {
                return delay;
            }
            long roundUpNanos = (NANOS_PER_MILLISECOND - delay % NANOS_PER_MILLISECOND) % NANOS_PER_MILLISECOND;
            return delay + roundUpNanos;
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return super.schedule(() -> runOnce(task), delay, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long initialDelay, long period, TimeUnit unit) {
            return super.scheduleAtFixedRate(() -> failures.run(task), initialDelay, period, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long initialDelay, long delay, TimeUnit unit) {
            return super.scheduleWithFixedDelay(() -> failures.run(task), initialDelay, delay, unit);
        }

        // Rethrows, so that the task's future fails as well.
        private void runOnce(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                failures.record(e);
                throw e;
            }
        }
    }
}
