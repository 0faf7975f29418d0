package loadbalancer.server;

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

/** A client over HTTP/3 that does as it is told, also what no client should. */
final class Http3TestClient implements Closeable {
    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** What came of one request: one of status and reset; all answers counted. */
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

        /** What tells of an end without an answer. */
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
        udp = socket(to, trust);
        quic = dial(to).get(20, TimeUnit.SECONDS);
    }

    /** Begins so many handshakes from one socket, which is returned, and waits for none. */
    static Channel dialOnly(InetSocketAddress to, X509Certificate trust, int connections) throws InterruptedException {
        Channel socket = socket(to, trust);
        for (int i = 0; i < connections; i++) {
            QuicChannel.newBootstrap(socket)
                    .handler(new Http3ClientConnectionHandler())
                    .remoteAddress(to)
                    .connect();
        }
        return socket;
    }

    private static Channel socket(InetSocketAddress to, X509Certificate trust) throws InterruptedException {
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
                        .initialMaxStreamDataBidirectionalLocal(1 << 17)
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
                                        new Http3ClientConnectionHandler(new Control(), null, null, null, true),
                                        new Ends());
                    }
                })
                .remoteAddress(to)
                .connect();
    }

    private final class Control extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            if (frame instanceof Http3GoAwayFrame going) {
                control.add("goaway " + going.id());
            }
            ReferenceCountUtil.release(frame);
        }
    }

    private final class Ends extends ChannelInboundHandlerAdapter {
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

    /** A request as told; {@code whole}: with the end of its stream. */
    Got send(Http3Headers head, String body, boolean whole) throws Exception {
        Got got = new Got();
        QuicStreamChannel stream = open(got);
        if (whole) {
            FinalFrame end = new FinalFrame();
            stream.pipeline().addFirst(end);
            end.last();
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
            number(fields, 0x20, 3, field.getKey().length());
            fields.writeCharSequence(field.getKey(), StandardCharsets.ISO_8859_1);
            number(fields, 0, 7, field.getValue().length());
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

    // An integer with a prefix (RFC 7541, section 5.1).
    private static void number(ByteBuf to, int flags, int bits, int value) {
        int most = (1 << bits) - 1;
        if (value < most) {
            to.writeByte(flags | value);
            return;
        }
        to.writeByte(flags | most);
        int rest = value - most;
        while (rest >= 128) {
            to.writeByte(rest % 128 + 128);
            rest /= 128;
        }
        to.writeByte(rest);
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

    /** The next event of the connection that begins so; others are passed over. */
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
