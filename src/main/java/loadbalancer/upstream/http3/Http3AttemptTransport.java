package loadbalancer.upstream.http3;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.quic.QuicSslContext;
import io.netty.handler.codec.quic.QuicSslContextBuilder;
import io.netty.handler.codec.quic.QuicSslEngine;
import io.netty.util.AttributeKey;
import java.net.Inet6Address;
import java.net.InetSocketAddress;
import java.security.cert.X509Certificate;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.State;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.DrainGrace;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.settings.SettingsReader;

/**
 * Attempts over HTTP/3 to those upstreams that speak it, over another carrier to all others and where HTTP/3
 * fails for a while: a request that may have run on one is never carried by the other as the same attempt.
 * One UDP socket for all upstreams. On the event loop.
 */
public final class Http3AttemptTransport implements AttemptTransport {
    /**
     * {@code trust}: who signs their certificates; {@code serverName}: null where these name addresses;
     * {@code named}: whether they are held to it; {@code idle} in ms.
     */
    public record Limits(
            Http3ConnectionPlan.Limits plan,
            List<X509Certificate> trust,
            String serverName,
            long idle,
            boolean named) {}

    private static final long LOOK_MS = 250; // between looks for connections at rest
    private static final long FAREWELL_MS = 100; // for the last packets to leave
    private static final long CONNECT = 1_000_000; // µs, where the settings give no limit
    private static final long WINDOW = 16L * ProxyRequest.BODY_MOST;
    private static final int CONTROL_STREAMS = 3;
    private static final int CONTROL_WINDOW = 4 * 1024;
    private static final int DATAGRAM = 1_350;
    static final AttributeKey<InetSocketAddress> PEER = AttributeKey.valueOf("loadbalancer.http3.peer");

    final EventLoop loop;
    final Clock clock;
    final PendingUpdates news;
    final Limits limits;
    private final AttemptTransport other;
    private final SettingsReader.Boot boot;
    private final Consumer<String> log;
    private final Map<String, Http3Upstream> boxes = new HashMap<>();
    private final QuicSslContext context;
    private final Future<?> sweep;
    private ChannelFuture socket4;
    private ChannelFuture socket6;

    /**
     * {@code news}: of the list, which comes before what is begun; {@code other} carries what HTTP/3 doesn't,
     * null: nothing does; {@code log} must not block.
     */
    public Http3AttemptTransport(
            EventLoop loop,
            SettingsReader.Boot boot,
            Clock clock,
            PendingUpdates news,
            AttemptTransport other,
            Limits limits,
            Consumer<String> log) {
        this.loop = loop;
        this.news = news;
        this.boot = boot;
        this.clock = clock;
        this.other = other;
        this.limits = limits;
        this.log = log;
        context = QuicSslContextBuilder.forClient()
                .trustManager(limits.trust().toArray(X509Certificate[]::new))
                .endpointIdentificationAlgorithm(limits.named() ? "HTTPS" : "")
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .earlyData(false)
                .build();
        sweep = loop.scheduleWithFixedDelay(this::closeOld, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    long connectMicros() {
        long limit = boot.settings().limits().connectTimeout();
        return limit > 0 ? limit : CONNECT;
    }

    void log(String line) {
        log.accept(line);
    }

    // One socket for all upstreams of a family of addresses, opened with the first use.
    ChannelFuture socket(InetSocketAddress to) {
        boolean six = to.getAddress() instanceof Inet6Address;
        ChannelFuture bound = six ? socket6 : socket4;
        if (bound != null && bound.channel().isOpen()) {
            return bound;
        }
        ChannelHandler codec = Http3.newQuicClientCodecBuilder()
                .sslEngineProvider(connection -> engine(connection.attr(PEER).get(), connection.alloc()))
                .maxIdleTimeout(limits.idle(), TimeUnit.MILLISECONDS)
                .maxSendUdpPayloadSize(DATAGRAM)
                .maxRecvUdpPayloadSize(DATAGRAM)
                .initialMaxData(WINDOW)
                .initialMaxStreamDataBidirectionalLocal(ProxyRequest.BODY_MOST)
                .initialMaxStreamDataUnidirectional(CONTROL_WINDOW)
                .initialMaxStreamsUnidirectional(CONTROL_STREAMS)
                .initialMaxStreamsBidirectional(0)
                .build();
        bound = new Bootstrap()
                .group(loop)
                .channelFactory(
                        () -> new NioDatagramChannel(six ? SocketProtocolFamily.INET6 : SocketProtocolFamily.INET))
                .handler(codec)
                .bind(new InetSocketAddress(six ? "::" : "0.0.0.0", 0));
        if (six) {
            socket6 = bound;
        } else {
            socket4 = bound;
        }
        return bound;
    }

    private QuicSslEngine engine(InetSocketAddress peer, io.netty.buffer.ByteBufAllocator alloc) {
        String name = limits.serverName() == null ? peer.getAddress().getHostAddress() : limits.serverName();
        return context.newEngine(alloc, name, peer.getPort());
    }

    // ---------------------------------------------------------------- the list

    @Override
    public void updateEndpoints(EndpointUpdate targets, long now) {
        if (other != null) {
            other.updateEndpoints(targets, now);
        }
        Set<String> named = new HashSet<>();
        for (EndpointUpdate.Endpoint t : targets.list()) {
            String id = t.server().id();
            named.add(id);
            Http3Upstream box = boxes.get(id);
            if (box != null && !box.endpoint().equals(t.http3())) {
                box.retire();
                boxes.remove(id);
                box = null;
            }
            if (box == null && t.http3() != null) {
                box = new Http3Upstream(this, id, t.http3(), new Http3ConnectionPlan(limits.plan()));
                boxes.put(id, box);
            }
            if (box != null && t.server().state() == State.UP) {
                box.stopAt(DrainGrace.NEVER);
            } else if (box != null) {
                stop(box, now);
            }
        }
        if (targets.all()) {
            boxes.values().stream().filter(b -> !named.contains(b.id())).forEach(b -> stop(b, now));
        }
    }

    private void stop(Http3Upstream box, long now) {
        box.stopAt(DrainGrace.stopAt(box.stopAt(), now, boot.settings().bounds().drainGrace()));
    }

    // ---------------------------------------------------------------- attempts and probes

    @Override
    public Attempt send(String server, ProxyRequest order, long wait, long before, Listener listener) {
        Http3Upstream box = boxes.get(server);
        if (box == null || order.rest() != null && other != null) { // uploads go over HTTP/1.1
            return other.send(server, order, wait, before, listener);
        }
        Http3ConnectionPlan.Choice choice = clock.now() >= box.stopAt() ? null : box.choose();
        if (choice != null && choice.way() == Http3ConnectionPlan.Way.HTTP1 && other != null) {
            return other.send(server, order, wait, before, listener);
        }
        Http3Attempt call = new Http3Attempt(this, box, order, Math.max(1, wait / 1000), before, listener);
        if (choice == null || choice.way() == Http3ConnectionPlan.Way.HTTP1 || order.rest() != null) {
            call.end(Outcome.NOT_SENT, null, null);
        } else {
            box.carry(choice, call);
        }
        return call;
    }

    @Override
    public boolean isConnected(String server) {
        Http3Upstream box = boxes.get(server);
        if (box != null && !box.plan().isFailing()) {
            return box.plan().isConnected();
        }
        return other != null && other.isConnected(server);
    }

    /** Gives up after the time that a connection may take. */
    @Override
    public void probe(String server, boolean report, Listener listener) {
        Http3Upstream box = boxes.get(server);
        Http3ConnectionPlan.Choice choice = box == null || clock.now() >= box.stopAt() ? null : box.choose();
        if (choice == null || choice.way() == Http3ConnectionPlan.Way.HTTP1) {
            other.probe(server, report, listener);
            return;
        }
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
        Http3Attempt call = new Http3Attempt(this, box, order, 0, Long.MAX_VALUE, listener);
        call.giveUpAfter(connectMicros());
        box.carry(choice, call);
    }

    @Override
    public void closeIdle(String server) {
        other.closeIdle(server);
        Http3Upstream box = boxes.get(server);
        if (box != null) {
            box.closeIdle(clock.now());
        }
    }

    private void closeOld() {
        long now = clock.now();
        boxes.values().removeIf(b -> b.stopAt() < now - DrainGrace.FORGET && b.isEmpty());
        // Well before the upstream's own idle time-out: a request on a dying connection may have run.
        boxes.values().forEach(b -> b.closeIdle(now - limits.idle() * 1000 / 2));
    }

    /** Ends all connections, whatever they hold, and then their sockets. */
    public void end() {
        sweep.cancel(false);
        boxes.values().forEach(Http3Upstream::end);
        loop.schedule(
                () -> {
                    for (ChannelFuture socket : new ChannelFuture[] {socket4, socket6}) {
                        if (socket != null) {
                            socket.channel().close();
                        }
                    }
                },
                FAREWELL_MS,
                TimeUnit.MILLISECONDS);
    }
}
