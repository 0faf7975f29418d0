package loadbalancer.upstream.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.connections.Direction;
import loadbalancer.connections.IdleTimeout;
import loadbalancer.http1.SharedReceiveBuffer;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.DrainGrace;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.HealthCheck;

/**
 * The HTTP/1.1 connections to the upstreams: which connection carries the next attempt, when a new one is
 * dialled, and when idle ones are closed. Each carries one request at a time. On the event loop.
 */
public final class Http1ConnectionPool implements AttemptTransport {
    private static final int DEFAULT_CONNECT_MILLIS = 1_000; // where the settings give no limit

    final EventLoop loop;
    final ConnectionBudget budget;
    final MemoryBudget memory;
    final SharedReceiveBuffer receiveBuffer;
    final Clock clock;
    final PendingUpdates updates;
    private final Bootstrap bootstrap;
    private final SocketAddress sharedAddress; // where every upstream listens; null: each at its own address
    private final Map<String, Http1Upstream> upstreams = new HashMap<>();
    private final Future<?> sweep;
    private SettingsReader.Boot boot;
    private IdleTimeout idleTimeout;

    /**
     * What the connections of a pool share with all others of the process.
     *
     * @param connections limits their number
     * @param memory limits the memory of their messages
     */
    public record Limits(ConnectionBudget connections, MemoryBudget memory) {}

    /**
     * A pool whose upstreams each listen at an address of their own.
     *
     * @param updates of the endpoint list, which are read before an attempt starts
     */
    public Http1ConnectionPool(
            EventLoop loop, SettingsReader.Boot boot, Limits limits, Clock clock, PendingUpdates updates) {
        this(loop, boot, limits, clock, updates, null, new IdleTimeout(boot.idleCloseMicros()));
    }

    /**
     * A pool whose upstreams all listen at one socket of the file system.
     *
     * @param sharedAddress that socket; null: each upstream has an address of its own
     * @param idleTimeout when idle connections are closed, until a reload
     */
    public Http1ConnectionPool(
            EventLoop loop,
            SettingsReader.Boot boot,
            Limits limits,
            Clock clock,
            PendingUpdates updates,
            SocketAddress sharedAddress,
            IdleTimeout idleTimeout) {
        this.updates = updates;
        this.sharedAddress = sharedAddress;
        this.loop = loop;
        this.boot = boot;
        this.budget = limits.connections();
        this.memory = limits.memory();
        this.receiveBuffer = new SharedReceiveBuffer();
        this.clock = clock;
        this.idleTimeout = idleTimeout;
        this.bootstrap = bootstrap();
        long everyMicros = idleTimeout.checkIntervalMicros();
        sweep = loop.scheduleWithFixedDelay(this::sweep, everyMicros, everyMicros, TimeUnit.MICROSECONDS);
    }

    private Bootstrap bootstrap() {
        Bootstrap created = new Bootstrap()
                .group(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis())
                .option(ChannelOption.ALLOCATOR, SharedReceiveBuffer.HEAP_ALLOCATOR);
        if (sharedAddress == null) {
            created.option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.ALLOW_HALF_CLOSURE, true);
        }
        return created;
    }

    private Channel newSocket() {
        return sharedAddress == null ? new TimedChannel(clock) : new NioDomainSocketChannel();
    }

    private int connectMillis() {
        long limitMicros = boot.settings().limits().connectTimeoutMicros();
        return limitMicros > 0
                ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, limitMicros / 1000))
                : DEFAULT_CONNECT_MILLIS;
    }

    IdleTimeout idleTimeout() {
        return idleTimeout;
    }

    /** Other settings hold from here on. */
    public void reload(SettingsReader.Boot settings) {
        boot = settings;
        idleTimeout = new IdleTimeout(settings.idleCloseMicros());
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis());
    }

    // ---------------------------------------------------------------- the endpoint list

    @Override
    public void updateEndpoints(EndpointUpdate update, long nowMicros) {
        Set<String> listed = new HashSet<>();
        for (EndpointUpdate.Endpoint entry : update.endpoints()) {
            listed.add(entry.server().id());
            Http1Upstream upstream = upstreams.computeIfAbsent(entry.server().id(), Http1Upstream::new);
            if (entry.address() != null && !entry.address().equals(upstream.endpoint())) {
                upstream.closeIdle();
                upstream.moveTo(entry.address());
            }
            upstream.startedAt(entry.server().startedAtMicros());
            if (entry.server().state() == Policy.State.UP) {
                upstream.stopAt(DrainGrace.NEVER);
            } else if (entry.isTakenOver()) {
                stop(upstream, nowMicros);
            } else {
                drain(upstream, nowMicros);
            }
        }
        if (update.complete()) {
            upstreams.values().stream()
                    .filter(upstream -> !listed.contains(upstream.id()))
                    .forEach(upstream -> drain(upstream, nowMicros));
        }
    }

    // Without a grace: what is sent there reaches another upstream.
    private static void stop(Http1Upstream upstream, long nowMicros) {
        upstream.stopAt(Math.min(upstream.stopAtMicros(), nowMicros));
        upstream.closeIdle();
    }

    private void drain(Http1Upstream upstream, long nowMicros) {
        long graceMicros = boot.settings().bounds().drainGraceMicros();
        upstream.stopAt(DrainGrace.drainDeadlineMicros(upstream.stopAtMicros(), nowMicros, graceMicros));
        upstream.closeIdle();
    }

    // ---------------------------------------------------------------- attempts and health checks

    @Override
    public Attempt send(
            String server, ProxyRequest request, long waitMicros, long startBeforeMicros, Listener listener) {
        Http1Attempt attempt =
                Http1Attempt.ofRequest(request, Math.max(1, waitMicros / 1000), startBeforeMicros, listener);
        start(server, attempt);
        return attempt;
    }

    @Override
    public boolean isConnected(String server) {
        Http1Upstream upstream = upstreams.get(server);
        return upstream != null && upstream.hasReusableConnection();
    }

    /** Gives up after the time that a connection may take. */
    @Override
    public void probe(String server, boolean withLoadReport, Listener listener) {
        Http1Attempt attempt = Http1Attempt.ofHealthCheck(HealthCheck.request(withLoadReport), listener);
        attempt.timeout(loop.schedule(
                () -> {
                    boolean sent = attempt.cancel() == AttemptEffect.MAY_HAVE_RUN;
                    listener.ended(sent ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, null, null);
                },
                connectMillis(),
                TimeUnit.MILLISECONDS));
        start(server, attempt);
    }

    /** Starts an attempt on an idle connection, or on a new one. */
    void start(String server, Http1Attempt attempt) {
        Http1Upstream upstream = upstreams.get(server);
        if (upstream == null || upstream.endpoint() == null || clock.now() >= upstream.stopAtMicros()) {
            attempt.end(Outcome.NOT_SENT);
            return;
        }
        Http1UpstreamConnection idle = upstream.takeIdle();
        if (idle != null) {
            idle.reuse(attempt);
        } else {
            dial(upstream, attempt);
        }
    }

    private void dial(Http1Upstream upstream, Http1Attempt attempt) {
        if (!budget.evictToAdmit(Direction.UPSTREAM, System.nanoTime())) {
            // The balancer lacks capacity: no failure of that upstream's, and nothing has run.
            attempt.end(Outcome.NOT_SENT);
            return;
        }
        SocketAddress address = sharedAddress == null ? upstream.endpoint() : sharedAddress;
        new Http1UpstreamConnection(this, upstream).connect(bootstrap, this::newSocket, address, attempt);
    }

    // ---------------------------------------------------------------- idle connections

    @Override
    public void closeIdle(String server) {
        Http1Upstream upstream = upstreams.get(server);
        if (upstream != null) {
            upstream.closeIdle();
        }
    }

    // Closes connections well before their upstream does: a request written to a connection that is being
    // closed is reset, and may have run, and most classes can't be retried then. Spare ones are closed sooner.
    private void sweep() {
        long nowMicros = clock.now();
        // Guards against a table that grows with every server that was ever listed.
        upstreams.values().removeIf(upstream -> upstream.stopAtMicros() < nowMicros - DrainGrace.RETENTION_MICROS);
        for (Http1Upstream upstream : upstreams.values()) {
            upstream.closeExpired(idleTimeout, nowMicros);
        }
    }

    /** Closes all idle connections; no attempt starts from here on. */
    public void close() {
        sweep.cancel(false);
        for (Http1Upstream upstream : upstreams.values()) {
            upstream.stopAt(Long.MIN_VALUE);
            upstream.closeIdle();
        }
    }
}
