package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Clock;

/** The HTTP/1.1 listener and connections of a {@link StandInServer}. On the server's event loop. */
final class Http1StandInListener {
    private static final int BACKLOG = 1024;
    private static final int MAX_BODY_BYTES = 1 << 17;
    private static final long PORT_RELEASE_MILLIS = 10; // the selector holds the port of a closed listener for a pass

    private final EventLoop loop;
    private final Clock clock;
    private final StandInServer server;
    private final Set<Connection> connections = new HashSet<>();
    private Channel listener;
    private FullListener fullListener; // null where connections are accepted
    private boolean delaying;
    private InetSocketAddress address;
    private long acceptedConnections;

    Http1StandInListener(EventLoop loop, Clock clock, StandInServer server) {
        this.loop = loop;
        this.clock = clock;
        this.server = server;
    }

    /** Where it listens; null before the first bind. */
    InetSocketAddress address() {
        return address;
    }

    /** Connections accepted so far. */
    long acceptedConnections() {
        return acceptedConnections;
    }

    boolean isOpen() {
        return listener != null && listener.isOpen();
    }

    /** Listens, at the address that it had before if it had one. May be called from any thread. */
    ChannelFuture bind() {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address == null ? new InetSocketAddress(InetAddress.getLoopbackAddress(), 0) : address)
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        listener = bound.channel();
                        address = (InetSocketAddress) listener.localAddress();
                    }
                });
    }

    private void accept(Channel channel) {
        acceptedConnections++;
        Connection connection = new Connection(channel);
        connections.add(connection);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        connection.arrivalRecorder(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        connection);
    }

    /**
     * Listens with a full queue of connections, which accepts none, or as before. Connections that are made meanwhile
     * are established when the client's system tries again. A listener that is closed stays as it is.
     */
    void delayConnections(boolean on) {
        if (on && isOpen()) {
            closeListener();
            delaying = true;
            loop.schedule(this::openFullListener, PORT_RELEASE_MILLIS, TimeUnit.MILLISECONDS);
        } else if (!on && delaying) {
            closeFullListener();
            bind();
        }
    }

    private void openFullListener() {
        if (delaying) {
            fullListener = FullListener.open(address);
        }
    }

    private void closeFullListener() {
        delaying = false;
        if (fullListener != null) {
            fullListener.close();
            fullListener = null;
        }
    }

    /** Stops listening; connections stay open. */
    void closeListener() {
        closeFullListener();
        if (listener != null) {
            listener.close();
        }
    }

    /** Resets all connections. */
    void resetConnections() {
        for (Connection connection : List.copyOf(connections)) {
            connection.reset();
        }
    }

    /** One connection, which serves one request at a time. */
    private final class Connection extends ChannelInboundHandlerAdapter implements ServerExchange {
        private final Channel channel;
        private long firstByteAt;

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** Notes when the first bytes of a request arrived, which is the time that counts for a drain. */
        ChannelInboundHandlerAdapter arrivalRecorder() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object message) {
                    if (message instanceof HttpRequest) {
                        firstByteAt = clock.now();
                    }
                    context.fireChannelRead(message);
                }
            };
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (message instanceof FullHttpRequest request) {
                    server.handle(
                            this,
                            request.headers().get("Req-Id"),
                            request.uri(),
                            String.valueOf(request.headers().get("Idempotency-Key")),
                            firstByteAt);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void respond(int status, String text, Execution execution) {
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, text.length())
                    .set("Srv-Load", "TEXT inflight=" + server.inFlight());
            if (execution == Execution.DECLINED) {
                response.headers().set("Srv-Declined", "1");
            }
            channel.writeAndFlush(response);
        }

        @Override
        public void respondAtLength(String requestId) {
            LongResponse kind = LongResponse.of(requestId);
            if (kind == null) {
                respond(200, requestId, Execution.UNSPECIFIED);
                return;
            }
            writePiece(kind, kind.message(requestId), kind.pieceMillis(requestId), 0);
        }

        // Encoded already, and so passed by the codec: a handler for each small chunk would occupy the loop.
        private void writePiece(LongResponse kind, byte[] message, int pauseMillis, int piece) {
            if (!channel.isOpen()) {
                return;
            }
            int begin = (int) ((long) message.length * piece / kind.pieces());
            int end = (int) ((long) message.length * (piece + 1) / kind.pieces());
            ChannelHandlerContext socket = channel.pipeline().firstContext();
            ChannelFuture written = socket.writeAndFlush(Unpooled.wrappedBuffer(message, begin, end - begin));
            if (piece + 1 < kind.pieces()) {
                loop.schedule(
                        () -> writePiece(kind, message, pauseMillis, piece + 1), pauseMillis, TimeUnit.MILLISECONDS);
            } else if (kind.endsWithConnection()) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void reset() {
            if (channel.isOpen()) { // the peer may have closed it, and channelInactive not have been called yet
                ((SocketChannelConfig) channel.config()).setSoLinger(0);
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            server.clientClosed(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
