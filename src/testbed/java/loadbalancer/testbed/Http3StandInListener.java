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
import loadbalancer.http3.TlsIdentity;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.FinalFrame;
import loadbalancer.proxy.Clock;

/** The HTTP/3 side of a {@link StandInServer}: each request is a {@link ServerExchange}. On its event loop. */
final class Http3StandInListener {
    private static final int MAX_STREAMS = 200;
    private static final int IDLE_SECONDS = 30;
    private static final int CONNECTION_WINDOW_BYTES = 1 << 22;
    private static final int STREAM_WINDOW_BYTES = 1 << 17;
    private static final int INTERNAL_ERROR = 0x102; // H3_INTERNAL_ERROR, RFC 9114, section 8.1

    private final EventLoop loop;
    private final Clock clock;
    private final StandInServer server;
    private final QuicSslContext context;
    private final Set<QuicChannel> connections = new HashSet<>();
    private Channel socket;
    private InetSocketAddress address;

    Http3StandInListener(EventLoop loop, Clock clock, TlsIdentity identity, StandInServer server) {
        this.loop = loop;
        this.clock = clock;
        this.server = server;
        context = QuicSslContextBuilder.forServer(
                        identity.key(), null, identity.chain().toArray(X509Certificate[]::new))
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .build();
    }

    /** Where it listens; null before the first {@link #open}. */
    InetSocketAddress address() {
        return address;
    }

    /** Listens, at the address that it had before if it had one. May be called from any thread. */
    ChannelFuture open() {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(Http3.newQuicServerCodecBuilder()
                        .sslContext(context)
                        .maxIdleTimeout(IDLE_SECONDS, TimeUnit.SECONDS)
                        .initialMaxData(CONNECTION_WINDOW_BYTES)
                        .initialMaxStreamDataBidirectionalRemote(STREAM_WINDOW_BYTES)
                        .initialMaxStreamsBidirectional(MAX_STREAMS)
                        .handler(new ChannelInitializer<QuicChannel>() {
                            @Override
                            protected void initChannel(QuicChannel channel) {
                                accept(channel);
                            }
                        })
                        .build())
                .bind(address == null ? new InetSocketAddress(InetAddress.getLoopbackAddress(), 0) : address)
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        socket = bound.channel();
                        address = (InetSocketAddress) socket.localAddress();
                    }
                });
    }

    private void accept(QuicChannel connection) {
        connections.add(connection);
        connection.closeFuture().addListener(closed -> connections.remove(connection));
        var streams = new ChannelInitializer<QuicStreamChannel>() {
            @Override
            protected void initChannel(QuicStreamChannel channel) {
                accept(channel);
            }
        };
        connection
                .pipeline()
                .addLast(new Http3ServerConnectionHandler(streams, null, null, CodecErrors.settings(), true));
    }

    private void accept(QuicStreamChannel channel) {
        Stream stream = new Stream(channel);
        channel.closeFuture().addListener(closed -> server.clientClosed(stream));
        channel.pipeline().addFirst(stream.finalFrame).addLast(stream);
    }

    /** Ends it as if its process were killed: its connections end with its socket, without a CONNECTION_CLOSE. */
    void kill() {
        if (socket != null) {
            socket.close();
        }
        List.copyOf(connections).forEach(QuicChannel::close);
        connections.clear();
    }

    /** One request stream. */
    private final class Stream extends Http3RequestStreamInboundHandler implements ServerExchange {
        private final QuicStreamChannel stream;
        private final FinalFrame finalFrame = new FinalFrame();
        private Http3Headers head;
        private long firstByteAt;

        Stream(QuicStreamChannel stream) {
            this.stream = stream;
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
            if (head == null) {
                head = frame.headers();
                firstByteAt = clock.now();
            }
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
            frame.release();
        }

        @Override
        protected void channelInputClosed(ChannelHandlerContext context) {
            if (head != null) {
                server.handle(
                        this,
                        header("req-id"),
                        header(":path"),
                        String.valueOf(header("idempotency-key")),
                        firstByteAt);
            }
        }

        private String header(String name) {
            CharSequence value = head.get(name);
            return value == null ? null : value.toString();
        }

        @Override
        public void respond(int status, String text, Execution execution) {
            Http3Headers out = new DefaultHttp3Headers(false);
            out.status(Integer.toString(status))
                    .add("content-length", Integer.toString(text.length()))
                    .add("srv-load", "TEXT inflight=" + server.inFlight());
            if (execution == Execution.DECLINED) {
                out.add("srv-declined", "1");
            }
            finalFrame.last();
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
