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

/** An HTTP/3 server for tests: queues each request for the test, which then answers or breaks its stream. */
final class Http3StandInServer implements Closeable {
    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** A request, or its head alone, and the stream to answer on. */
    static final class ReceivedRequest {
        final Http3Headers head;
        final String body;
        final QuicStreamChannel stream;

        ReceivedRequest(Http3Headers head, String body, QuicStreamChannel stream) {
            this.head = head;
            this.body = body;
            this.stream = stream;
        }

        /** A header or pseudo-header field's value. */
        String field(String name) {
            return String.valueOf(head.get(name));
        }

        void answer(int status, String name, String value, String text) {
            Http3Headers out = new DefaultHttp3Headers(false);
            out.status(Integer.toString(status));
            if (name != null) {
                out.add(name, value);
            }
            FinalFrame finalFrame = new FinalFrame();
            stream.pipeline().addFirst(finalFrame);
            finalFrame.last();
            stream.write(new DefaultHttp3HeadersFrame(out));
            stream.writeAndFlush(new DefaultHttp3DataFrame(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)));
        }

        void answer(String text) {
            answer(200, null, null, text);
        }

        /** Resets both directions of the stream with an HTTP/3 error code (RFC 9114, section 8.1). */
        void reset(int code) {
            stream.shutdown(code);
        }

        /** Announces that streams from {@code id} on are not processed (RFC 9114, section 5.2). */
        void goAway(long id) {
            Http3.getLocalControlStream(stream.parent()).writeAndFlush(new DefaultHttp3GoAwayFrame(id));
        }

        void closeConnection() {
            stream.parent().close(true, 0x102, Unpooled.EMPTY_BUFFER);
        }
    }

    final Set<QuicChannel> connections = ConcurrentHashMap.newKeySet();
    private final Channel udp;
    private final BlockingQueue<ReceivedRequest> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<ReceivedRequest> heads = new LinkedBlockingQueue<>();
    final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    /** The error code of the STOP_SENDING that it sends behind each head; -1: it sends none. */
    volatile int stopAtHead = -1;

    Http3StandInServer(X509Bundle identity, int port, int streams) throws Exception {
        this(identity, port, streams, 1 << 17);
    }

    /**
     * Listens.
     *
     * @param port 0: any
     * @param streams concurrent streams that a connection may have
     * @param window the initial flow-control window of a stream, bytes
     */
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
                                                        stream.pipeline().addLast(new RequestReader());
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

    /** The next complete request; fails where none arrives. */
    ReceivedRequest next() throws InterruptedException {
        return next(requests, "no request arrived");
    }

    /** The next head, whether its body follows or not; fails where none arrives. */
    ReceivedRequest nextHead() throws InterruptedException {
        return next(heads, "no head arrived");
    }

    private static ReceivedRequest next(BlockingQueue<ReceivedRequest> queue, String complaint)
            throws InterruptedException {
        ReceivedRequest request = queue.poll(20, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError(complaint);
        }
        return request;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    @Override
    public void close() {
        connections.forEach(c -> c.close().awaitUninterruptibly(5, TimeUnit.SECONDS));
        udp.close().awaitUninterruptibly(5, TimeUnit.SECONDS);
    }

    private final class RequestReader extends Http3RequestStreamInboundHandler {
        private Http3Headers head;
        private final StringBuilder body = new StringBuilder();

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
            head = frame.headers();
            if (stopAtHead >= 0) {
                ((QuicStreamChannel) context.channel()).shutdownInput(stopAtHead);
            }
            heads.add(new ReceivedRequest(head, "", (QuicStreamChannel) context.channel()));
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
            body.append(frame.content().toString(StandardCharsets.US_ASCII));
            frame.release();
        }

        @Override
        protected void channelInputClosed(ChannelHandlerContext context) {
            if (head != null) {
                requests.add(new ReceivedRequest(head, body.toString(), (QuicStreamChannel) context.channel()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof QuicStreamResetException reset) {
                // A stream may be reset before its head has arrived.
                CharSequence id = head == null ? "no head" : head.get("req-id");
                cancelled.add(id + " 0x" + Long.toHexString(reset.applicationProtocolCode()));
            }
            context.close();
        }
    }
}
