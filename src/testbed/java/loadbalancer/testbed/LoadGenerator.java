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
import loadbalancer.testbed.Ledger.RequestOutcome;

/**
 * Clients over HTTP/1.1 with open arrivals: each request is sent when it is due, whatever became of the ones
 * before, and its latency counts from that time, so that a stall is not left out of the figures (coordinated
 * omission). Several addresses are used in rotation unless the caller says otherwise. On one event loop.
 */
final class LoadGenerator {
    /**
     * µs beyond a request's deadline after which its client gives up: more than the delays of a busy machine.
     */
    static final long CLIENT_TIMEOUT_MICROS = 500_000;

    private static final int BODY_BYTES = 200;

    private final Scenario scenario;
    private final List<ArrivalSchedule.ScheduledRequest> schedule;
    private final EventLoop loop;
    private final Clock clock;
    private final Ledger ledger;
    private final RequestCounts counts;
    private final List<InetSocketAddress> targets; // null: no requests there for now
    private final IntUnaryOperator targetOf; // the index among these for the number of a request
    private final long[] brokenUntil; // until when each target is, or was, killed or stalled
    private final List<ArrayDeque<Connection>> idle = new ArrayList<>();
    private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
    private final Set<Connection> connections = new HashSet<>();
    private long startedAt;
    private int next;
    private int openRequests;
    private boolean stopped;
    private Runnable onDone;
    private Http3Clients http3; // null where all clients speak HTTP/1.1

    LoadGenerator(
            Scenario scenario,
            List<ArrivalSchedule.ScheduledRequest> schedule,
            EventLoop loop,
            Clock clock,
            Ledger ledger,
            RequestCounts counts,
            List<InetSocketAddress> targets) {
        this(scenario, schedule, loop, clock, ledger, counts, targets, request -> request % targets.size());
    }

    LoadGenerator(
            Scenario scenario,
            List<ArrivalSchedule.ScheduledRequest> schedule,
            EventLoop loop,
            Clock clock,
            Ledger ledger,
            RequestCounts counts,
            List<InetSocketAddress> targets,
            IntUnaryOperator targetOf) {
        this.targetOf = targetOf;
        this.brokenUntil = new long[targets.size()];
        this.scenario = scenario;
        this.schedule = schedule;
        this.loop = loop;
        this.clock = clock;
        this.ledger = ledger;
        this.counts = counts;
        this.targets = new ArrayList<>(targets);
        targets.forEach(t -> idle.add(new ArrayDeque<>()));
    }

    /** Starts the load at {@code at} (µs); {@code whenDone} runs on the loop once every request has ended. */
    void start(long at, Runnable whenDone) {
        loop.execute(() -> {
            startedAt = at;
            onDone = whenDone;
            sendDue();
        });
    }

    /** Sends every second request over HTTP/3, by these clients; before the start. */
    void through(Http3Clients clients) {
        http3 = clients;
    }

    /** Replaces the address of a target; null: no requests are sent to it. */
    void moved(int place, InetSocketAddress address) {
        loop.execute(() -> targets.set(place, address));
    }

    /** A target is killed or stalled by the run, or works again: missing responses in between are its doing. */
    void broken(int place, boolean on) {
        loop.execute(() -> brokenUntil[place] = on ? Long.MAX_VALUE : clock.now());
    }

    /** Sends no more requests; open ones go on to their end. */
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

    private void sendDue() {
        long now = clock.now();
        while (!stopped
                && next < schedule.size()
                && startedAt + schedule.get(next).atMicros() <= now) {
            openRequests++;
            send(new PendingRequest(schedule.get(next++)));
        }
        if (!stopped && next < schedule.size()) {
            loop.schedule(
                    this::sendDue,
                    Math.max(1, startedAt + schedule.get(next).atMicros() - clock.now()),
                    TimeUnit.MICROSECONDS);
        } else {
            ended();
        }
    }

    private void ended() {
        if (openRequests == 0 && (stopped || next >= schedule.size()) && onDone != null) {
            Runnable once = onDone;
            onDone = null;
            once.run();
        }
    }

    private void send(PendingRequest pending) {
        if (http3 != null && pending.request.number() % 2 == 1) {
            http3.send(pending);
            return;
        }
        int target = targetOf.applyAsInt(pending.request.number());
        for (int i = 0; targets.get(target) == null && i < targets.size(); i++) {
            target = (target + 1) % targets.size(); // clients know which targets are down
        }
        if (targets.get(target) == null) {
            pending.end(RequestOutcome.NOT_TAKEN);
            return;
        }
        pending.target = target;
        Connection connection = idle.get(target).pollLast();
        if (connection != null && connection.channel.isActive()) {
            connection.reused = true;
            connection.send(pending);
        } else if (connection != null) {
            send(pending);
        } else if (connections.size() < scenario.connections()) {
            dial(pending, target);
        } else {
            waiting.add(pending);
        }
    }

    private void dial(PendingRequest pending, int target) {
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
                .connect(targets.get(target))
                .addListener((io.netty.channel.ChannelFuture done) -> {
                    connection.channel = done.channel();
                    if (done.isSuccess()) {
                        connection.send(pending);
                    } else {
                        connections.remove(connection);
                        pending.end(RequestOutcome.NOT_TAKEN); // no server has seen it
                    }
                });
    }

    private final class PendingRequest implements Http3Clients.ClientRequest {
        final ArrivalSchedule.ScheduledRequest request;
        final Scenario.RequestClass requestClass;
        boolean retried;
        boolean completed;
        int target;
        Future<?> timeout;

        PendingRequest(ArrivalSchedule.ScheduledRequest request) {
            this.request = request;
            this.requestClass = scenario.classes().get(request.classIndex());
        }

        long dueAt() {
            return startedAt + request.atMicros();
        }

        DefaultFullHttpRequest message() {
            boolean safe = requestClass.effect() == Policy.Effect.SAFE;
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + request.key(),
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
            long remainingMillis = Math.max(1, (dueAt() + requestClass.deadlineMicros() - clock.now()) / 1000);
            message.headers()
                    .set("Host", "boxes.local")
                    .set("Req-Id", request.id())
                    .set("Req-Kind", requestClass.name())
                    .set("Req-Deadline-Ms", Long.toString(remainingMillis))
                    .set("Req-Cost", Long.toString(request.workMicros()));
            if (requestClass.effect() == Policy.Effect.KEYED) {
                message.headers().set("Idempotency-Key", request.key());
            }
            if (!safe) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
            }
            return message;
        }

        @Override
        public Http3Headers head() {
            boolean safe = requestClass.effect() == Policy.Effect.SAFE;
            Http3Headers head = Http3Clients.head(safe ? "GET" : "POST", "/api/" + request.key());
            long remainingMillis = Math.max(1, (dueAt() + requestClass.deadlineMicros() - clock.now()) / 1000);
            head.add("req-id", request.id())
                    .add("req-kind", requestClass.name())
                    .add("req-deadline-ms", Long.toString(remainingMillis))
                    .add("req-cost", Long.toString(request.workMicros()));
            if (requestClass.effect() == Policy.Effect.KEYED) {
                head.add("idempotency-key", request.key());
            }
            return safe ? head : head.add("content-length", Integer.toString(BODY_BYTES));
        }

        @Override
        public byte[] body() {
            return requestClass.effect() == Policy.Effect.SAFE ? null : new byte[BODY_BYTES];
        }

        /** Records that it is being sent, and waits for its response no longer than its client would. */
        @Override
        public void recordSent() {
            recordSent(() -> {});
        }

        void recordSent(Runnable onTimeout) {
            ledger.recordSent(request.id(), requestClass.effect(), clock.now());
            counts.recordTaken(request.classIndex(), request.workMicros());
            timeout = loop.schedule(
                    () -> {
                        end(RequestOutcome.NONE);
                        onTimeout.run();
                    },
                    dueAt() + requestClass.deadlineMicros() + CLIENT_TIMEOUT_MICROS - clock.now(),
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void ended(RequestOutcome how, String text) {
            boolean own = how != RequestOutcome.SERVED || request.id().equals(text);
            if (!own) {
                ledger.note(request.id(), "served with another's answer", clock.now());
            }
            end(own ? how : RequestOutcome.FAILED);
        }

        void end(RequestOutcome how) {
            if (completed) {
                return;
            }
            completed = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
            long latency = clock.now() - dueAt();
            RequestOutcome recorded =
                    how == RequestOutcome.NONE && brokenUntil[target] >= dueAt() ? RequestOutcome.LOST : how;
            if (recorded != RequestOutcome.NOT_TAKEN) {
                ledger.recordOutcome(request.id(), recorded, clock.now());
            }
            counts.recordEnd(request.classIndex(), request.workMicros(), recorded, latency);
            openRequests--;
            LoadGenerator.this.ended();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int target;
        private Channel channel;
        private PendingRequest pending;
        private boolean reused;

        Connection(int target) {
            this.target = target;
        }

        void send(PendingRequest next) {
            pending = next;
            if (!next.retried) {
                next.recordSent(channel::close);
            }
            channel.writeAndFlush(next.message());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            PendingRequest ended = pending;
            pending = null;
            int status = answer.status().code();
            boolean keep = HttpUtil.isKeepAlive(answer);
            if (ended != null) {
                ended.ended(
                        status == 200
                                ? RequestOutcome.SERVED
                                : status == 503 || status == 429
                                        ? RequestOutcome.REFUSED
                                        : status >= 400 && status < 500
                                                ? RequestOutcome.NOT_TAKEN
                                                : RequestOutcome.FAILED,
                        answer.content().toString(StandardCharsets.US_ASCII));
            }
            if (!keep) {
                channel.close();
            } else if (!waiting.isEmpty()) {
                reused = true;
                send(waiting.poll());
            } else {
                idle.get(target).addLast(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            idle.get(target).remove(this);
            PendingRequest lost = pending;
            pending = null;
            if (lost != null && !lost.completed) {
                // The close of an idle connection may cross the next request, which is then retried.
                if (reused && !lost.retried && !stopped) {
                    lost.retried = true;
                    ledger.note(lost.request.id(), "crossed the end of its connection", clock.now());
                    dial(lost, target);
                } else {
                    lost.end(RequestOutcome.NONE);
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
