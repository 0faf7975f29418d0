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

/** Tests how many waiting connections are accepted in one event loop iteration. */
@Timeout(60)
class AcceptingChannelTest {
    private static final int WAITING_CONNECTIONS = 6;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Socket> clients = new ArrayList<>();
    private final BlockingQueue<Integer> acceptedAtPassEnd = new LinkedBlockingQueue<>();
    private int acceptedConnections;

    private final class PassRecorder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object child) {
            acceptedConnections++;
            context.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            acceptedAtPassEnd.add(acceptedConnections);
            context.fireChannelReadComplete();
        }
    }

    private Channel listen(int maxAcceptsPerPass) throws InterruptedException {
        AcceptingChannel.AcceptController acceptController = new AcceptingChannel.AcceptController() {
            @Override
            public boolean mayAccept(int acceptedInPass) {
                return acceptedInPass < maxAcceptsPerPass;
            }

            @Override
            public void acceptFailed(IOException cause) {
                throw new IllegalStateException(cause);
            }
        };
        return new ServerBootstrap()
                .group(group)
                .channelFactory(() -> AcceptingChannel.of(null, acceptController))
                .handler(new PassRecorder())
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    private void connectWhileLoopIsBusy(Channel listener) throws IOException, InterruptedException {
        CountDownLatch taskStarted = new CountDownLatch(1);
        CountDownLatch taskReleased = new CountDownLatch(1);
        group.next().execute(() -> {
            taskStarted.countDown();
            try {
                taskReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        taskStarted.await();
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        for (int i = 0; i < WAITING_CONNECTIONS; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
        taskReleased.countDown();
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
        assertEquals(WAITING_CONNECTIONS, acceptedAtPassEnd.poll(30, TimeUnit.SECONDS));
    }

    @Test
    void noMoreConnectionsThanAdmittedAreAcceptedInOnePass() throws IOException, InterruptedException {
        connectWhileLoopIsBusy(listen(2));
        assertEquals(2, acceptedAtPassEnd.poll(30, TimeUnit.SECONDS));
        assertEquals(4, acceptedAtPassEnd.poll(30, TimeUnit.SECONDS));
        assertEquals(6, acceptedAtPassEnd.poll(30, TimeUnit.SECONDS));
    }
}
