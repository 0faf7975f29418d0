package loadbalancer.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import io.netty.handler.codec.http3.DefaultHttp3GoAwayFrame;
import io.netty.handler.codec.http3.DefaultHttp3Headers;
import io.netty.handler.codec.http3.DefaultHttp3HeadersFrame;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.http3.Http3DataFrame;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.http3.Http3HeadersFrame;
import io.netty.handler.codec.http3.Http3RequestStreamInboundHandler;
import io.netty.handler.codec.http3.Http3ServerConnectionHandler;
import io.netty.handler.codec.quic.InsecureQuicTokenHandler;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicSslContext;
import io.netty.handler.codec.quic.QuicSslContextBuilder;
import io.netty.handler.codec.quic.QuicStreamChannel;
import io.netty.handler.codec.quic.QuicStreamResetException;
import io.netty.pkitesting.X509Bundle;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.codec.FinalFrame;

/** An upstream over HTTP/3 that does what the test says with each request. */
final class Http3StandInServer implements Closeable {
    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** A request that has come whole. */
    static final class Got {
        final Http3Headers head;
        final String body;
        final QuicStreamChannel stream;

        Got(Http3Headers head, String body, QuicStreamChannel stream) {
            this.head = head;
            this.body = body;
            this.stream = stream;
        }

        String field(String name) {
            return String.valueOf(head.get(name));
        }

        void answer(int status, String name, String value, String text) {
            Http3Headers out = new DefaultHttp3Headers(false);
            out.status(Integer.toString(status));
            if (name != null) {
                out.add(name, value);
            }
            FinalFrame end = new FinalFrame();
            stream.pipeline().addFirst(end);
            end.last();
            stream.write(new DefaultHttp3HeadersFrame(out));
            stream.writeAndFlush(new DefaultHttp3DataFrame(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)));
        }

        void answer(String text) {
            answer(200, null, null, text);
        }

        void reset(int code) {
            stream.shutdown(code);
        }

        void goAway(long id) {
            Http3.getLocalControlStream(stream.parent()).writeAndFlush(new DefaultHttp3GoAwayFrame(id));
        }

        void closeConnection() {
            stream.parent().close(true, 0x102, Unpooled.EMPTY_BUFFER);
        }
    }

    final Set<QuicChannel> connections = ConcurrentHashMap.newKeySet();
    private final Channel udp;
    private final BlockingQueue<Got> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<Got> heads = new LinkedBlockingQueue<>();
    final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    /** The code with which it asks for no more once it has a head, before it reads on; -1: it reads on. */
    volatile int stopAtHead = -1;

    Http3StandInServer(X509Bundle identity, int port, int streams) throws Exception {
        this(identity, port, streams, 1 << 17);
    }

    /** {@code window}: bytes of a stream that it takes and no more. */
    Http3StandInServer(X509Bundle identity, int port, int streams, int window) throws Exception {
        QuicSslContext context = QuicSslContextBuilder.forServer(
                        identity.getKeyPair().getPrivate(), null, identity.getCertificatePath())
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .build();
        udp = new Bootstrap()
                .group(GROUP)
                .channel(NioDatagramChannel.class)
                .handler(Http3.newQuicServerCodecBuilder()
                        .sslContext(context)
                        .maxIdleTimeout(20, TimeUnit.SECONDS)
                        .initialMaxData(1 << 20)
                        .initialMaxStreamDataBidirectionalRemote(window)
                        .initialMaxStreamsBidirectional(streams)
                        .tokenHandler(InsecureQuicTokenHandler.INSTANCE)
                        .handler(new ChannelInitializer<QuicChannel>() {
                            @Override
                            protected void initChannel(QuicChannel channel) {
                                connections.add(channel);
                                channel.pipeline()
                                        .addLast(new Http3ServerConnectionHandler(
                                                new ChannelInitializer<QuicStreamChannel>() {
                                                    @Override
                                                    protected void initChannel(QuicStreamChannel stream) {
                                                        stream.pipeline().addLast(new Reader());
                                                    }
                                                }));
                            }
                        })
                        .build())
                .bind(new InetSocketAddress("127.0.0.1", port))
                .sync()
                .channel();
    }

    int port() {
        return ((InetSocketAddress) udp.localAddress()).getPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** The next request; fails where none comes. */
    Got next() throws InterruptedException {
        Got got = requests.poll(20, TimeUnit.SECONDS);
        if (got == null) {
            throw new AssertionError("no request came");
        }
        return got;
    }

    /** The next head, whether the rest comes or not. */
    Got nextHead() throws InterruptedException {
        Got got = heads.poll(20, TimeUnit.SECONDS);
        if (got == null) {
            throw new AssertionError("no head came");
        }
        return got;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    @Override
    public void close() {
        connections.forEach(c -> c.close().awaitUninterruptibly(5, TimeUnit.SECONDS));
        udp.close().awaitUninterruptibly(5, TimeUnit.SECONDS);
    }

    private final class Reader extends Http3RequestStreamInboundHandler {
        private Http3Headers head;
        private final StringBuilder body = new StringBuilder();

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
            head = frame.headers();
            if (stopAtHead >= 0) {
                ((QuicStreamChannel) context.channel()).shutdownInput(stopAtHead);
            }
            heads.add(new Got(head, "", (QuicStreamChannel) context.channel()));
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
            body.append(frame.content().toString(StandardCharsets.US_ASCII));
            frame.release();
        }

        @Override
        protected void channelInputClosed(ChannelHandlerContext context) {
            if (head != null) {
                requests.add(new Got(head, body.toString(), (QuicStreamChannel) context.channel()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof QuicStreamResetException reset) {
                // A stream may be reset before its head has come.
                CharSequence id = head == null ? "no head" : head.get("req-id");
                cancelled.add(id + " 0x" + Long.toHexString(reset.applicationProtocolCode()));
            }
            context.close();
        }
    }
}
