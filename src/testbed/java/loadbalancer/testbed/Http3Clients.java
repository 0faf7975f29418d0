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
import loadbalancer.testbed.Ledger.RequestOutcome;

/** Clients over HTTP/3: some connections, with a stream for each request. On one event loop. */
final class Http3Clients {
    /** A request of the load. */
    interface ClientRequest {
        Http3Headers head();

        /** Null where the request has none. */
        byte[] body();

        /** The request is about to be written. */
        void recordSent();

        /** The request has ended; {@code text} is the body of its response, or null. */
        void ended(RequestOutcome how, String text);
    }

    private static final int WARM_UP_REQUESTS = 20; // requests of each connection before the load
    private static final long WARM_UP_SECONDS = 10;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final QuicSslContext context;
    private final Connection[] connections;
    private Channel socket;
    private int next;

    Http3Clients(EventLoop loop, InetSocketAddress target, X509Certificate trust, int connections) {
        this.loop = loop;
        this.target = target;
        this.connections = new Connection[connections];
        context = QuicSslContextBuilder.forClient()
                .trustManager(trust)
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .build();
    }

    /**
     * Opens all connections and sends some requests over each, so that what follows measures a balancer and not a
     * client whose classes are being loaded and compiled. Blocks; not for the event loop's thread.
     */
    @SuppressWarnings("AddressSelection") // a literal address: nothing is looked up
    void open() throws InterruptedException {
        socket = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(Http3.newQuicClientCodecBuilder()
                        .sslEngineProvider(q -> context.newEngine(q.alloc(), "127.0.0.1", target.getPort()))
                        .maxIdleTimeout(30, TimeUnit.SECONDS)
                        .initialMaxData(1 << 22)
                        .initialMaxStreamDataBidirectionalLocal(1 << 17)
                        .build())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        CountDownLatch warmedUp = new CountDownLatch(connections.length * WARM_UP_REQUESTS);
        loop.execute(() -> {
            for (int i = 0; i < connections.length; i++) {
                send(new WarmUpRequest(warmedUp, WARM_UP_REQUESTS));
            }
        });
        warmedUp.await(WARM_UP_SECONDS, TimeUnit.SECONDS);
    }

    /** A request that warms up the clients, and those that follow it. */
    private final class WarmUpRequest implements ClientRequest {
        private final CountDownLatch warmedUp;
        private final int left;

        WarmUpRequest(CountDownLatch warmedUp, int left) {
            this.warmedUp = warmedUp;
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
        public void recordSent() {}

        @Override
        public void ended(RequestOutcome how, String text) {
            warmedUp.countDown();
            if (left > 1) {
                loop.execute(() -> send(new WarmUpRequest(warmedUp, left - 1)));
            }
        }
    }

    void send(ClientRequest request) {
        int at = next++ % connections.length;
        if (connections[at] == null || connections[at].closed) {
            connections[at] = new Connection();
        }
        connections[at].send(request);
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
        private final ArrayDeque<ClientRequest> waiting = new ArrayDeque<>();
        private QuicChannel channel;
        private boolean closed;

        Connection() {
            QuicChannel.newBootstrap(socket)
                    .handler(new ChannelInitializer<QuicChannel>() {
                        @Override
                        protected void initChannel(QuicChannel quic) {
                            quic.pipeline()
                                    .addLast(new Http3ClientConnectionHandler(
                                            null, null, null, CodecErrors.settings(), true));
                            quic.closeFuture().addListener(done -> closed = true);
                        }
                    })
                    .remoteAddress(target)
                    .connect()
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            channel = (QuicChannel) done.getNow();
                            waiting.forEach(this::openStream);
                        } else {
                            closed = true;
                            waiting.forEach(a -> a.ended(RequestOutcome.NOT_TAKEN, null)); // no server has seen them
                        }
                        waiting.clear();
                    });
        }

        void send(ClientRequest request) {
            if (channel == null) {
                waiting.add(request);
            } else {
                openStream(request);
            }
        }

        private void openStream(ClientRequest request) {
            Stream stream = new Stream(request);
            Http3.newRequestStream(channel, stream).addListener(done -> {
                if (done.isSuccess()) {
                    stream.write((QuicStreamChannel) done.getNow());
                } else {
                    stream.end(RequestOutcome.NOT_TAKEN, null);
                }
            });
        }
    }

    private static final class Stream extends Http3RequestStreamInboundHandler {
        private final ClientRequest request;
        private final StringBuilder text = new StringBuilder();
        private String status;
        private boolean ended;

        Stream(ClientRequest request) {
            this.request = request;
        }

        void write(QuicStreamChannel stream) {
            request.recordSent();
            FinalFrame last = new FinalFrame();
            stream.pipeline().addFirst(last);
            last.last();
            stream.write(new DefaultHttp3HeadersFrame(request.head()));
            if (request.body() != null) {
                stream.write(new DefaultHttp3DataFrame(Unpooled.wrappedBuffer(request.body())));
            }
            stream.flush();
        }

        void end(RequestOutcome how, String body) {
            if (!ended) {
                ended = true;
                request.ended(how, body);
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
                            ? RequestOutcome.NONE
                            : switch (status) {
                                case "200" -> RequestOutcome.SERVED;
                                case "503", "429" -> RequestOutcome.REFUSED;
                                default -> status.startsWith("4") ? RequestOutcome.NOT_TAKEN : RequestOutcome.FAILED;
                            },
                    text.toString());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // H3_REQUEST_REJECTED promises that the request was not processed (RFC 9114, section 4.1.1).
            end(
                    CodecErrors.code(cause) == Http3ErrorCodes.REQUEST_REJECTED
                            ? RequestOutcome.NOT_TAKEN
                            : RequestOutcome.NONE,
                    null);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(RequestOutcome.NONE, null);
        }
    }

    /** The header section of a request, with the pseudo-header fields only. */
    static Http3Headers head(String method, String path) {
        return new DefaultHttp3Headers(false)
                .method(method)
                .scheme("https")
                .authority("boxes.local")
                .path(path);
    }
}
