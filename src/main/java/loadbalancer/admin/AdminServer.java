package loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Where operators call: HTTP/1.1, one call to a connection, which ends with its answer. Callers are few and
 * trusted, but may be stuck: one that comes when all places are taken ends whoever waits longest.
 */
public final class AdminServer {
    private static final int CALLERS = 16;
    private static final int BACKLOG = 64;
    private static final long CALL_MS = 5_000; // for a whole call
    private static final long LEAVE_MS = 1_000; // for the answer to be read
    private static final int LINE_MOST = 1_024;
    private static final int HEAD_MOST = 4_096;
    private static final int BODY_MOST = 4_096; // nothing in it is asked for

    private final EventLoop loop;
    private final AdminOperations operations;
    private final Set<Channel> callers = new LinkedHashSet<>(); // the oldest first
    private Channel listener;

    public AdminServer(EventLoop loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /**
     * Listens; called from another thread than the loop's, and returns the address in use.
     *
     * @throws IOException where the address can't be had
     */
    public InetSocketAddress listen(InetSocketAddress at) throws IOException {
        try {
            listener = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<NioSocketChannel>() {
                        @Override
                        protected void initChannel(NioSocketChannel channel) {
                            opened(channel);
                        }
                    })
                    .bind(at)
                    .sync()
                    .channel();
            return (InetSocketAddress) listener.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    /** Takes no more calls. */
    public void close() {
        listener.close();
    }

    private void opened(NioSocketChannel channel) {
        if (callers.size() >= CALLERS) {
            Channel eldest = callers.iterator().next();
            callers.remove(eldest);
            eldest.close();
        }
        callers.add(channel);
        channel.closeFuture().addListener(closed -> callers.remove(channel));
        loop.schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(new HttpDecoderConfig()
                                .setMaxInitialLineLength(LINE_MOST)
                                .setMaxHeaderSize(HEAD_MOST)),
                        new HttpResponseEncoder(),
                        new Caller(channel));
    }

    /** One caller and its call. */
    private final class Caller extends SimpleChannelInboundHandler<HttpObject> {
        private final NioSocketChannel channel;
        private HttpRequest head;
        private int length;
        private boolean answered;

        Caller(NioSocketChannel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (answered) {
                return; // one call to a connection
            }
            if (!part.decoderResult().isSuccess()) {
                Throwable cause = part.decoderResult().cause();
                if (cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException) {
                    answer(new AdminRoutes.Answer(431, "too long", null));
                } else {
                    answer(new AdminRoutes.Answer(400, "not a call in HTTP/1.1", null));
                }
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
            }
            if (part instanceof HttpContent content) {
                length += content.content().readableBytes();
                if (length > BODY_MOST) {
                    answer(new AdminRoutes.Answer(413, "a call has no such body", null));
                } else if (part instanceof LastHttpContent) {
                    answer(AdminRoutes.respond(head.method().name(), head.uri(), operations));
                }
            }
        }

        private void answer(AdminRoutes.Answer answer) {
            answered = true;
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.copiedBuffer(answer.text() + "\n", StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (answer.allow() != null) {
                response.headers().set(HttpHeaderNames.ALLOW, answer.allow());
            }
            // Closed at once, with bytes unread, the connection would be reset before the answer is read.
            channel.writeAndFlush(response)
                    .addListener(
                            written -> channel.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE));
            loop.schedule(() -> channel.close(), LEAVE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
