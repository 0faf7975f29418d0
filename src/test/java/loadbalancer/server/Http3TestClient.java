package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import io.netty.handler.codec.http3.DefaultHttp3Headers;
import io.netty.handler.codec.http3.DefaultHttp3HeadersFrame;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.http3.Http3ClientConnectionHandler;
import io.netty.handler.codec.http3.Http3DataFrame;
import io.netty.handler.codec.http3.Http3GoAwayFrame;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.http3.Http3HeadersFrame;
import io.netty.handler.codec.http3.Http3RequestStreamInboundHandler;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicConnectionCloseEvent;
import io.netty.handler.codec.quic.QuicSslContextBuilder;
import io.netty.handler.codec.quic.QuicStreamChannel;
import io.netty.handler.codec.quic.QuicStreamResetException;
import io.netty.handler.codec.quic.QuicStreamType;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.cert.X509Certificate;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.codec.FinalFrame;

/** A client over HTTP/3 that does what a test says, also what no client should do. */
final class Http3TestClient implements Closeable {
    private static final long STREAM_WINDOW_BYTES = 1 << 17;
    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** The result of one request: a response or a reset; all response heads are counted. */
    static final class Got {
        final CompletableFuture<String> ended = new CompletableFuture<>();
        final StringBuilder body = new StringBuilder();
        volatile Http3Headers headers;
        volatile int heads;
        QuicStreamChannel stream;

        void failed(Throwable cause) {
            ended.complete(
                    cause instanceof QuicStreamResetException reset
                            ? "reset 0x" + Long.toHexString(reset.applicationProtocolCode())
                            : cause.toString());
        }

        /** Records an end without a response. */
        ChannelInboundHandlerAdapter ends() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object part) {
                    ReferenceCountUtil.release(part);
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    failed(cause);
                }

                @Override
                public void channelInactive(ChannelHandlerContext context) {
                    ended.complete("closed");
                }
            };
        }

        /** {@code "200 body"}, {@code "reset 0x10b"} or {@code "closed"}. */
        String end() throws Exception {
            return ended.get(20, TimeUnit.SECONDS);
        }
    }

    final BlockingQueue<String> control = new LinkedBlockingQueue<>();
    final Channel udp;
    final QuicChannel quic;

    Http3TestClient(InetSocketAddress to, X509Certificate trust) throws Exception {
        this(to, trust, STREAM_WINDOW_BYTES);
    }

    /** {@code streamWindowBytes}: what the server may send on a stream before the client reads it. */
    Http3TestClient(InetSocketAddress to, X509Certificate trust, long streamWindowBytes) throws Exception {
        udp = socket(to, trust, streamWindowBytes);
        quic = dial(to).get(20, TimeUnit.SECONDS);
    }

    /** Begins so many handshakes from one socket, which is returned, and awaits none. */
    static Channel dialOnly(InetSocketAddress to, X509Certificate trust, int connections) throws InterruptedException {
        Channel socket = socket(to, trust, STREAM_WINDOW_BYTES);
        for (int i = 0; i < connections; i++) {
            QuicChannel.newBootstrap(socket)
                    .handler(new Http3ClientConnectionHandler())
                    .remoteAddress(to)
                    .connect();
        }
        return socket;
    }

    private static Channel socket(InetSocketAddress to, X509Certificate trust, long streamWindowBytes)
            throws InterruptedException {
        var context = QuicSslContextBuilder.forClient()
                .trustManager(trust)
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .build();
        return new Bootstrap()
                .group(GROUP)
                .channel(NioDatagramChannel.class)
                .handler(Http3.newQuicClientCodecBuilder()
                        .sslEngineProvider(q -> context.newEngine(q.alloc(), "box.test", to.getPort()))
                        .maxIdleTimeout(20, TimeUnit.SECONDS)
                        .initialMaxData(1 << 20)
                        .initialMaxStreamDataBidirectionalLocal(streamWindowBytes)
                        .activeMigration(true)
                        .activeConnectionIdLimit(4)
                        .build())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
    }

    private Future<QuicChannel> dial(InetSocketAddress to) {
        return QuicChannel.newBootstrap(udp)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void handlerAdded(ChannelHandlerContext context) {
                        context.pipeline()
                                .addLast(
                                        new Http3ClientConnectionHandler(
                                                new ControlStreamRecorder(), null, null, null, true),
                                        new CloseRecorder());
                    }
                })
                .remoteAddress(to)
                .connect();
    }

    private final class ControlStreamRecorder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            if (frame instanceof Http3GoAwayFrame goAway) {
                control.add("goaway " + goAway.id());
            }
            ReferenceCountUtil.release(frame);
        }
    }

    private final class CloseRecorder extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof QuicConnectionCloseEvent close) {
                control.add("close 0x" + Integer.toHexString(close.error()));
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            control.add("inactive");
        }
    }

    static Http3Headers head(String method, String kind, String id) {
        Http3Headers head = new DefaultHttp3Headers(false);
        head.method(method).scheme("https").authority("backend.local").path("/api/k1");
        head.add("req-id", id).add("req-kind", kind).add("req-deadline-ms", "20000");
        return head;
    }

    Got get(String id) throws Exception {
        return send(head("GET", "read", id), null, true);
    }

    Got book(String id) throws Exception {
        return send(head("POST", "book", id).add("content-length", "4"), "seat", true);
    }

    /** Sends a request; {@code complete}: with the end of its stream. */
    Got send(Http3Headers head, String body, boolean complete) throws Exception {
        Got got = new Got();
        QuicStreamChannel stream = open(got);
        if (complete) {
            FinalFrame finalFrame = new FinalFrame();
            stream.pipeline().addFirst(finalFrame);
            finalFrame.last();
        }
        stream.write(new DefaultHttp3HeadersFrame(head));
        if (body != null) {
            stream.write(new DefaultHttp3DataFrame(Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1)));
        }
        stream.flush();
        return got;
    }

    /**
     * A request written by hand, past the codec: a HEADERS frame (RFC 9114, section 7.2.2) with its fields as
     * literals (RFC 9204, section 4.5.6), and the end of the stream.
     */
    Got raw(Http3Headers head) throws Exception {
        ByteBuf fields = Unpooled.buffer().writeZero(2);
        head.forEach(field -> {
            writePrefixedInteger(fields, 0x20, 3, field.getKey().length());
            fields.writeCharSequence(field.getKey(), StandardCharsets.ISO_8859_1);
            writePrefixedInteger(fields, 0, 7, field.getValue().length());
            fields.writeCharSequence(field.getValue(), StandardCharsets.ISO_8859_1);
        });
        ByteBuf frame = Unpooled.buffer()
                .writeByte(1)
                .writeShort(0x4000 | fields.readableBytes())
                .writeBytes(fields);
        Got got = new Got();
        QuicStreamChannel stream = quic.createStream(
                        QuicStreamType.BIDIRECTIONAL, new ChannelInitializer<QuicStreamChannel>() {
                            @Override
                            protected void initChannel(QuicStreamChannel channel) {
                                channel.pipeline().addLast(got.ends());
                            }
                        })
                .get(20, TimeUnit.SECONDS);
        got.stream = stream;
        stream.writeAndFlush(frame).addListener(QuicStreamChannel.SHUTDOWN_OUTPUT);
        return got;
    }

    // RFC 7541, section 5.1, to which RFC 9204 refers.
    private static void writePrefixedInteger(ByteBuf out, int flags, int prefixBits, int value) {
        int maxInPrefix = (1 << prefixBits) - 1;
        if (value < maxInPrefix) {
            out.writeByte(flags | value);
            return;
        }
        out.writeByte(flags | maxInPrefix);
        int rest = value - maxInPrefix;
        while (rest >= 128) {
            out.writeByte(rest % 128 + 128);
            rest /= 128;
        }
        out.writeByte(rest);
    }

    QuicStreamChannel open(Got got) throws Exception {
        QuicStreamChannel stream = Http3.newRequestStream(quic, new Http3RequestStreamInboundHandler() {
                    @Override
                    protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
                        got.headers = frame.headers();
                        got.heads++;
                    }

                    @Override
                    protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
                        got.body.append(frame.content().toString(StandardCharsets.ISO_8859_1));
                        frame.release();
                    }

                    @Override
                    protected void channelInputClosed(ChannelHandlerContext context) {
                        if (got.headers != null) {
                            got.ended.complete(got.headers.status() + " "
                                    + got.body.toString().strip());
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        context.fireExceptionCaught(cause);
                    }

                    @Override
                    public void handlerAdded(ChannelHandlerContext context) {
                        context.pipeline().addLast(got.ends());
                    }
                })
                .get(20, TimeUnit.SECONDS);
        got.stream = stream;
        return stream;
    }

    /** The connection is still usable, and nothing of another request reached the upstream before this one. */
    void assertNextIsServed(ScriptedUpstream upstream) throws Exception {
        Got next = get("next");
        ScriptedUpstream.Got forwarded = upstream.next();
        assertEquals("next", forwarded.header("req-id"));
        forwarded.answer(200, "", "ok");
        assertEquals("200 ok", next.end());
    }

    /** The next event of the connection with this prefix; others are skipped. */
    String event(String prefix) throws InterruptedException {
        String event = control.poll(20, TimeUnit.SECONDS);
        while (event != null && !event.startsWith(prefix)) {
            event = control.poll(20, TimeUnit.SECONDS);
        }
        return event;
    }

    @Override
    public void close() {
        quic.close().awaitUninterruptibly(5, TimeUnit.SECONDS);
        udp.close().awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
}
