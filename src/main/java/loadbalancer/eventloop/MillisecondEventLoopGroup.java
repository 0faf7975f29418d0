package loadbalancer.eventloop;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * A group of one event loop whose wait for the next timer is rounded up to whole milliseconds, and whose scheduled
 * tasks are reported where they throw; a repeated task is repeated all the same.
 *
 * <p>Netty's selector waits whole milliseconds and rounds to the nearest. Where it wakes up to half a millisecond early
 * it polls its sockets without waiting until the timer is due: hundreds of iterations without any work, on a core that
 * other processes share. Here timers run up to a millisecond late instead.
 */
public final class MillisecondEventLoopGroup extends MultiThreadIoEventLoopGroup {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 100;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    /** A loop with Netty's default select strategy, where nobody reads of failed tasks. */
    public MillisecondEventLoopGroup() {
        this(new TaskFailures(line -> {}));
    }

    /** A loop with Netty's default select strategy, whose scheduled tasks are reported there where they throw. */
    public MillisecondEventLoopGroup(TaskFailures failures) {
        this(DefaultSelectStrategyFactory.INSTANCE, failures);
    }

    /** A loop with a select strategy of its own, by which tests count iterations. */
    MillisecondEventLoopGroup(SelectStrategyFactory strategy) {
        this(strategy, new TaskFailures(line -> {}));
    }

    private MillisecondEventLoopGroup(SelectStrategyFactory strategy, TaskFailures failures) {
        super(1, (Executor) null, NioIoHandler.newFactory(SelectorProvider.provider(), strategy), failures);
    }

    /**
     * Shuts the loop down, closes its channels, and does not wait for that; from any thread. Netty closes channels in
     * the iteration behind the one in which the shutdown is requested; without a quiet period there is no such
     * iteration where it is requested while tasks run, and the connections would stay open.
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
            super(group, executor, handler);
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

        // Its future fails as well.
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
