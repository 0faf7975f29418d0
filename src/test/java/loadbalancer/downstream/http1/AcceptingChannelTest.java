package loadbalancer.downstream.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How many connections of those that wait are accepted in one pass over the sockets. */
@Timeout(60)
class AcceptingChannelTest {
    private static final int WAITING = 6;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Socket> clients = new ArrayList<>();
    private final BlockingQueue<Integer> passes = new LinkedBlockingQueue<>();
    private int accepted;

    private final class PassRecorder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object child) {
            accepted++;
            context.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            passes.add(accepted);
            context.fireChannelReadComplete();
        }
    }

    private Channel listen(int maxPerPass) throws InterruptedException {
        AcceptingChannel.Gatekeeper gatekeeper = new AcceptingChannel.Gatekeeper() {
            @Override
            public boolean mayAccept(int acceptedInPass) {
                return acceptedInPass < maxPerPass;
            }

            @Override
            public void acceptFailed(IOException cause) {
                throw new IllegalStateException(cause);
            }
        };
        return new ServerBootstrap()
                .group(group)
                .channelFactory(() -> AcceptingChannel.of(null, gatekeeper))
                .handler(new PassRecorder())
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    private void connectWhileLoopIsBusy(Channel listener) throws IOException, InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch busy = new CountDownLatch(1);
        group.next().execute(() -> {
            begun.countDown();
            try {
                busy.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        begun.await();
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        for (int i = 0; i < WAITING; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
        busy.countDown();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void allWaitingConnectionsAreAcceptedInOnePass() throws IOException, InterruptedException {
        connectWhileLoopIsBusy(listen(Integer.MAX_VALUE));
        assertEquals(WAITING, passes.poll(30, TimeUnit.SECONDS));
    }

    @Test
    void noMoreConnectionsThanAdmittedAreAcceptedInOnePass() throws IOException, InterruptedException {
        connectWhileLoopIsBusy(listen(2));
        assertEquals(2, passes.poll(30, TimeUnit.SECONDS));
        assertEquals(4, passes.poll(30, TimeUnit.SECONDS));
        assertEquals(6, passes.poll(30, TimeUnit.SECONDS));
    }
}
