package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

class MillisecondEventLoopGroupTest {
    private static final int TIMER_COUNT = 100;
    private static final long INTERVAL_NANOS = 4_300_000; // no whole milliseconds: a rounded wait ends early

    /** Runs timers one after the other on a new loop; returns the number of loop iterations per timer. */
    private static double iterationsPerTimer(Function<SelectStrategyFactory, EventLoopGroup> groupFactory)
            throws InterruptedException {
        AtomicInteger iterations = new AtomicInteger();
        EventLoopGroup group = groupFactory.apply(() -> (now, tasks) -> {
            iterations.incrementAndGet();
            return tasks ? now.get() : SelectStrategy.SELECT;
        });
        try {
            CountDownLatch done = new CountDownLatch(TIMER_COUNT);
            scheduleNext(group.next(), done);
            assertTrue(done.await(60, TimeUnit.SECONDS));
            return (double) iterations.get() / TIMER_COUNT;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private static void scheduleNext(EventLoop loop, CountDownLatch remaining) {
        loop.schedule(
                () -> {
                    remaining.countDown();
                    if (remaining.getCount() > 0) {
                        scheduleNext(loop, remaining);
                    }
                },
                INTERVAL_NANOS,
                TimeUnit.NANOSECONDS);
    }

    @Test
    void theLoopSleepsUntilItsTimersAreDue() throws InterruptedException {
        double millisecondIterations = iterationsPerTimer(MillisecondEventLoopGroup::new);
        double defaultIterations = iterationsPerTimer(strategy ->
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), strategy)));
        assertTrue(
                millisecondIterations < 4,
                millisecondIterations + " iterations per timer, Netty's default group " + defaultIterations);
        assertTrue(
                defaultIterations > 2 * millisecondIterations,
                "too few iterations saved: Netty's default group takes " + defaultIterations + " and this group "
                        + millisecondIterations);
    }

    /** The shutdown is requested by a task on the loop, as at the end of a balancer's shutdown. */
    @Test
    void shutdownClosesTheConnections() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            MillisecondEventLoopGroup group = new MillisecondEventLoopGroup();
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(server.getLocalSocketAddress())
                    .sync();
            try (Socket peer = server.accept()) {
                peer.setSoTimeout(20_000);
                group.next().execute(group::shutdownAsync);
                assertEquals(-1, peer.getInputStream().read());
            }
        }
    }
}
