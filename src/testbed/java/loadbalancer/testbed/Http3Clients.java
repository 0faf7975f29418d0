package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import io.netty.handler.codec.http3.DefaultHttp3Headers;
import io.netty.handler.codec.http3.DefaultHttp3HeadersFrame;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.http3.Http3ClientConnectionHandler;
import io.netty.handler.codec.http3.Http3DataFrame;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.http3.Http3HeadersFrame;
import io.netty.handler.codec.http3.Http3RequestStreamInboundHandler;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicSslContext;
import io.netty.handler.codec.quic.QuicSslContextBuilder;
import io.netty.handler.codec.quic.QuicStreamChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.cert.X509Certificate;
import java.util.ArrayDeque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.FinalFrame;
import loadbalancer.testbed.Ledger.Final;

/** Clients over HTTP/3: some connections, each with as many streams as it is asked for. On an event loop. */
final class Http3Clients {
    /** One order as the load has it. */
    interface Asking {
        Http3Headers head();

        /** Null where the request has none. */
        byte[] body();

        /** Its request is about to be written. */
        void asked();

        /** What has come of it; {@code text} is the answer's, or null. */
        void ended(Final how, String text);
    }

    private static final int FIRST = 20; // requests of each connection before the load
    private static final long FIRST_S = 10;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final QuicSslContext context;
    private final Connection[] connections;
    private Channel socket;
    private int next;

    Http3Clients(EventLoop loop, InetSocketAddress to, X509Certificate trust, int connections) {
        this.loop = loop;
        this.to = to;
        this.connections = new Connection[connections];
        context = QuicSslContextBuilder.forClient()
                .trustManager(trust)
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .build();
    }

    /**
     * Opens all connections and asks each of them whether the balancer is ready a few times: what follows
     * measures a balancer, not a client that is being loaded and compiled. Not for the loop's thread.
     */
    void open() throws InterruptedException {
        socket = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(Http3.newQuicClientCodecBuilder()
                        .sslEngineProvider(q -> context.newEngine(q.alloc(), "127.0.0.1", to.getPort()))
                        .maxIdleTimeout(30, TimeUnit.SECONDS)
                        .initialMaxData(1 << 22)
                        .initialMaxStreamDataBidirectionalLocal(1 << 17)
                        .build())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        CountDownLatch warm = new CountDownLatch(connections.length * FIRST);
        loop.execute(() -> {
            for (int i = 0; i < connections.length; i++) {
                ask(new First(warm, FIRST));
            }
        });
        warm.await(FIRST_S, TimeUnit.SECONDS);
    }

    /** One of the first requests of a connection, and those behind it. */
    private final class First implements Asking {
        private final CountDownLatch warm;
        private final int left;

        First(CountDownLatch warm, int left) {
            this.warm = warm;
            this.left = left;
        }

        @Override
        public Http3Headers head() {
            return Http3Clients.head("GET", "/-/ready");
        }

        @Override
        public byte[] body() {
            return null;
        }

        @Override
        public void asked() {}

        @Override
        public void ended(Final how, String text) {
            warm.countDown();
            if (left > 1) {
                loop.execute(() -> ask(new First(warm, left - 1)));
            }
        }
    }

    void ask(Asking asking) {
        int at = next++ % connections.length;
        if (connections[at] == null || connections[at].over) {
            connections[at] = new Connection();
        }
        connections[at].ask(asking);
    }

    void close() {
        loop.execute(() -> {
            for (Connection c : connections) {
                if (c != null && c.channel != null) {
                    CodecErrors.close(c.channel, Http3ErrorCodes.NO_ERROR);
                }
            }
        });
    }

    private final class Connection {
        private final ArrayDeque<Asking> waiting = new ArrayDeque<>();
        private QuicChannel channel;
        private boolean over;

        Connection() {
            QuicChannel.newBootstrap(socket)
                    .handler(new ChannelInitializer<QuicChannel>() {
                        @Override
                        protected void initChannel(QuicChannel quic) {
                            quic.pipeline()
                                    .addLast(new Http3ClientConnectionHandler(
                                            null, null, null, CodecErrors.settings(), true));
                            quic.closeFuture().addListener(closed -> over = true);
                        }
                    })
                    .remoteAddress(to)
                    .connect()
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            channel = (QuicChannel) done.getNow();
                            waiting.forEach(this::send);
                        } else {
                            over = true;
                            waiting.forEach(a -> a.ended(Final.NOT_TAKEN, null)); // nobody has seen them
                        }
                        waiting.clear();
                    });
        }

        void ask(Asking asking) {
            if (channel == null) {
                waiting.add(asking);
            } else {
                send(asking);
            }
        }

        private void send(Asking asking) {
            Stream stream = new Stream(asking);
            Http3.newRequestStream(channel, stream).addListener(done -> {
                if (done.isSuccess()) {
                    stream.write((QuicStreamChannel) done.getNow());
                } else {
                    stream.end(Final.NOT_TAKEN, null);
                }
            });
        }
    }

    private static final class Stream extends Http3RequestStreamInboundHandler {
        private final Asking asking;
        private final StringBuilder text = new StringBuilder();
        private String status;
        private boolean ended;

        Stream(Asking asking) {
            this.asking = asking;
        }

        void write(QuicStreamChannel stream) {
            asking.asked();
            FinalFrame last = new FinalFrame();
            stream.pipeline().addFirst(last);
            last.last();
            stream.write(new DefaultHttp3HeadersFrame(asking.head()));
            if (asking.body() != null) {
                stream.write(new DefaultHttp3DataFrame(Unpooled.wrappedBuffer(asking.body())));
            }
            stream.flush();
        }

        void end(Final how, String body) {
            if (!ended) {
                ended = true;
                asking.ended(how, body);
            }
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
            status = String.valueOf(frame.headers().status());
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
            text.append(frame.content().toString(StandardCharsets.US_ASCII));
            frame.release();
        }

        @Override
        protected void channelInputClosed(ChannelHandlerContext context) {
            end(
                    status == null
                            ? Final.NONE
                            : switch (status) {
                                case "200" -> Final.SERVED;
                                case "503", "429" -> Final.REFUSED;
                                default -> status.startsWith("4") ? Final.NOT_TAKEN : Final.FAILED;
                            },
                    text.toString());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Rejected is a promise that nobody has looked at it (RFC 9114, section 4.1.1).
            end(CodecErrors.code(cause) == Http3ErrorCodes.REQUEST_REJECTED ? Final.NOT_TAKEN : Final.NONE, null);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(Final.NONE, null);
        }
    }

    /** A head with the fields of an order, lower case as HTTP/3 wants it. */
    static Http3Headers head(String method, String path) {
        return new DefaultHttp3Headers(false)
                .method(method)
                .scheme("https")
                .authority("boxes.local")
                .path(path);
    }
}
