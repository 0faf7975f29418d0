package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;

/** An order box on a socket: HTTP/1.1 round a {@link ServerModel}, and what befalls it. On one event loop. */
final class StandInServer implements ServerModel.Told {
    /** What the box is told of an order beyond the request itself. */
    record Known(Policy.Effect effect, long work, long window) {}

    private static final long NEVER = Long.MAX_VALUE;

    private final String name;
    private final Scenario.Boxes kind;
    private final Scenario.Cold cold;
    private final EventLoop loop;
    private final LoopLag lag;
    private final Clock clock;
    private final Ledger ledger;
    private final IdempotencyKeys cell;
    private final int cellNumber;
    private final Function<String, Known> orders;
    private final SplittableRandom chance;
    private final ServerModel model;
    private final Set<Connection> connections = new HashSet<>();
    private final Map<ServerExchange, ServerModel.Job> jobs = new HashMap<>();
    private Http3Testbed http3; // null where it speaks HTTP/1.1 only
    private Channel listener;
    private InetSocketAddress address;
    private Future<?> timer;
    private long timerAt = NEVER;
    private long sendsEnd = NEVER; // nothing new may reach it from then on
    private boolean stalled;
    private boolean refusing;
    private double errors;
    private double fastErrors;
    private double resets;
    private long opened;
    private long served;
    private long declined;
    private long falls;

    StandInServer(
            String name,
            Scenario.Boxes kind,
            Scenario.Cold cold,
            EventLoop loop,
            LoopLag lag,
            Clock clock,
            Ledger ledger,
            IdempotencyKeys cell,
            int cellNumber,
            Function<String, Known> orders,
            SplittableRandom chance) {
        this.name = name;
        this.kind = kind;
        this.cold = cold;
        this.loop = loop;
        this.lag = lag;
        this.clock = clock;
        this.ledger = ledger;
        this.cell = cell;
        this.cellNumber = cellNumber;
        this.orders = orders;
        this.chance = chance;
        this.model = new ServerModel(kind, cold, clock.now());
    }

    String name() {
        return name;
    }

    Scenario.Boxes kind() {
        return kind;
    }

    /** Speaks HTTP/3 as well, with this certificate; before it is opened. */
    void speakHttp3(TlsIdentity identity) {
        http3 = new Http3Testbed(loop, clock, identity, this);
    }

    /** Where it speaks HTTP/3; null where it doesn't. */
    InetSocketAddress http3() {
        return http3 == null ? null : http3.address();
    }

    int cellNumber() {
        return cellNumber;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Listens, at the address that it had before if it had one. Not for the loop's own thread. */
    void open() throws InterruptedException {
        if (http3 != null) {
            http3.open().sync();
        }
        bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync();
    }

    private io.netty.channel.ChannelFuture bind(InetSocketAddress at) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        opened++;
                        Connection connection = new Connection(channel);
                        connections.add(connection);
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        connection.first(),
                                        new HttpObjectAggregator(1 << 17),
                                        connection);
                    }
                })
                .bind(at)
                .addListener((io.netty.channel.ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        listener = done.channel();
                        address = (InetSocketAddress) listener.localAddress();
                    }
                });
    }

    // ---------------------------------------------------------------- what befalls it, on the loop

    /** From {@code at} on nothing new may reach it; NEVER: it serves again. */
    void sendsEndAt(long at) {
        sendsEnd = at;
    }

    void stall(boolean on) {
        stalled = on;
        model.stall(on, clock.now(), this);
        plan();
    }

    boolean isStalled() {
        return stalled;
    }

    void slow(double factor) {
        model.slow(factor, clock.now(), this);
        plan();
    }

    void errors(double share) {
        errors = share;
    }

    void fastErrors(double share) {
        fastErrors = share;
    }

    void resets(double share) {
        resets = share;
    }

    void refuse(boolean on) {
        refusing = on;
    }

    boolean isUp() {
        return listener != null && listener.isOpen();
    }

    /** The process dies. */
    void kill() {
        if (listener != null) {
            listener.close();
        }
        for (ServerModel.Job lost : model.die()) {
            ledger.note(
                    lost.order, (lost.isRunning() ? "lost in the middle on " : "lost unbegun on ") + name, clock.now());
        }
        for (Connection connection : List.copyOf(connections)) {
            connection.reset();
        }
        jobs.clear();
        if (http3 != null) {
            http3.kill();
        }
    }

    /** A new process at the same address, cold; {@code then} runs on the loop once it listens. */
    void restart(Runnable then) {
        if (!isUp()) {
            model.start(clock.now());
            if (http3 != null) {
                http3.open();
            }
            bind(address).addListener(done -> then.run());
        }
    }

    void close() {
        kill();
    }

    int inFlight() {
        return model.inFlight();
    }

    double warmth() {
        return model.warmth(clock.now());
    }

    /** Connections over HTTP/1.1 that have come so far. */
    long opened() {
        return opened;
    }

    long served() {
        return served;
    }

    long declined() {
        return declined;
    }

    long falls() {
        return falls;
    }

    // ---------------------------------------------------------------- the model's news

    @Override
    public void begun(ServerModel.Job job, long at) {
        Known known = orders.apply(job.order);
        boolean effect =
                known.effect() != Policy.Effect.KEYED || cell.first(((Asked) job.context).key, known.window(), at);
        ledger.ran(job.order, name, effect, at);
    }

    @Override
    public void done(ServerModel.Job job, long at) {
        served++;
        Asked asked = (Asked) job.context;
        jobs.remove(asked.line);
        if (chance.nextDouble() < resets) {
            asked.line.reset();
        } else {
            boolean bad = chance.nextDouble() < errors;
            asked.line.answer(bad ? 500 : 200, bad ? "error" : job.order, false);
        }
    }

    private void plan() {
        long next = model.next();
        if (next == timerAt) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAt = next;
        timer = next == NEVER
                ? null
                : loop.schedule(
                        () -> {
                            timerAt = NEVER;
                            model.advance(clock.now(), this);
                            plan();
                        },
                        Math.max(0, next - clock.now()),
                        TimeUnit.MICROSECONDS);
    }

    // A cold box that is pushed over stays down for a while, and starts again.
    private void fall() {
        falls++;
        kill();
        loop.schedule(() -> restart(() -> {}), cold.down(), TimeUnit.MICROSECONDS);
    }

    private record Asked(ServerExchange line, String key) {}

    /** A whole request, by whatever protocol; {@code begunAt}: when its first bytes came. */
    void take(ServerExchange line, String id, String uri, String key, long begunAt) {
        if (uri.startsWith("/-/")) {
            line.answer(200, "ok", false);
            return;
        }
        Known known = id == null ? null : orders.apply(id);
        if (known == null) {
            line.answer(400, "unknown order", false);
            return;
        }
        long now = clock.now();
        long late = lag.micros(now);
        ledger.reached(id, name, Demo.SLACK + late, now);
        if (begunAt - late > sendsEnd) {
            ledger.sentAfterDrain(id, name, begunAt - late - sendsEnd, now);
        }
        if (chance.nextDouble() < fastErrors) {
            ledger.note(id, "fast error on " + name, now);
            line.answer(500, "error", false);
            return;
        }
        ServerModel.Job job = new ServerModel.Job(id, known.work(), new Asked(line, key));
        jobs.put(line, job);
        if (refusing || !model.arrive(job, now, this)) {
            declined++;
            jobs.remove(line);
            ledger.note(id, "turned away by " + name, now);
            line.answer(503, "declined", true);
        }
        if (model.isPushedOver(now)) {
            fall();
        }
        plan();
    }

    /** Who asked has left: what has not begun is dropped. */
    void gone(ServerExchange line) {
        ServerModel.Job job = jobs.remove(line);
        if (job != null) {
            model.forget(job);
            ledger.note(job.order, "given up at " + name, clock.now());
        }
    }

    int load() {
        return model.inFlight();
    }

    private final class Connection extends ChannelInboundHandlerAdapter implements ServerExchange {
        private final Channel channel;
        private long begunAt;

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** Notes when a request's first bytes came: for drains that counts. */
        ChannelInboundHandlerAdapter first() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object part) {
                    if (part instanceof HttpRequest) {
                        begunAt = clock.now();
                    }
                    context.fireChannelRead(part);
                }
            };
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object part) {
            try {
                if (part instanceof FullHttpRequest request) {
                    take(request);
                }
            } finally {
                ReferenceCountUtil.release(part);
            }
        }

        private void take(FullHttpRequest request) {
            StandInServer.this.take(
                    this,
                    request.headers().get("Req-Id"),
                    request.uri(),
                    String.valueOf(request.headers().get("Idempotency-Key")),
                    begunAt);
        }

        @Override
        public void answer(int status, String text, boolean unseen) {
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, text.length())
                    .set("Srv-Load", "TEXT inflight=" + load());
            if (unseen) {
                response.headers().set("Srv-Declined", "1");
            }
            channel.writeAndFlush(response);
        }

        @Override
        public void reset() {
            if (channel.isOpen()) { // it may have ended, and not have been told so yet
                ((SocketChannelConfig) channel.config()).setSoLinger(0);
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            gone(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
