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
 * One event loop that sleeps until its next timer is due. Netty's selector waits whole milliseconds, rounds
 * to the nearest, and where it wakes up to half of one too early it looks at its sockets again and again
 * until the timer is due: hundreds of turns that do nothing, on the core that other balancers share. Here the
 * wait is rounded up, and timers run up to a millisecond late.
 */
public final class MillisecondTimer extends MultiThreadIoEventLoopGroup {
    private static final long MS = 1_000_000;
    private static final long QUIET_MS = 100;
    private static final long END_MOST_MS = 1_000;

    public MillisecondTimer() {
        this(DefaultSelectStrategyFactory.INSTANCE);
    }

    /** With a strategy of its own, as tests that count turns have. */
    MillisecondTimer(SelectStrategyFactory strategy) {
        super(1, NioIoHandler.newFactory(SelectorProvider.provider(), strategy));
    }

    /**
     * Ends the loop and all its channels, and does not wait for that; from any thread. Netty closes channels
     * in the turn behind the one in which the end is asked for, and without a time of quiet there is no such
     * turn where it is asked for while tasks run: the connections stayed open.
     */
    public void end() {
        shutdownGracefully(QUIET_MS, END_MOST_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handler, Object... none) {
        return new SingleThreadIoEventLoop(this, executor, handler) {
            @Override
            protected long delayNanos(long now) {
                long left = super.delayNanos(now);
                return left <= 0 ? left : left + (MS - left % MS) % MS;
            }
        };
    }
}
