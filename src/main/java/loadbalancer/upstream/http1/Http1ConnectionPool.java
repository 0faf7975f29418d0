package loadbalancer.upstream.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.connections.ConnectionPermit;
import loadbalancer.connections.Direction;
import loadbalancer.connections.IdleTimeout;
import loadbalancer.http1.BodyWriter;
import loadbalancer.http1.Http1HeaderFields;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.proxy.AttemptTransport.AttemptEffect;
import loadbalancer.proxy.BodyStream;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.DrainGrace;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.SendGuard;
import loadbalancer.proxy.SendPermit;
import loadbalancer.proxy.UpstreamResponse;
import loadbalancer.settings.LoadReport;
import loadbalancer.settings.SettingsReader;

/** The connections to the upstreams, one request at a time on each, and what becomes of each request. */
public final class Http1ConnectionPool implements AttemptTransport {
    private static final AsciiString DEADLINE = AsciiString.cached(ProxyRequest.DEADLINE);
    private static final int READS = 4; // in one turn: none keeps the others waiting
    private static final int READ_MOST = 32 << 10;
    private static final int CONNECT_MS = 1_000; // where the settings give no limit

    private static final class Upstream {
        final String id;
        InetSocketAddress endpoint;
        long stopAt = DrainGrace.NEVER; // when the grace of its drain is over
        final ArrayDeque<Connection> idle = new ArrayDeque<>(); // the most recently used last

        Upstream(String id) {
            this.id = id;
        }
    }

    private final EventLoop loop;
    private SettingsReader.Boot boot;
    private final ConnectionBudget budget;
    private final Clock clock;
    private final PendingUpdates news;
    private final Bootstrap bootstrap;
    private final SocketAddress all; // where every upstream stands, or null
    private IdleTimeout rest;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Future<?> sweep;

    /** {@code news}: of the list, which comes before what is begun. */
    public Http1ConnectionPool(
            EventLoop loop, SettingsReader.Boot boot, ConnectionBudget budget, Clock clock, PendingUpdates news) {
        this(loop, boot, budget, clock, news, null, new IdleTimeout(boot.idleClose()));
    }

    /**
     * The same where all upstreams stand at one socket of the file system; null: each at its own address.
     * {@code rest}: how their idle connections rest, until other settings hold.
     */
    public Http1ConnectionPool(
            EventLoop loop,
            SettingsReader.Boot boot,
            ConnectionBudget budget,
            Clock clock,
            PendingUpdates news,
            SocketAddress all,
            IdleTimeout rest) {
        this.news = news;
        this.all = all;
        this.loop = loop;
        this.boot = boot;
        this.budget = budget;
        this.clock = clock;
        this.rest = rest;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis())
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2_048, READ_MOST).maxMessagesPerRead(READS));
        if (all == null) {
            bootstrap
                    .channelFactory(() -> new TimedChannel(clock))
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
        } else {
            bootstrap.channel(NioDomainSocketChannel.class);
        }
        long every = rest.every();
        sweep = loop.scheduleWithFixedDelay(this::closeOld, every, every, TimeUnit.MICROSECONDS);
    }

    private int connectMillis() {
        long limit = boot.settings().limits().connectTimeout();
        return limit > 0 ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, limit / 1000)) : CONNECT_MS;
    }

    /** Other settings hold from here on. */
    public void reload(SettingsReader.Boot to) {
        boot = to;
        rest = new IdleTimeout(to.idleClose());
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis());
    }

    // ---------------------------------------------------------------- the list

    @Override
    public void updateEndpoints(EndpointUpdate targets, long now) {
        Set<String> named = new HashSet<>();
        for (EndpointUpdate.Endpoint t : targets.list()) {
            named.add(t.server().id());
            Upstream u = upstreams.computeIfAbsent(t.server().id(), Upstream::new);
            if (t.endpoint() != null && !t.endpoint().equals(u.endpoint)) {
                closeIdle(u);
                u.endpoint = t.endpoint();
            }
            if (t.server().state() == Policy.State.UP) {
                u.stopAt = DrainGrace.NEVER;
            } else {
                stop(u, now);
            }
        }
        if (targets.all()) {
            upstreams.values().stream().filter(u -> !named.contains(u.id)).forEach(u -> stop(u, now));
        }
    }

    private void stop(Upstream u, long now) {
        u.stopAt = DrainGrace.stopAt(u.stopAt, now, boot.settings().bounds().drainGrace());
        closeIdle(u);
    }

    // ---------------------------------------------------------------- attempts and probes

    @Override
    public Attempt send(String server, ProxyRequest order, long wait, long before, Listener listener) {
        return start(server, new Call(order, Math.max(1, wait / 1000), before, listener));
    }

    @Override
    public boolean isConnected(String server) {
        Upstream u = upstreams.get(server);
        return u != null && ready(u) != null;
    }

    // The one used last of those that have settled: those before it have rested for longer.
    private Connection ready(Upstream u) {
        for (Iterator<Connection> i = u.idle.descendingIterator(); i.hasNext(); ) {
            Connection c = i.next();
            if (c.settled() && c.usable()) {
                return c;
            }
        }
        return null;
    }

    /** Gives up after the time that a connection may take. */
    @Override
    public void probe(String server, boolean report, Listener listener) {
        ProxyRequest order = new ProxyRequest(
                "",
                "GET",
                report ? "/-/load" : "/-/healthy",
                HeaderFields.NONE,
                new byte[0],
                -1,
                0,
                null,
                0,
                -1,
                false);
        Call call = new Call(order, 0, Long.MAX_VALUE, listener);
        call.timer = loop.schedule(
                () -> {
                    boolean asked = call.cancel() == AttemptEffect.MAY_HAVE_RUN;
                    listener.ended(asked ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, null, null);
                },
                connectMillis(),
                TimeUnit.MILLISECONDS);
        start(server, call);
    }

    private Call start(String server, Call call) {
        Upstream u = upstreams.get(server);
        if (u == null || u.endpoint == null || clock.now() >= u.stopAt) {
            call.end(Outcome.NOT_SENT, null, null);
            return call;
        }
        Connection ready = ready(u);
        if (ready != null) {
            u.idle.remove(ready);
            ready.call = call;
            call.connection = ready;
            ready.goSoon();
        } else {
            dial(u, call);
        }
        return call;
    }

    private void dial(Upstream u, Call call) {
        if (!budget.evictToAdmit(Direction.UPSTREAM, System.nanoTime())) {
            // Our own want of room: no failure of that upstream's, and nothing has run.
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        Connection connection = new Connection(u);
        connection.call = call;
        call.connection = connection;
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder(), connection.reader.decoder(), connection.reader);
                    }
                })
                .connect(all == null ? u.endpoint : all);
        connection.channel = connected.channel();
        connection.channel.closeFuture().addListener(closed -> connection.closed());
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                connection.finish(Outcome.CONNECT_FAILED, null, null);
                connection.channel.close();
            } else {
                connection.goSoon();
            }
        });
    }

    // ---------------------------------------------------------------- idle connections

    @Override
    public void closeIdle(String server) {
        Upstream u = upstreams.get(server);
        if (u != null) {
            closeIdle(u);
        }
    }

    private static void closeIdle(Upstream u) {
        for (Connection c = u.idle.pollFirst(); c != null; c = u.idle.pollFirst()) {
            c.close();
        }
    }

    // Closes connections well before their upstream does: a request written to a dying one is a reset, which
    // may have run, and most classes can't be sent again then. Spare ones go sooner.
    private void closeOld() {
        // Guards against a table that grows with every machine that comes and goes.
        long now = clock.now();
        upstreams.values().removeIf(u -> u.stopAt < now - DrainGrace.FORGET);
        for (Upstream u : upstreams.values()) {
            for (Connection c = u.idle.peekFirst();
                    c != null && (!c.channel.isActive() || rest.ends(now - c.idleSince, u.idle.size() - 1));
                    c = u.idle.peekFirst()) {
                c.close();
            }
        }
    }

    /** Closes all that is idle, now and from here on. */
    public void close() {
        sweep.cancel(false);
        for (Upstream u : upstreams.values()) {
            u.stopAt = Long.MIN_VALUE;
            closeIdle(u);
        }
    }

    /** A request on its way to an upstream. */
    private static final class Call implements Attempt {
        private final ProxyRequest order;
        private final long waitMillis; // 0: not told to the upstream
        private final long before; // µs: from then on it is not begun
        private final Listener listener;
        private Connection connection;
        private Future<?> timer;
        private boolean ended;

        private Call(ProxyRequest order, long waitMillis, long before, Listener listener) {
            this.before = before;
            this.order = order;
            this.waitMillis = waitMillis;
            this.listener = listener;
        }

        /**
         * Stops waiting and tells nobody; a connection that holds any of the request is closed. It may have
         * run if its last byte has been written.
         */
        @Override
        public AttemptEffect cancel() {
            Connection c = connection;
            if (ended || c == null) {
                return AttemptEffect.NEVER_RAN;
            }
            ended = true;
            boolean mayHaveRun = c.written;
            c.call = null;
            connection = null;
            if (c.begun) {
                c.close();
            }
            return mayHaveRun ? AttemptEffect.MAY_HAVE_RUN : AttemptEffect.NEVER_RAN;
        }

        @Override
        public boolean withdraw() {
            if (ended || connection.written) {
                return false;
            }
            cancel();
            return true;
        }

        private void end(Outcome outcome, UpstreamResponse answer, Policy.Load load) {
            if (timer != null) {
                timer.cancel(false);
            }
            if (!ended) {
                ended = true;
                connection = null;
                listener.ended(outcome, answer, load);
            }
        }

        private HttpRequest message(InetSocketAddress to) {
            HttpHeaders headers = Http1HeaderFields.of(order.fields(), Addresses.text(to));
            if (waitMillis > 0) {
                headers.set(DEADLINE, Long.toString(waitMillis));
            }
            if (order.rest() != null) {
                if (order.length() < 0) {
                    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                } else {
                    headers.set(HttpHeaderNames.CONTENT_LENGTH, order.length());
                }
                return new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(order.method()), order.uri(), headers);
            }
            if (order.body().length > 0 || !order.method().equals("GET")) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, order.body().length);
            }
            return new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(order.method()),
                    order.uri(),
                    Unpooled.wrappedBuffer(order.body()),
                    headers,
                    EmptyHttpHeaders.INSTANCE);
        }
    }

    /** One connection; it carries one request at a time, and is idle where {@code call} is null. */
    private final class Connection implements ResponseDecoder.Taker {
        private final Upstream upstream;
        private final InetSocketAddress endpoint;
        private final ResponseDecoder reader = new ResponseDecoder(this);
        private final ConnectionPermit lease;
        private Channel channel;
        private Call call;
        private boolean begun; // some of the request may have been written
        private boolean written; // all of it has been
        private boolean rested; // it has been idle
        private long idleSince;

        Connection(Upstream upstream) {
            this.upstream = upstream;
            this.endpoint = upstream.endpoint;
            this.lease = budget.openUpstream(this::close, System.nanoTime());
        }

        boolean settled() {
            return rest.settled(clock.now() - idleSince);
        }

        boolean usable() {
            return channel.isActive() && rest.usable(clock.now() - idleSince);
        }

        // Behind this pass over the sockets, in which its end may lie, and behind news of the list where the
        // loop has stood still since the module decided; never from within a read of a client's connection.
        void goSoon() {
            loop.execute(() -> news.afterUpdates(this::go));
        }

        // It stands, and news of the list has been read.
        private void go() {
            if (!channel.isActive()) {
                return; // it has ended meanwhile, and closed() has told so
            }
            if (call == null) {
                rest(); // its attempt was given up meanwhile: the handshake is paid for
                return;
            }
            SendPermit permit = permit();
            if (!channel.isActive()) {
                return;
            }
            if (call != null && permit.granted()) {
                write(call, permit);
            } else {
                finish(permit.refusal(), null, null);
                rest(); // closes it where its upstream drains or has moved
            }
        }

        // The look at its client may withdraw the call.
        private SendPermit permit() {
            long awaitedUntil = call.listener.awaitedUntil();
            long before = call == null ? Long.MIN_VALUE : call.before;
            return SendGuard.decide(
                    clock.now(),
                    awaitedUntil,
                    before,
                    upstream.stopAt,
                    !endpoint.equals(upstream.endpoint),
                    news.graceHolds());
        }

        private void write(Call next, SendPermit permit) {
            next.connection = this;
            begun = true;
            written = false;
            budget.requestReceived(lease, System.nanoTime());
            reader.expect();
            if (next.order.rest() != null) {
                upload(next, permit);
                return;
            }
            ChannelFuture last = channel.write(next.message(endpoint));
            if (leaves(permit)) {
                sent(next, last);
            }
        }

        // What has been made ready leaves now, unless the process stood still for too long meanwhile: then
        // none of it has, or does, and news of the list comes before all that is begun anew.
        private boolean leaves(SendPermit permit) {
            if (clock.now() < permit.until()) {
                within(permit.until(), call);
                channel.flush();
                return true;
            }
            Call unbegun = call;
            call = null;
            close();
            start(upstream.id, unbegun);
            return false;
        }

        // What is flushed next leaves before then: a stop from here on fails it, unwritten.
        private void within(long until, Call next) {
            if (channel instanceof TimedChannel timed) {
                timed.within(until, next.listener::heldUp);
            }
        }

        private void sent(Call next, ChannelFuture last) {
            last.addListener(done -> {
                if (call == next) {
                    written = done.isSuccess();
                    if (!written) {
                        finish(Outcome.CONNECT_FAILED, null, null);
                        close();
                    }
                }
            });
        }

        // Its last byte is that of the last piece; one whose client breaks off never runs.
        private void upload(Call next, SendPermit permit) {
            BodyWriter sink = new BodyWriter(channel);
            sink.begin(next.message(endpoint), next.order.body());
            if (leaves(permit) && call == next) { // else it has broken at its first bytes
                next.order.rest().subscribe(new Upload(next, sink));
            }
        }

        /** The rest of a long body. Its last piece is held back until its client is known to be there. */
        private final class Upload implements BodyStream.Taker {
            private final Call next;
            private final BodyWriter sink;
            private long left; // bytes until the last; many where that is not known
            private byte[] last;
            private ChannelFuture flushed; // of the piece before it, if any

            Upload(Call next, BodyWriter sink) {
                this.next = next;
                this.sink = sink;
                long length = next.order.length();
                left = length < 0 ? Long.MAX_VALUE : length - next.order.body().length;
            }

            @Override
            public void onData(byte[] bytes) {
                left -= bytes.length;
                if (left <= 0) {
                    last = bytes;
                    return;
                }
                flushed = sink.write(bytes);
                if (!sink.room()) {
                    next.order.rest().setReady(false);
                }
            }

            @Override
            public void onComplete() {
                if (flushed == null) {
                    loop.execute(this::finish);
                } else {
                    flushed.addListener(done -> loop.execute(this::finish));
                }
            }

            private void finish() {
                if (call != next) {
                    return;
                }
                long until = next.listener.awaitedUntil();
                if (call != next) { // withdrawn: its client has gone
                    return;
                }
                if (last != null) {
                    sink.write(last);
                }
                within(until, next);
                sent(next, sink.end());
            }

            @Override
            public void onError() {
                if (call == next) {
                    Connection.this.finish(Outcome.NOT_SENT, null, null);
                    Connection.this.close();
                }
            }
        }

        @Override
        public void writable(boolean now) {
            if (call != null && call.order.rest() != null && !written) {
                call.order.rest().setReady(now);
            }
        }

        @Override
        public boolean passes() {
            return call != null && call.order.passes();
        }

        @Override
        public void began(UpstreamResponse answer) {
            if (AttemptOutcomeRules.isForged(answer.outcome(), written)) {
                finish(Outcome.RESET, null, null);
                close();
                return;
            }
            Call answered = call;
            call = null;
            answered.end(
                    answer.outcome(), answer, LoadReport.parse(answer.fields().get("Srv-Load")));
        }

        @Override
        public void passed(boolean usable) {
            if (written && usable) {
                rest();
            } else {
                close();
            }
        }

        void rest() {
            begun = false;
            written = false;
            idleSince = clock.now();
            // Another address now: who listens at the old one is another upstream, if any.
            if (upstream.stopAt < DrainGrace.NEVER || !endpoint.equals(upstream.endpoint)) {
                close();
            } else {
                rested = true;
                upstream.idle.addLast(this);
                budget.becameIdle(lease, System.nanoTime());
            }
        }

        void finish(Outcome outcome, UpstreamResponse answer, Policy.Load load) {
            Call ending = call;
            call = null;
            if (ending != null) {
                ending.end(outcome, answer, load);
            }
        }

        void close() {
            upstream.idle.remove(this);
            channel.close();
        }

        @Override
        public void answered(UpstreamResponse answer, boolean usable) {
            if (call != null && AttemptOutcomeRules.isForged(answer.outcome(), written)) {
                finish(Outcome.RESET, null, null);
                close();
                return;
            }
            Call answered = call;
            call = null;
            // Back among the idle before the module hears of it: its next send may want this one.
            if (written && usable && answered != null) {
                rest();
            } else {
                close();
            }
            if (answered == null) {
                return;
            }
            String report = answer.fields().get("Srv-Load");
            if (report == null && answered.waitMillis == 0) {
                report = new String(answer.body(), StandardCharsets.UTF_8); // of a probe
            }
            answered.end(answer.outcome(), answer, LoadReport.parse(report));
        }

        @Override
        public void spoilt() {
            close(); // what became of the request is told in closed()
        }

        private void closed() {
            budget.closed(lease, System.nanoTime());
            upstream.idle.remove(this);
            reader.ended();
            if (call != null && AttemptOutcomeRules.goesOver(rested, begun)) {
                Call unbegun = call;
                call = null;
                start(upstream.id, unbegun);
            } else {
                finish(AttemptOutcomeRules.broken(written), null, null);
            }
        }
    }
}
