package junctionhead.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import junctionhead.Policy;
import junctionhead.SettingsReader;

/** The HTTP side to the clients: takes requests, turns bad ones away, and writes each one's final answer. */
final class ClientServer {
    static final String DEADLINE = "Req-Deadline-Ms";
    private static final int BACKLOG = 1024;
    private static final int PIPELINED_MOST = 16;   // requests that a client may send ahead on a connection
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
        "expect", "content-length", DEADLINE.toLowerCase(Locale.ROOT));

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Dispatcher dispatcher;
    private final Descriptors descriptors;
    private final BooleanSupplier shedIdleUpstream;
    private final Set<Client> idle = new LinkedHashSet<>(); // the longest idle first
    private Channel listener;
    private boolean ready;
    private boolean stopping;
    private Rehearsal rehearsal;                    // while it is on

    ClientServer(EventLoop loop, SettingsReader.Boot boot, Dispatcher dispatcher, Descriptors descriptors,
            BooleanSupplier shedIdleUpstream) {
        this.loop = loop;
        this.boot = boot;
        this.dispatcher = dispatcher;
        this.descriptors = descriptors;
        this.shedIdleUpstream = shedIdleUpstream;
    }

    /** Listens; called from another thread than the loop's, and returns the address in use. */
    InetSocketAddress listen(InetSocketAddress at) throws IOException {
        try {
            Channel bound = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                // Known before it listens: on a slow machine a connection came in before bind had returned
                // to the starting thread, found no listener, and was dropped unanswered.
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        listener = channel;
                    }
                })
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Client client = new Client(channel);
                        channel.pipeline().addLast(new HttpServerCodec(), client.new Mark(),
                            new HttpObjectAggregator(Upstreams.BODY_MOST), client);
                        client.opened();
                    }
                }).bind(at).sync().channel();
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    void ready() {
        ready = !stopping;
    }

    /** Serves a rehearsal's requests as well; null when it is over. */
    void rehearse(Rehearsal with) {
        rehearsal = with;
    }

    /** From here on answers end their connections; new ones are still taken. */
    void stopping() {
        ready = false;
        stopping = true;
    }

    /** Takes no more connections and drops those that hold no request. */
    void close() {
        listener.close();
        List.copyOf(idle).forEach(c -> c.channel.close());
    }

    // Makes room before an accept can fail. Guards against the end of the descriptors: first go connections
    // that nobody needs, then those of clients at rest, and at last new ones wait in the backlog.
    private void makeRoom() {
        while (descriptors.full() && shedIdleUpstream.getAsBoolean()) {
            continue;
        }
        if (descriptors.full() && !idle.isEmpty()) {
            idle.iterator().next().channel.close();
        }
        listener.config().setAutoRead(!descriptors.full());
    }

    /** One connection of a client. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final ArrayDeque<FullHttpRequest> ahead = new ArrayDeque<>();
        private Runnable gone;                      // set while the module owes an answer here
        private boolean receiving;

        Client(Channel channel) {
            this.channel = channel;
        }

        void opened() {
            descriptors.opened();
            idle.add(this);
            channel.closeFuture().addListener(closed -> {
                descriptors.closed();
                idle.remove(this);
                ahead.forEach(FullHttpRequest::release);
                ahead.clear();
                if (gone != null) {
                    gone.run();
                }
                if (!stopping) {
                    makeRoom();
                }
            });
            makeRoom();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            receiving = false;
            if (gone != null) {
                ahead.add(request.retain());
                if (ahead.size() > PIPELINED_MOST) {
                    channel.close();
                }
            } else {
                handle(request);
            }
        }

        private void handle(FullHttpRequest request) {
            idle.remove(this);
            boolean keep = HttpUtil.isKeepAlive(request);
            String path = request.uri();
            if (!request.decoderResult().isSuccess()) {
                plain(HttpResponseStatus.BAD_REQUEST, "malformed request", false);
            } else if (rehearsal != null && path.equals(Rehearsal.HOP)) {
                boolean declined = rehearsal.declines();
                write(declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(new byte[256]), null, declined ? "Srv-Declined" : "Srv-Load",
                    declined ? "1" : "TEXT eps=0.1, latency_ms=14.5, inflight=2", keep);
            } else if (path.startsWith("/-/") && (rehearsal == null || !path.equals(Rehearsal.PATH))) {
                boolean asked = path.equals("/-/ready") && request.method().equals(HttpMethod.GET);
                HttpResponseStatus status = !asked ? HttpResponseStatus.NOT_FOUND
                    : ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
                plain(status, !asked ? "not found" : ready ? "ready" : "not ready", keep);
            } else {
                Order order;
                try {
                    order = order(request);
                } catch (IllegalArgumentException e) {
                    plain(HttpResponseStatus.BAD_REQUEST, e.getMessage(), keep);
                    return;
                }
                Answer answer = new Answer(this, keep);
                gone = () -> { };
                Runnable leave = path.equals(Rehearsal.PATH)
                    ? rehearsal.dispatcher().take(order.to(Rehearsal.HOP), answer)
                    : dispatcher.take(order, answer);
                if (!answer.given) {
                    gone = leave;
                }
            }
        }

        private void plain(HttpResponseStatus status, String text, boolean keep) {
            ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
            write(status, body, "text/plain", null, null, keep);
        }

        private void write(HttpResponseStatus status, ByteBuf body, String type, String header,
                String value, boolean keep) {
            gone = null;
            boolean stay = keep && !stopping;
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            if (type != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (value != null) {
                response.headers().set(header, value);
            }
            if (!stay) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            var written = channel.writeAndFlush(response);
            if (!stay) {
                written.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            FullHttpRequest next = ahead.poll();
            if (next == null) {
                if (channel.isActive() && !receiving) {
                    idle.add(this);
                }
                return;
            }
            loop.execute(() -> {
                if (channel.isActive()) {
                    handle(next);
                }
                next.release();
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        /** Notes that a request has begun to come in: its connection is not at rest. */
        private final class Mark extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object part) {
                receiving = true;
                idle.remove(Client.this);
                context.fireChannelRead(part);
            }
        }
    }

    /** The final answer to one request; the dispatcher gives it once. */
    private static final class Answer implements Dispatcher.Reply {
        private final Client client;
        private final boolean keep;
        private boolean given;

        Answer(Client client, boolean keep) {
            this.client = client;
            this.keep = keep;
        }

        @Override
        public void serve(FullHttpResponse answer) {
            given = true;
            client.write(HttpResponseStatus.OK, answer.content().retain(),
                answer.headers().get(HttpHeaderNames.CONTENT_TYPE), null, null, keep);
        }

        @Override
        public void refuse(long retryAfter) {
            given = true;
            String seconds = retryAfter <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfter / 1e6);
            client.write(HttpResponseStatus.SERVICE_UNAVAILABLE,
                Unpooled.copiedBuffer("refused: trying again is harmless\n", StandardCharsets.UTF_8),
                "text/plain", "Retry-After", seconds, keep);
        }

        @Override
        public void fail() {
            given = true;
            client.plain(HttpResponseStatus.BAD_GATEWAY, "failed", keep);
        }
    }

    // ---------------------------------------------------------------- reading a request

    private Order order(FullHttpRequest request) {
        HttpHeaders headers = request.headers();
        if (headers.get("Req-Id", "").isEmpty()) {
            throw new IllegalArgumentException("no Req-Id");
        }
        int number = boot.classes().indexOf(headers.get("Req-Kind", ""));
        if (number < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        Policy.Effect effect = boot.settings().classes().get(number).effect();
        HttpMethod method = effect == Policy.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        boolean keyed = headers.contains("Idempotency-Key");
        if (!request.method().equals(method) || keyed != (effect == Policy.Effect.KEYED)) {
            throw new IllegalArgumentException("method or Idempotency-Key contradicts the Req-Kind");
        }
        long left = number(headers.get(DEADLINE), -1);
        if (left <= 0) {
            throw new IllegalArgumentException("no or bad " + DEADLINE);
        }
        String path = request.uri().split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        int tenant = Math.max(0, boot.tenants().indexOf(headers.get("Req-Owner", "")));
        return new Order(request.method(), request.uri(), endToEnd(headers),
            ByteBufUtil.getBytes(request.content()), number, tenant, key.isEmpty() ? null : key, left * 1000,
            number(headers.get("Req-Cost"), -1), "1".equals(headers.get("Req-Retry")));
    }

    private static long number(String text, long otherwise) {
        return text != null && text.strip().matches("\\d{1,12}") ? Long.parseLong(text.strip()) : otherwise;
    }

    private static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders kept = new DefaultHttpHeaders();
        Set<String> named = Set.copyOf(headers.getAll(HttpHeaderNames.CONNECTION).stream()
            .flatMap(v -> Stream.of(v.toLowerCase(Locale.ROOT).split("\\s*,\\s*"))).distinct().toList());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                kept.add(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
