package loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The HTTP/1.1 server for operators. Each connection carries one request and is closed after the response. Connections
 * of operators are few and trusted, but may hang: a new connection beyond the limit closes the oldest one.
 */
public final class AdminServer {
    private static final int MAX_CONNECTIONS = 16;
    private static final int ACCEPT_BACKLOG = 64;
    private static final long REQUEST_TIMEOUT_MILLIS = 5_000; // for the request and the response
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000; // for the client to read the response
    private static final int MAX_REQUEST_LINE_BYTES = 1_024;
    private static final int MAX_HEADER_BYTES = 4_096;
    private static final int MAX_BODY_BYTES = 4_096; // the body is ignored
    private static final int MAX_READ_BYTES = 4_096;

    private final EventLoop loop;
    private final AdminOperations operations;
    private final Set<Channel> connections = new LinkedHashSet<>(); // oldest first
    private Channel listener;

    /** Creates a server that does not listen yet; {@code operations} is called on {@code loop}. */
    public AdminServer(EventLoop loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /**
     * Starts to listen; must not be called on the event loop.
     *
     * @return the bound address
     * @throws IOException if the calling thread is interrupted; the cause of a failed bind is thrown unchanged
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        try {
            listener = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
                    .childHandler(new ChannelInitializer<NioSocketChannel>() {
                        @Override
                        protected void initChannel(NioSocketChannel channel) {
                            connectionAccepted(channel);
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel();
            return (InetSocketAddress) listener.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding the management listener");
        }
    }

    // A short read of each connection in a pass: a call is short.
    private static FixedRecvByteBufAllocator receiveBuffers() {
        FixedRecvByteBufAllocator buffers = new FixedRecvByteBufAllocator(MAX_READ_BYTES);
        buffers.maxMessagesPerRead(1);
        return buffers;
    }

    /** Closes the listener; open connections are not affected. */
    public void close() {
        listener.close();
    }

    private void connectionAccepted(NioSocketChannel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            Channel oldest = connections.iterator().next();
            connections.remove(oldest);
            oldest.close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        loop.schedule(() -> channel.close(), REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)),
                        new HttpResponseEncoder(),
                        new RequestHandler(channel));
    }

    /** Handles the request of one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final NioSocketChannel channel;
        private HttpRequest head;
        private int bodyBytes;
        private boolean responded;

        RequestHandler(NioSocketChannel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (responded) {
                return; // only the first request is answered
            }
            if (!part.decoderResult().isSuccess()) {
                respond(malformedResponse(part.decoderResult().cause()));
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
            }
            if (part instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                if (bodyBytes > MAX_BODY_BYTES) {
                    respond(AdminRoutes.Response.of(413, "a call has no such body"));
                } else if (part instanceof LastHttpContent) {
                    respond(AdminRoutes.respond(head.method().name(), head.uri(), operations));
                }
            }
        }

        private AdminRoutes.Response malformedResponse(Throwable cause) {
            return cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException
                    ? AdminRoutes.Response.of(431, "too long")
                    : AdminRoutes.Response.of(400, "not a call in HTTP/1.1");
        }

        private void respond(AdminRoutes.Response response) {
            responded = true;
            channel.pipeline().replace(HttpRequestDecoder.class, null, new InputDiscarder());
            DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.copiedBuffer(response.text() + "\n", StandardCharsets.UTF_8));
            message.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
                    .set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (response.allow() != null) {
                message.headers().set(HttpHeaderNames.ALLOW, response.allow());
            }
            // An immediate close with unread input would reset the connection before the client reads the response.
            channel.writeAndFlush(message)
                    .addListener(
                            written -> channel.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE));
            loop.schedule(() -> channel.close(), CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }

    /** Discards what a caller sends behind its request, without decoding it. */
    private static final class InputDiscarder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }
}
