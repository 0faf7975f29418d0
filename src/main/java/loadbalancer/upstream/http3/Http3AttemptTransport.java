package loadbalancer.upstream.http3;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
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
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.HealthCheck;

/**
 * Attempts over HTTP/3 to those upstreams that speak it, and over another transport to all others and while
 * HTTP/3 fails: a request that may have run over one is never sent over the fallback as the same attempt. One
 * UDP socket for all upstreams of an address family. On the event loop.
 */
public final class Http3AttemptTransport implements AttemptTransport {
    /**
     * What holds for all connections.
     *
     * @param plan how many connections and streams there may be to one upstream
     * @param trust the certificates of those who sign the upstreams'
     * @param serverName the name in the upstreams' certificates; null where they name addresses
     * @param idle the idle timeout of a connection, in ms (RFC 9000, section 10.1)
     * @param named whether the name in a certificate is verified
     */
    public record Limits(
            Http3ConnectionPlan.Limits plan,
            List<X509Certificate> trust,
            String serverName,
            long idle,
            boolean named) {}

    static final AttributeKey<InetSocketAddress> PEER = AttributeKey.valueOf("loadbalancer.http3.peer");

    private static final long SWEEP_MILLIS = 250; // between two looks for idle connections
    private static final long CLOSE_MILLIS = 100; // for the last packets to leave
    private static final long DEFAULT_CONNECT_MICROS = 1_000_000; // where the settings give no limit
    private static final long CONNECTION_WINDOW_BYTES = 16L * ProxyRequest.MAX_BUFFERED_BODY_BYTES;
    private static final int MAX_UNIDIRECTIONAL_STREAMS = 3; // control and the two of QPACK (RFC 9114, section 6.2)
    private static final int UNIDIRECTIONAL_WINDOW_BYTES = 4 * 1024;
    private static final int MAX_DATAGRAM_BYTES = 1_350;

    final EventLoop loop;
    final Clock clock;
    final PendingUpdates updates;
    final Limits limits;
    private final AttemptTransport fallback;
    private final SettingsReader.Boot boot;
    private final Consumer<String> log;
    private final Map<String, Http3Upstream> upstreams = new HashMap<>();
    private final QuicSslContext context;
    private final Future<?> sweep;
    private ChannelFuture ipv4Socket;
    private ChannelFuture ipv6Socket;

    /**
     * Opens no socket yet.
     *
     * @param updates of the endpoint list, which are read before an attempt starts
     * @param fallback the transport of all that HTTP/3 doesn't carry; null: there is none
     * @param log takes lines for the operators, and must not block
     */
    public Http3AttemptTransport(
            EventLoop loop,
            SettingsReader.Boot boot,
            Clock clock,
            PendingUpdates updates,
            AttemptTransport fallback,
            Limits limits,
            Consumer<String> log) {
        this.loop = loop;
        this.updates = updates;
        this.boot = boot;
        this.clock = clock;
        this.fallback = fallback;
        this.limits = limits;
        this.log = log;
        context = QuicSslContextBuilder.forClient()
                .trustManager(limits.trust().toArray(X509Certificate[]::new))
                .endpointIdentificationAlgorithm(limits.named() ? "HTTPS" : "")
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .earlyData(false)
                .build();
        sweep = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    long connectMicros() {
        long limit = boot.settings().limits().connectTimeoutMicros();
        return limit > 0 ? limit : DEFAULT_CONNECT_MICROS;
    }

    void log(String line) {
        log.accept(line);
    }

    /** The socket of all upstreams of the address family of {@code to}; opened with the first use. */
    ChannelFuture socket(InetSocketAddress to) {
        boolean ipv6 = to.getAddress() instanceof Inet6Address;
        ChannelFuture bound = ipv6 ? ipv6Socket : ipv4Socket;
        if (bound != null && bound.channel().isOpen()) {
            return bound;
        }
        ChannelHandler codec = Http3.newQuicClientCodecBuilder()
                .sslEngineProvider(connection -> engine(connection.attr(PEER).get(), connection.alloc()))
                .maxIdleTimeout(limits.idle(), TimeUnit.MILLISECONDS)
                .maxSendUdpPayloadSize(MAX_DATAGRAM_BYTES)
                .maxRecvUdpPayloadSize(MAX_DATAGRAM_BYTES)
                .initialMaxData(CONNECTION_WINDOW_BYTES)
                .initialMaxStreamDataBidirectionalLocal(ProxyRequest.MAX_BUFFERED_BODY_BYTES)
                .initialMaxStreamDataUnidirectional(UNIDIRECTIONAL_WINDOW_BYTES)
                .initialMaxStreamsUnidirectional(MAX_UNIDIRECTIONAL_STREAMS)
                .initialMaxStreamsBidirectional(0)
                .build();
        bound = new Bootstrap()
                .group(loop)
                .channelFactory(
                        () -> new NioDatagramChannel(ipv6 ? SocketProtocolFamily.INET6 : SocketProtocolFamily.INET))
                .handler(codec)
                .bind(new InetSocketAddress(ipv6 ? "::" : "0.0.0.0", 0));
        if (ipv6) {
            ipv6Socket = bound;
        } else {
            ipv4Socket = bound;
        }
        return bound;
    }

    private QuicSslEngine engine(InetSocketAddress peer, ByteBufAllocator allocator) {
        String name = limits.serverName() == null ? peer.getAddress().getHostAddress() : limits.serverName();
        return context.newEngine(allocator, name, peer.getPort());
    }

    // ---------------------------------------------------------------- the endpoint list

    @Override
    public void updateEndpoints(EndpointUpdate update, long nowMicros) {
        if (fallback != null) {
            fallback.updateEndpoints(update, nowMicros);
        }
        Set<String> listed = new HashSet<>();
        for (EndpointUpdate.Endpoint entry : update.endpoints()) {
            listed.add(entry.server().id());
            updateEndpoint(entry, nowMicros);
        }
        if (update.complete()) {
            upstreams.values().stream()
                    .filter(upstream -> !listed.contains(upstream.id()))
                    .forEach(upstream -> drain(upstream, nowMicros));
        }
    }

    private void updateEndpoint(EndpointUpdate.Endpoint entry, long nowMicros) {
        String id = entry.server().id();
        Http3Upstream upstream = upstreams.get(id);
        if (upstream != null && !upstream.endpoint().equals(entry.http3Address())) {
            upstream.retire();
            upstreams.remove(id);
            upstream = null;
        }
        if (upstream == null && entry.http3Address() != null) {
            upstream = new Http3Upstream(this, id, entry.http3Address(), new Http3ConnectionPlan(limits.plan()));
            upstreams.put(id, upstream);
        }
        if (upstream == null) {
            return;
        }
        if (entry.server().state() == State.UP) {
            upstream.stopAt(DrainGrace.NEVER);
        } else if (entry.isTakenOver()) {
            upstream.stopAt(Math.min(upstream.stopAtMicros(), nowMicros));
        } else {
            drain(upstream, nowMicros);
        }
    }

    private void drain(Http3Upstream upstream, long nowMicros) {
        long graceMicros = boot.settings().bounds().drainGraceMicros();
        upstream.stopAt(DrainGrace.drainDeadlineMicros(upstream.stopAtMicros(), nowMicros, graceMicros));
    }

    // ---------------------------------------------------------------- attempts and health checks

    @Override
    public Attempt send(
            String server, ProxyRequest request, long waitMicros, long startBeforeMicros, Listener listener) {
        Http3Upstream upstream = upstreams.get(server);
        boolean streamedBody = request.remainingBody() != null; // goes over HTTP/1.1
        if (upstream == null || (streamedBody && fallback != null)) {
            return fallback.send(server, request, waitMicros, startBeforeMicros, listener);
        }
        Http3ConnectionPlan.Choice choice = choose(upstream);
        boolean http3Fails = choice != null && choice.way() == Http3ConnectionPlan.Way.HTTP1;
        if (http3Fails && fallback != null) {
            return fallback.send(server, request, waitMicros, startBeforeMicros, listener);
        }
        Http3Attempt attempt = Http3Attempt.ofRequest(
                this, upstream, request, Math.max(1, waitMicros / 1000), startBeforeMicros, listener);
        if (choice == null || http3Fails || streamedBody) {
            attempt.end(Outcome.NOT_SENT);
        } else {
            upstream.start(choice, attempt);
        }
        return attempt;
    }

    // Null where the grace of its drain is over.
    private Http3ConnectionPlan.Choice choose(Http3Upstream upstream) {
        return clock.now() >= upstream.stopAtMicros() ? null : upstream.choose();
    }

    @Override
    public boolean isConnected(String server) {
        Http3Upstream upstream = upstreams.get(server);
        if (upstream != null && !upstream.plan().isFailing()) {
            return upstream.plan().isConnected();
        }
        return fallback != null && fallback.isConnected(server);
    }

    /** Gives up after the time that a connection may take. */
    @Override
    public void probe(String server, boolean withLoadReport, Listener listener) {
        Http3Upstream upstream = upstreams.get(server);
        Http3ConnectionPlan.Choice choice = upstream == null ? null : choose(upstream);
        if (choice == null || choice.way() == Http3ConnectionPlan.Way.HTTP1) {
            fallback.probe(server, withLoadReport, listener);
            return;
        }
        Http3Attempt attempt =
                Http3Attempt.ofHealthCheck(this, upstream, HealthCheck.request(withLoadReport), listener);
        attempt.timeoutAfter(connectMicros());
        upstream.start(choice, attempt);
    }

    @Override
    public void closeIdle(String server) {
        fallback.closeIdle(server);
        Http3Upstream upstream = upstreams.get(server);
        if (upstream != null) {
            upstream.closeIdleSince(clock.now());
        }
    }

    private void sweep() {
        long nowMicros = clock.now();
        upstreams
                .values()
                .removeIf(upstream ->
                        upstream.stopAtMicros() < nowMicros - DrainGrace.RETENTION_MICROS && upstream.isEmpty());
        // Well before the upstream's own idle timeout: a request on a connection that is being closed may have run.
        long idleSinceMicros = nowMicros - limits.idle() * 1000 / 2;
        upstreams.values().forEach(upstream -> upstream.closeIdleSince(idleSinceMicros));
    }

    /** Closes all connections, whatever they carry, and then their sockets. */
    public void end() {
        sweep.cancel(false);
        upstreams.values().forEach(Http3Upstream::close);
        loop.schedule(
                () -> {
                    closeSocket(ipv4Socket);
                    closeSocket(ipv6Socket);
                },
                CLOSE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static void closeSocket(ChannelFuture socket) {
        if (socket != null && socket.channel().isOpen()) { // one that could not be created can't be closed
            socket.channel().close();
        }
    }
}
