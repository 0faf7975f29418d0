package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http3.Http3Headers;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;
import loadbalancer.testbed.Ledger.Final;

/**
 * Clients over HTTP/1.1 with open arrivals: each order is asked at its time, however the ones before it fare,
 * and its latency counts from that time, so that a stall is not left out of the figures. Where there are
 * several
 * addresses they are taken in turn. On one event loop.
 */
final class LoadGenerator {
    /**
     * µs beyond an order's deadline after which its client has waited in vain: more than a noisy machine's.
     */
    static final long PATIENCE = 500_000;

    private static final int BODY = 200;

    private final Scenario scenario;
    private final List<ArrivalSchedule.Order> script;
    private final EventLoop loop;
    private final Clock clock;
    private final Ledger ledger;
    private final RequestCounts counts;
    private final List<InetSocketAddress> to; // null: nobody asks there for now
    private final IntUnaryOperator dealt; // the place among these of an order, by its number
    private final long[] brokenUntil; // what is there is dead or stands still, or was
    private final List<ArrayDeque<Connection>> idle = new ArrayList<>();
    private final ArrayDeque<Asking> waiting = new ArrayDeque<>();
    private final Set<Connection> connections = new HashSet<>();
    private long begun;
    private int next;
    private int open;
    private boolean stopped;
    private Runnable then;
    private Http3Clients http3; // null where all clients speak HTTP/1.1

    LoadGenerator(
            Scenario scenario,
            List<ArrivalSchedule.Order> script,
            EventLoop loop,
            Clock clock,
            Ledger ledger,
            RequestCounts counts,
            List<InetSocketAddress> to) {
        this(scenario, script, loop, clock, ledger, counts, to, order -> order % to.size());
    }

    LoadGenerator(
            Scenario scenario,
            List<ArrivalSchedule.Order> script,
            EventLoop loop,
            Clock clock,
            Ledger ledger,
            RequestCounts counts,
            List<InetSocketAddress> to,
            IntUnaryOperator dealt) {
        this.dealt = dealt;
        this.brokenUntil = new long[to.size()];
        this.scenario = scenario;
        this.script = script;
        this.loop = loop;
        this.clock = clock;
        this.ledger = ledger;
        this.counts = counts;
        this.to = new ArrayList<>(to);
        to.forEach(t -> idle.add(new ArrayDeque<>()));
    }

    /** Begins at {@code at}; {@code whenDone} runs on the loop once every order has its end. */
    void start(long at, Runnable whenDone) {
        loop.execute(() -> {
            begun = at;
            then = whenDone;
            step();
        });
    }

    /** Every second order is asked over HTTP/3, by these; before the start. */
    void through(Http3Clients clients) {
        http3 = clients;
    }

    /** That place is another address from here on; null: nobody asks there. */
    void moved(int place, InetSocketAddress address) {
        loop.execute(() -> to.set(place, address));
    }

    /** What is there is killed or stalled, or goes on: no answer in between is not its fault. */
    void broken(int place, boolean on) {
        loop.execute(() -> brokenUntil[place] = on ? Long.MAX_VALUE : clock.now());
    }

    /** Asks nothing more; what is open goes on to its end. */
    void stop() {
        loop.execute(() -> {
            stopped = true;
            ended();
        });
    }

    void close() {
        loop.execute(() -> List.copyOf(connections).forEach(c -> c.channel.close()));
        if (http3 != null) {
            http3.close();
        }
    }

    private void step() {
        long now = clock.now();
        while (!stopped && next < script.size() && begun + script.get(next).at() <= now) {
            open++;
            send(new Asking(script.get(next++)));
        }
        if (!stopped && next < script.size()) {
            loop.schedule(this::step, Math.max(1, begun + script.get(next).at() - clock.now()), TimeUnit.MICROSECONDS);
        } else {
            ended();
        }
    }

    private void ended() {
        if (open == 0 && (stopped || next >= script.size()) && then != null) {
            Runnable once = then;
            then = null;
            once.run();
        }
    }

    private void send(Asking asking) {
        if (http3 != null && asking.order.number() % 2 == 1) {
            http3.ask(asking);
            return;
        }
        int target = dealt.applyAsInt(asking.order.number());
        for (int i = 0; to.get(target) == null && i < to.size(); i++) {
            target = (target + 1) % to.size(); // clients know of those that are away
        }
        if (to.get(target) == null) {
            asking.end(Final.NOT_TAKEN);
            return;
        }
        asking.target = target;
        Connection connection = idle.get(target).pollLast();
        if (connection != null && connection.channel.isActive()) {
            connection.reused = true;
            connection.ask(asking);
        } else if (connection != null) {
            send(asking);
        } else if (connections.size() < scenario.connections()) {
            dial(asking, target);
        } else {
            waiting.add(asking);
        }
    }

    private void dial(Asking asking, int target) {
        Connection connection = new Connection(target);
        connections.add(connection);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2_000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 17), connection);
                    }
                })
                .connect(to.get(target))
                .addListener((io.netty.channel.ChannelFuture done) -> {
                    connection.channel = done.channel();
                    if (done.isSuccess()) {
                        connection.ask(asking);
                    } else {
                        connections.remove(connection);
                        asking.end(Final.NOT_TAKEN); // nobody has seen it
                    }
                });
    }

    private final class Asking implements Http3Clients.Asking {
        final ArrivalSchedule.Order order;
        final Scenario.Kind kind;
        boolean again;
        boolean over;
        int target;
        Future<?> patience;

        Asking(ArrivalSchedule.Order order) {
            this.order = order;
            this.kind = scenario.kinds().get(order.kind());
        }

        long due() {
            return begun + order.at();
        }

        DefaultFullHttpRequest message() {
            boolean safe = kind.effect() == Policy.Effect.SAFE;
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + order.key(),
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY]));
            long left = Math.max(1, (due() + kind.deadline() - clock.now()) / 1000);
            message.headers()
                    .set("Host", "boxes.local")
                    .set("Req-Id", order.id())
                    .set("Req-Kind", kind.name())
                    .set("Req-Deadline-Ms", Long.toString(left))
                    .set("Req-Cost", Long.toString(order.work()));
            if (kind.effect() == Policy.Effect.KEYED) {
                message.headers().set("Idempotency-Key", order.key());
            }
            if (!safe) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY);
            }
            return message;
        }

        @Override
        public Http3Headers head() {
            boolean safe = kind.effect() == Policy.Effect.SAFE;
            Http3Headers head = Http3Clients.head(safe ? "GET" : "POST", "/api/" + order.key());
            long left = Math.max(1, (due() + kind.deadline() - clock.now()) / 1000);
            head.add("req-id", order.id())
                    .add("req-kind", kind.name())
                    .add("req-deadline-ms", Long.toString(left))
                    .add("req-cost", Long.toString(order.work()));
            if (kind.effect() == Policy.Effect.KEYED) {
                head.add("idempotency-key", order.key());
            }
            return safe ? head : head.add("content-length", Integer.toString(BODY));
        }

        @Override
        public byte[] body() {
            return kind.effect() == Policy.Effect.SAFE ? null : new byte[BODY];
        }

        /** Notes that it is on its way, and waits for its answer no longer than its client would. */
        @Override
        public void asked() {
            asked(() -> {});
        }

        void asked(Runnable whenInVain) {
            ledger.asked(order.id(), kind.effect(), clock.now());
            counts.taken(order.kind(), order.work());
            patience = loop.schedule(
                    () -> {
                        end(Final.NONE);
                        whenInVain.run();
                    },
                    due() + kind.deadline() + PATIENCE - clock.now(),
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void ended(Final how, String text) {
            boolean own = how != Final.SERVED || order.id().equals(text);
            if (!own) {
                ledger.note(order.id(), "served with another's answer", clock.now());
            }
            end(own ? how : Final.FAILED);
        }

        void end(Final how) {
            if (over) {
                return;
            }
            over = true;
            if (patience != null) {
                patience.cancel(false);
            }
            long latency = clock.now() - due();
            Final told = how == Final.NONE && brokenUntil[target] >= due() ? Final.LOST : how;
            if (told != Final.NOT_TAKEN) {
                ledger.answered(order.id(), told, clock.now());
            }
            counts.ended(order.kind(), order.work(), told, latency);
            open--;
            LoadGenerator.this.ended();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int target;
        private Channel channel;
        private Asking asking;
        private boolean reused;

        Connection(int target) {
            this.target = target;
        }

        void ask(Asking what) {
            asking = what;
            if (!what.again) {
                what.asked(channel::close);
            }
            channel.writeAndFlush(what.message());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Asking ended = asking;
            asking = null;
            int status = answer.status().code();
            boolean keep = HttpUtil.isKeepAlive(answer);
            if (ended != null) {
                ended.ended(
                        status == 200
                                ? Final.SERVED
                                : status == 503 || status == 429
                                        ? Final.REFUSED
                                        : status >= 400 && status < 500 ? Final.NOT_TAKEN : Final.FAILED,
                        answer.content().toString(StandardCharsets.US_ASCII));
            }
            if (!keep) {
                channel.close();
            } else if (!waiting.isEmpty()) {
                reused = true;
                ask(waiting.poll());
            } else {
                idle.get(target).addLast(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            idle.get(target).remove(this);
            Asking left = asking;
            asking = null;
            if (left != null && !left.over) {
                // An end between two requests may cross the next one, which is then sent once more.
                if (reused && !left.again && !stopped) {
                    left.again = true;
                    ledger.note(left.order.id(), "crossed the end of its connection", clock.now());
                    dial(left, target);
                } else {
                    left.end(Final.NONE);
                }
            }
            if (!waiting.isEmpty() && connections.size() < scenario.connections()) {
                dial(waiting.poll(), target);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
