package loadbalancer.downstream.http3;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.http3.Http3ClientConnectionHandler;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicSslContextBuilder;
import io.netty.pkitesting.X509Bundle;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.eventloop.MillisecondEventLoopGroup;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.server.Certificates;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that a shutdown notifies all clients even if connections close meanwhile.
 *
 * <p>Guards against a ConcurrentModificationException in {@code startDraining()}, seen in one run of the tests: the
 * listener iterated over the live set of its connections, the write of a GOAWAY closed a connection in the same call,
 * and its close listener removed the connection from the set. To reproduce this every time, a handler closes each
 * connection as the GOAWAY is written.
 */
@Timeout(60)
class Http3ListenerTest {
    private static final int CONNECTIONS = 20;
    private static final Http3ConnectionLimiter.Limits CONNECTION_LIMITS =
            new Http3ConnectionLimiter.Limits(50, 50, 20, 1 << 20, 0, TimeUnit.SECONDS.toNanos(20));

    private final X509Bundle certificate = Certificates.selfSigned();
    private final MillisecondEventLoopGroup serverLoops = new MillisecondEventLoopGroup();
    private final MillisecondEventLoopGroup clientLoops = new MillisecondEventLoopGroup();
    private final EventLoop loop = serverLoops.next();
    private final Http3Listener listener = new Http3Listener(
            loop,
            null,
            null,
            null,
            TlsIdentity.parse(certificate.getCertificatePathPEM(), certificate.getPrivateKeyPEM()),
            new Http3Listener.Limits(CONNECTION_LIMITS, 10, 20_000),
            line -> {});
    private final List<QuicChannel> clientConnections = new ArrayList<>();

    @AfterEach
    void closeLoops() {
        serverLoops.shutdownAsync();
        clientLoops.shutdownAsync();
    }

    private void connectAll() throws Exception {
        InetSocketAddress address = listener.listen(new InetSocketAddress("127.0.0.1", 0));
        var sslContext = QuicSslContextBuilder.forClient()
                .trustManager(certificate.getCertificatePath()[0])
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .build();
        Channel socket = new Bootstrap()
                .group(clientLoops)
                .channel(NioDatagramChannel.class)
                .handler(Http3.newQuicClientCodecBuilder()
                        .sslEngineProvider(q -> sslContext.newEngine(q.alloc(), "box.test", address.getPort()))
                        .maxIdleTimeout(20, TimeUnit.SECONDS)
                        .initialMaxData(1 << 20)
                        .build())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        for (int i = 0; i < CONNECTIONS; i++) {
            clientConnections.add(QuicChannel.newBootstrap(socket)
                    .handler(new Http3ClientConnectionHandler())
                    .remoteAddress(address)
                    .connect()
                    .get(20, TimeUnit.SECONDS));
        }
    }

    // The server opens its control stream when it has received the last handshake packet of the client.
    private void awaitControlStreams() throws Exception {
        while (loop.submit(() -> listener.connections().stream()
                        .anyMatch(connection -> Http3.getLocalControlStream(connection.channel()) == null))
                .get(20, TimeUnit.SECONDS)) {
            Thread.sleep(5);
        }
    }

    // HTTP/3 frames of the connection, such as GOAWAY, are written through this handler of the control stream.
    private static void closeWithNextWrite(Http3ClientConnection connection) {
        QuicChannel channel = connection.channel();
        Http3.getLocalControlStream(channel).pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                context.write(message, promise);
                channel.close();
            }
        });
    }

    private void runWhileConnectionsClose(Consumer<Http3Listener> action) throws Exception {
        connectAll();
        awaitControlStreams();
        loop.submit(() -> {
                    assertEquals(CONNECTIONS, listener.connections().size());
                    listener.connections().forEach(Http3ListenerTest::closeWithNextWrite);
                    action.accept(listener);
                })
                .get(20, TimeUnit.SECONDS);
        for (QuicChannel client : clientConnections) {
            assertTrue(client.closeFuture().await(20, TimeUnit.SECONDS), "a client was not notified of the shutdown");
        }
        assertEquals(
                0, loop.submit(() -> listener.connections().size()).get(20, TimeUnit.SECONDS), "connections left open");
    }

    @Test
    void connectionsThatCloseWhileTheDrainIsAnnouncedDoNotDisturbIt() throws Exception {
        runWhileConnectionsClose(Http3Listener::startDraining);
    }

    @Test
    void connectionsThatCloseWhileNewStreamsAreRejectedDoNotDisturbIt() throws Exception {
        runWhileConnectionsClose(Http3Listener::rejectNewStreams);
    }
}
