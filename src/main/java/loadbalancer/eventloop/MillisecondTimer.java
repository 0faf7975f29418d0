package loadbalancer.eventloop;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * A group of one event loop whose wait for the next timer is rounded up to whole milliseconds.
 *
 * <p>Netty's selector waits whole milliseconds and rounds to the nearest. Where it wakes up to half a millisecond early
 * it polls its sockets without waiting until the timer is due: hundreds of iterations without any work, on a core that
 * other processes share. Here timers run up to a millisecond late instead.
 */
public final class MillisecondTimer extends MultiThreadIoEventLoopGroup {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 100;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    /** A loop with Netty's default select strategy. */
    public MillisecondTimer() {
        this(DefaultSelectStrategyFactory.INSTANCE);
    }

    /** A loop with a select strategy of its own, by which tests count iterations. */
    MillisecondTimer(SelectStrategyFactory strategy) {
        super(1, NioIoHandler.newFactory(SelectorProvider.provider(), strategy));
    }

    /**
     * Shuts the loop down, closes its channels, and does not wait for that; from any thread. Netty closes channels in
     * the iteration behind the one in which the shutdown is requested; without a quiet period there is no such
     * iteration where it is requested while tasks run, and the connections would stay open.
     */
    public void end() {
        shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handler, Object... unused) {
        return new SingleThreadIoEventLoop(this, executor, handler) {
            @Override
            protected long delayNanos(long now) {
                long delay = super.delayNanos(now);
                if (delay <= 0) {
                    return delay;
                }
                long untilWhole = (NANOS_PER_MILLISECOND - delay % NANOS_PER_MILLISECOND) % NANOS_PER_MILLISECOND;
                return delay + untilWhole;
            }
        };
    }
}
