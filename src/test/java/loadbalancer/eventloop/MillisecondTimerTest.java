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

class MillisecondTimerTest {
    private static final int TIMERS = 100;
    private static final long APART = 4_300_000; // ns: a wait of whole milliseconds ends before it

    /** Turns of a loop for each of its timers, one after the other. */
    private static double turns(Function<SelectStrategyFactory, EventLoopGroup> groups) throws InterruptedException {
        AtomicInteger turns = new AtomicInteger();
        EventLoopGroup group = groups.apply(() -> (now, tasks) -> {
            turns.incrementAndGet();
            return tasks ? now.get() : SelectStrategy.SELECT;
        });
        try {
            CountDownLatch done = new CountDownLatch(TIMERS);
            next(group.next(), done);
            assertTrue(done.await(60, TimeUnit.SECONDS));
            return (double) turns.get() / TIMERS;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private static void next(EventLoop loop, CountDownLatch left) {
        loop.schedule(
                () -> {
                    left.countDown();
                    if (left.getCount() > 0) {
                        next(loop, left);
                    }
                },
                APART,
                TimeUnit.NANOSECONDS);
    }

    @Test
    void aLoopSleepsUntilItsTimersAreDue() throws InterruptedException {
        double ours = turns(MillisecondTimer::new);
        double plain = turns(strategy ->
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), strategy)));
        assertTrue(ours < 4, ours + " turns a timer, Netty's own " + plain);
        assertTrue(plain > 2 * ours, "without need: Netty's own takes " + plain + ", this one " + ours);
    }

    /** Asked for while tasks run, as at the end of a balancer's last wait. */
    @Test
    void itsEndClosesTheConnections() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            MillisecondTimer group = new MillisecondTimer();
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(server.getLocalSocketAddress())
                    .sync();
            try (Socket peer = server.accept()) {
                peer.setSoTimeout(20_000);
                group.next().execute(group::end);
                assertEquals(-1, peer.getInputStream().read());
            }
        }
    }
}
