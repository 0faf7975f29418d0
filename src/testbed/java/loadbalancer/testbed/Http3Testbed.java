package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import io.netty.handler.codec.http3.DefaultHttp3Headers;
import io.netty.handler.codec.http3.DefaultHttp3HeadersFrame;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.http3.Http3DataFrame;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.http3.Http3HeadersFrame;
import io.netty.handler.codec.http3.Http3RequestStreamInboundHandler;
import io.netty.handler.codec.http3.Http3ServerConnectionHandler;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicSslContext;
import io.netty.handler.codec.quic.QuicSslContextBuilder;
import io.netty.handler.codec.quic.QuicStreamChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.cert.X509Certificate;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.FinalFrame;
import loadbalancer.proxy.Clock;

/** The HTTP/3 side of a {@link StandInServer}: each request is a {@link ServerExchange}. On its event loop. */
final class Http3Testbed {
    private static final int STREAMS = 200;
    private static final int INTERNAL_ERROR = 0x102;

    private final EventLoop loop;
    private final Clock clock;
    private final StandInServer taker;
    private final QuicSslContext context;
    private final Set<QuicChannel> connections = new HashSet<>();
    private Channel socket;
    private InetSocketAddress address;

    Http3Testbed(EventLoop loop, Clock clock, TlsIdentity identity, StandInServer taker) {
        this.loop = loop;
        this.clock = clock;
        this.taker = taker;
        context = QuicSslContextBuilder.forServer(
                        identity.key(), null, identity.chain().toArray(X509Certificate[]::new))
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .build();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Listens, at the address that it had before if it had one. */
    ChannelFuture open() {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(Http3.newQuicServerCodecBuilder()
                        .sslContext(context)
                        .maxIdleTimeout(30, TimeUnit.SECONDS)
                        .initialMaxData(1 << 22)
                        .initialMaxStreamDataBidirectionalRemote(1 << 17)
                        .initialMaxStreamsBidirectional(STREAMS)
                        .handler(new ChannelInitializer<QuicChannel>() {
                            @Override
                            protected void initChannel(QuicChannel channel) {
                                connections.add(channel);
                                channel.closeFuture().addListener(closed -> connections.remove(channel));
                                channel.pipeline()
                                        .addLast(new Http3ServerConnectionHandler(
                                                new ChannelInitializer<QuicStreamChannel>() {
                                                    @Override
                                                    protected void initChannel(QuicStreamChannel stream) {
                                                        Stream line = new Stream(stream);
                                                        stream.closeFuture().addListener(closed -> taker.gone(line));
                                                        stream.pipeline()
                                                                .addFirst(line.last)
                                                                .addLast(line);
                                                    }
                                                },
                                                null,
                                                null,
                                                CodecErrors.settings(),
                                                true));
                            }
                        })
                        .build())
                .bind(address == null ? new InetSocketAddress(InetAddress.getLoopbackAddress(), 0) : address)
                .addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        socket = done.channel();
                        address = (InetSocketAddress) socket.localAddress();
                    }
                });
    }

    /** The process dies: its connections go unsaid with its socket. */
    void kill() {
        if (socket != null) {
            socket.close();
        }
        List.copyOf(connections).forEach(QuicChannel::close);
        connections.clear();
    }

    private final class Stream extends Http3RequestStreamInboundHandler implements ServerExchange {
        private final QuicStreamChannel stream;
        private final FinalFrame last = new FinalFrame();
        private Http3Headers head;
        private long begunAt;

        Stream(QuicStreamChannel stream) {
            this.stream = stream;
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
            if (head == null) {
                head = frame.headers();
                begunAt = clock.now();
            }
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
            frame.release();
        }

        @Override
        protected void channelInputClosed(ChannelHandlerContext context) {
            if (head != null) {
                Function<String, String> field =
                        n -> head.get(n) == null ? null : head.get(n).toString();
                taker.take(
                        this,
                        field.apply("req-id"),
                        field.apply(":path"),
                        String.valueOf(field.apply("idempotency-key")),
                        begunAt);
            }
        }

        @Override
        public void answer(int status, String text, boolean unseen) {
            Http3Headers out = new DefaultHttp3Headers(false);
            out.status(Integer.toString(status))
                    .add("content-length", Integer.toString(text.length()))
                    .add("srv-load", "TEXT inflight=" + taker.load());
            if (unseen) {
                out.add("srv-declined", "1");
            }
            last.last();
            stream.write(new DefaultHttp3HeadersFrame(out));
            stream.writeAndFlush(new DefaultHttp3DataFrame(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)));
        }

        @Override
        public void reset() {
            CodecErrors.reset(stream, INTERNAL_ERROR);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
