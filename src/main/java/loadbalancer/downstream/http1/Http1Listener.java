package loadbalancer.downstream.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.connections.ConnectionPermit;
import loadbalancer.downstream.ClientAddress;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.lifecycle.ShutdownDrain;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.Invariants.Violation;
import loadbalancer.proxy.RequestLog.Event;
import loadbalancer.proxy.WarmUpRequests;
import loadbalancer.settings.SettingsReader;

/**
 * The listener for clients over HTTP/1.1: accepts their connections, keeps them, and closes those that take or rest
 * too long. All of it runs on the event loop but {@link #listen}.
 */
public final class Http1Listener {
    private static final int BACKLOG = 1024;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 200; // between checks of the connections' time limits
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 32 << 10;
    private static final int MAX_READS_PER_PASS = 4; // none keeps the others waiting
    private static final int MAX_IDLE_CLOSES_PER_TASK = 8; // in one task of the event loop
    private static final long MAX_UNSUBSCRIBED_BODY_BYTES = 2 << 20; // of long bodies that wait for their attempts

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final ConnectionBudget budget;
    private final Consumer<String> log;
    private final BodyMemoryBudget bodyMemory;
    private final BodyMemoryBudget unsubscribedBodyMemory = new BodyMemoryBudget(MAX_UNSUBSCRIBED_BODY_BYTES);
    private final Set<Http1ClientConnection> connections = new LinkedHashSet<>(); // the oldest first
    private final LifeCycle lifeCycle;
    private final Http1RequestHandler requestHandler;
    private final ConnectionAdmission admission;
    private boolean idleCloseScheduled; // more idle connections are about to be closed
    private long acceptedConnections;
    private long readCount;
    private String alternativeService; // another protocol at which clients may ask, or null

    /**
     * A listener that is not bound yet.
     *
     * @param bodyMemory what the buffered bodies of all clients may take together
     * @param log takes a line for the operators; must not block
     */
    public Http1Listener(
            EventLoop loop,
            SettingsReader.Boot settings,
            Dispatcher dispatcher,
            ConnectionBudget budget,
            BodyMemoryBudget bodyMemory,
            LifeCycle lifeCycle,
            Consumer<String> log) {
        this.bodyMemory = bodyMemory;
        this.lifeCycle = lifeCycle;
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.budget = budget;
        this.log = log;
        this.requestHandler = new Http1RequestHandler(dispatcher, lifeCycle, settings);
        this.admission = new ConnectionAdmission(loop, dispatcher, budget, lifeCycle, log);
    }

    /**
     * Listens; called from another thread than the loop's.
     *
     * @param address where to listen; not used with an inherited socket
     * @param inherited a listening socket that other processes accept from as well, in place of an own one; or null
     * @return the address in use
     * @throws IOException if the calling thread is interrupted; what binding fails with is thrown as it is
     */
    public InetSocketAddress listen(InetSocketAddress address, ServerSocketChannel inherited) throws IOException {
        boolean shared = inherited != null;
        ServerBootstrap bootstrap = bootstrap(inherited);
        try {
            Channel bound = (shared ? bootstrap.register() : bootstrap.bind(address))
                    .sync()
                    .channel();
            ReadBeforeTimers.scheduleWithFixedDelay(loop, TIMEOUT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, this::checkTimeouts);
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    private ServerBootstrap bootstrap(ServerSocketChannel inherited) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> AcceptingChannel.of(inherited, admission))
                // Known before it listens: on a slow machine a connection came in before bind had returned
                // to the starting thread, found no listener, and was dropped unanswered.
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        admission.listenerRegistered(channel, inherited != null);
                    }
                })
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(MAX_READS_PER_PASS))
                .childHandler(connectionInitializer());
    }

    private ChannelInitializer<Channel> connectionInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                connectionAccepted(channel);
            }
        };
    }

    /**
     * Listens for a warm-up at a socket of the file system as well.
     *
     * @param onBound gets the listening channel, or null if it can't listen; on the event loop
     */
    public void listenForWarmUp(Path path, Consumer<Channel> onBound) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerDomainSocketChannel.class)
                .childHandler(connectionInitializer())
                .bind(UnixDomainSocketAddress.of(path));
        // On the loop: a socket that can't be created is reported on another thread.
        bound.addListener(done -> loop.execute(() -> onBound.accept(done.isSuccess() ? bound.channel() : null)));
    }

    /** Serves a warm-up's requests as well; null when it is over. */
    public void setWarmUp(WarmUpRequests requests) {
        requestHandler.setWarmUp(requests);
        admission.setWarmingUp(requests != null);
    }

    /** Other settings hold for the requests from here on. */
    public void reload(SettingsReader.Boot settings) {
        requestHandler.reload(settings);
    }

    /** Accepts connections or not as the life cycle says by now, and closes those that have been idle too long. */
    public void applyLifeCycle() {
        admission.update();
        closeIdle();
    }

    // A few at a time: what has arrived meanwhile is read between them, and not cut off.
    private void closeIdle() {
        long nowNanos = System.nanoTime();
        long maxIdleNanos = lifeCycle.maxIdleNanos(nowNanos);
        if (maxIdleNanos == Long.MAX_VALUE || idleCloseScheduled) {
            return;
        }
        List<Http1ClientConnection> expired = connections.stream()
                .filter(c -> c.permit().isIdle() && c.permit().timeInStateNanos(nowNanos) >= maxIdleNanos)
                .limit(MAX_IDLE_CLOSES_PER_TASK)
                .toList();
        expired.forEach(Http1ClientConnection::close);
        if (expired.size() == MAX_IDLE_CLOSES_PER_TASK) {
            idleCloseScheduled = true;
            ReadBeforeTimers.schedule(loop, 1, TimeUnit.MILLISECONDS, () -> {
                idleCloseScheduled = false;
                closeIdle();
            });
        }
    }

    /**
     * From here on responses advertise another protocol's address as well (Alt-Svc, RFC 7838).
     *
     * @param service the value of the field; null for none
     */
    public void advertise(String service) {
        alternativeService = service;
    }

    /** Accepts no more connections. A socket that other processes listen at as well stays open, unread. */
    public void stopAccepting() {
        admission.stopAccepting();
    }

    /** Whether a long response is on its way. */
    public boolean isStreamingResponse() {
        return connections.stream().anyMatch(Http1ClientConnection::isStreamingResponse);
    }

    /** How the connections stand, for a process that is to end and has so many responses to give. */
    public ShutdownDrain.Observation observe(int pendingResponses) {
        int partialRequests = 0;
        int idle = 0;
        int unsentResponses = 0;
        for (Http1ClientConnection connection : connections) {
            partialRequests += connection.hasPartialRequest() ? 1 : 0;
            idle += connection.permit().isIdle() ? 1 : 0;
            unsentResponses += connection.hasUnsentResponse() ? 1 : 0;
        }
        return new ShutdownDrain.Observation(
                acceptedConnections, readCount, pendingResponses, partialRequests, idle, unsentResponses);
    }

    /** How many connections clients hold here. */
    public int connectionCount() {
        return connections.size();
    }

    // ---------------------------------------------------------------- connections

    private void connectionAccepted(Channel channel) {
        Http1ClientConnection connection = new Http1ClientConnection(this, channel);
        connections.add(connection);
        acceptedConnections++;
        admission.connectionAccepted();
        long connectionNumber = acceptedConnections;
        dispatcher.requestLog().connection(Event.CONNECTION_ACCEPTED, connectionNumber, channel.remoteAddress());
        channel.closeFuture().addListener(closed -> connectionClosed(connection, connectionNumber));
        admission.update();
    }

    private void connectionClosed(Http1ClientConnection connection, long connectionNumber) {
        budget.closed(connection.permit(), System.nanoTime());
        connections.remove(connection);
        dispatcher.requestLog().connection(Event.CONNECTION_CLOSED, connectionNumber, connection.closeReason());
        connection.onClosed();
        admission.update();
    }

    private void checkTimeouts() {
        long nowNanos = System.nanoTime();
        List.copyOf(connections).forEach(c -> c.checkTimeouts(nowNanos));
        budget.closeExpired(nowNanos);
        admission.update();
        String pressureChange = budget.pressureChangeLogLine(nowNanos);
        if (pressureChange != null) {
            log.accept(pressureChange);
        }
    }

    // ---------------------------------------------------------------- for its connections

    ConnectionPermit openPermit(Http1ClientConnection connection, Channel channel) {
        return budget.openClient(ClientAddress.key(channel.remoteAddress()), 1, connection::close, System.nanoTime());
    }

    ConnectionBudget budget() {
        return budget;
    }

    /** The memory of buffered bodies, until their requests are answered. */
    BodyMemoryBudget bodyMemory() {
        return bodyMemory;
    }

    /** The memory of long bodies that nobody has subscribed to yet. */
    BodyMemoryBudget unsubscribedBodyMemory() {
        return unsubscribedBodyMemory;
    }

    Http1RequestHandler requestHandler() {
        return requestHandler;
    }

    /** Whether connections may stay open behind a response. */
    boolean keepsConnections() {
        return lifeCycle.keepsConnectionsOpen();
    }

    /** The value of Alt-Svc in responses; null for none. */
    String alternativeService() {
        return lifeCycle.keepsConnectionsOpen() ? alternativeService : null;
    }

    void reportViolation(Violation violation, String subject) {
        dispatcher.invariants().violated(violation, subject);
    }

    void bytesRead() {
        readCount++;
    }
}
