package loadbalancer.downstream.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
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
import loadbalancer.eventloop.FairTaskQueue;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.http1.SharedReceiveBuffer;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.lifecycle.ShutdownDrain;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.Invariants.Violation;
import loadbalancer.proxy.MessageMemory;
import loadbalancer.proxy.RequestLog;
import loadbalancer.proxy.RequestLog.Event;
import loadbalancer.proxy.WarmUpRequests;
import loadbalancer.settings.SettingsReader;

/**
 * The listener for clients over HTTP/1.1: accepts connections, tracks them, and closes those that exceed a timeout or
 * are idle for too long. All methods except {@link #listen} must be called on the event loop.
 */
public final class Http1Listener {
    private static final int BACKLOG = 1024;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 200; // between checks of the timeouts of all connections
    private static final int MAX_IDLE_CLOSES_PER_TASK = 8; // in one task of the event loop

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final ConnectionBudget budget;
    private final Consumer<String> log;
    private final CutOffResponses cutOffResponses;
    private final MessageMemory memory;
    private final SharedReceiveBuffer receiveBuffer;
    private final Set<Http1ClientConnection> connections = new LinkedHashSet<>(); // oldest first
    private final LifeCycle lifeCycle;
    private final Http1RequestHandler requestHandler;
    private final ConnectionAdmission admission;
    private boolean idleCloseScheduled; // a task that closes further idle connections is scheduled
    private long acceptedConnections;
    private long readCount;
    private String alternativeService; // the Alt-Svc value, which advertises another protocol; or null

    /**
     * Creates a listener that is not bound yet.
     *
     * @param memory the memory of the process for messages in transit
     * @param log receives log lines; must not block
     */
    public Http1Listener(
            EventLoop loop,
            SettingsReader.Boot settings,
            Dispatcher dispatcher,
            ConnectionBudget budget,
            MessageMemory memory,
            LifeCycle lifeCycle,
            Consumer<String> log) {
        this.memory = memory;
        this.receiveBuffer = new SharedReceiveBuffer();
        this.lifeCycle = lifeCycle;
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.budget = budget;
        this.log = log;
        this.cutOffResponses = new CutOffResponses(log);
        this.requestHandler = new Http1RequestHandler(dispatcher, lifeCycle, budget, settings);
        this.admission = new ConnectionAdmission(loop, dispatcher, budget, lifeCycle, log);
    }

    /**
     * Starts listening. Must not be called on the event loop.
     *
     * @param address the address to bind; ignored with an inherited socket
     * @param inherited a listening socket that is shared with other processes, to use instead of a new one; or null
     * @return the bound address
     * @throws IOException if the calling thread is interrupted; an exception of the bind is thrown unchanged
     */
    public InetSocketAddress listen(InetSocketAddress address, ServerSocketChannel inherited) throws IOException {
        boolean shared = inherited != null;
        ServerBootstrap bootstrap = bootstrap(inherited);
        try {
            Channel bound = (shared ? bootstrap.register() : bootstrap.bind(address))
                    .sync()
                    .channel();
            ReadBeforeTimers.scheduleWithFixedDelay(
                    loop, TIMEOUT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, this::checkTimeouts);
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding the HTTP/1.1 listener");
        }
    }

    private ServerBootstrap bootstrap(ServerSocketChannel inherited) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> AcceptingChannel.of(inherited, admission))
                // Registered before the socket listens: on a slow machine a client connected before bind had
                // returned to the starting thread; there was no listener yet, and the connection was dropped
                // without a response.
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        admission.listenerRegistered(channel, inherited != null);
                    }
                })
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, SharedReceiveBuffer.HEAP_ALLOCATOR)
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
     * Also listens at a Unix domain socket, for the warm-up.
     *
     * @param onBound receives the listening channel, or null if the bind failed; runs on the event loop
     */
    public void listenForWarmUp(Path path, Consumer<Channel> onBound) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerDomainSocketChannel.class)
                .childHandler(connectionInitializer())
                .bind(UnixDomainSocketAddress.of(path));
        // Switches to the event loop: the failure to create a socket is reported on another thread.
        bound.addListener(done -> loop.execute(() -> onBound.accept(done.isSuccess() ? bound.channel() : null)));
    }

    /** Also serves the requests of a warm-up from now on; null ends the warm-up. */
    public void setWarmUp(WarmUpRequests requests) {
        requestHandler.setWarmUp(requests);
        admission.setWarmingUp(requests != null);
    }

    /** Replaces the settings for all further requests. */
    public void reload(SettingsReader.Boot settings) {
        requestHandler.reload(settings);
    }

    /** Applies the state of the life cycle: pauses or resumes accepting, and closes connections idle for too long. */
    public void applyLifeCycle() {
        admission.update();
        closeIdle();
    }

    // A few at a time: requests that have been received meanwhile are read between two tasks and are not cut off.
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
     * Sets the address of another protocol that responses advertise from now on (Alt-Svc, RFC 7838).
     *
     * @param service the value of the field; null for none
     */
    public void advertise(String service) {
        alternativeService = service;
    }

    /** Stops accepting connections. A socket that is shared with other processes is not closed but no longer read. */
    public void stopAccepting() {
        admission.stopAccepting();
    }

    /** Whether a connection is streaming a long response. */
    public boolean isStreamingResponse() {
        return connections.stream().anyMatch(c -> c.output().isStreaming());
    }

    /**
     * Observes the connections for the shutdown of a process.
     *
     * @param pendingResponses the responses that the process owes, without those to pipelined requests that wait
     * @param otherPartialRequests the requests that other listeners have received in part
     * @param otherUnsentResponses the responses of other listeners that have not been sent completely
     */
    public ShutdownDrain.Observation observe(int pendingResponses, int otherPartialRequests, int otherUnsentResponses) {
        int pipelinedRequests = 0;
        int partialRequests = otherPartialRequests;
        int idle = 0;
        int unsentResponses = otherUnsentResponses;
        for (Http1ClientConnection connection : connections) {
            pipelinedRequests += connection.hasPipelinedRequest() ? 1 : 0;
            partialRequests += connection.hasPartialRequest() ? 1 : 0;
            idle += connection.permit().isIdle() ? 1 : 0;
            unsentResponses += connection.output().hasUnsentResponse() ? 1 : 0;
        }
        return new ShutdownDrain.Observation(
                acceptedConnections,
                readCount,
                pendingResponses + pipelinedRequests,
                partialRequests,
                idle,
                unsentResponses,
                System.nanoTime());
    }

    /**
     * Refuses the requests that have been received in part. Where all of one has been read, or is read now, it is
     * decoded instead.
     */
    public void refusePartialRequests() {
        for (Http1ClientConnection connection : List.copyOf(connections)) {
            if (connections.contains(connection) && connection.hasPartialRequest()) {
                connection.refusePartialRequest();
            }
        }
    }

    /** The number of open client connections. */
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
        if (connection.output().isCutOff()) {
            cutOffResponses.record(connection.closeReason());
        }
        dispatcher.requestLog().connection(Event.CONNECTION_CLOSED, connectionNumber, connection.closeReason());
        connection.onClosed();
        admission.update();
    }

    private void checkTimeouts() {
        long nowNanos = System.nanoTime();
        for (Http1ClientConnection connection : List.copyOf(connections)) {
            if (connections.contains(connection)) { // an earlier one's response may have led to its close
                connection.checkTimeouts(nowNanos);
            }
        }
        budget.closeExpired(nowNanos);
        memory.budget().resumeWaiting();
        admission.update();
        logUnlessNull(budget.pressureChangeLogLine(nowNanos));
        logUnlessNull(memory.log().changeLogLine(nowNanos));
    }

    private void logUnlessNull(String line) {
        if (line != null) {
            log.accept(line);
        }
    }

    /** Returns a log text with the counts of the run. */
    public String summary() {
        return cutOffResponses.summary() + "; " + memory.log().summary() + "; "
                + FairTaskQueue.of(loop).deferredTurns() + " deferred turns";
    }

    // ---------------------------------------------------------------- called by the connections

    ConnectionPermit openPermit(Http1ClientConnection connection, Channel channel) {
        ConnectionPermit.Holder holder = new ConnectionPermit.Holder() {
            @Override
            public void readInput() {
                connection.readNow();
            }

            @Override
            public void close() {
                connection.close();
            }
        };
        return budget.openClient(ClientAddress.key(channel.remoteAddress()), 1, holder, System.nanoTime());
    }

    ConnectionBudget budget() {
        return budget;
    }

    /** Reads the sockets of all connections. */
    SharedReceiveBuffer receiveBuffer() {
        return receiveBuffer;
    }

    /** The memory of the process for messages in transit. */
    MessageMemory memory() {
        return memory;
    }

    Http1RequestHandler requestHandler() {
        return requestHandler;
    }

    /** Whether connections may stay open after a response. */
    boolean keepsConnections() {
        return lifeCycle.keepsConnectionsOpen();
    }

    /** The value of Alt-Svc in responses; null for none. */
    String alternativeService() {
        return lifeCycle.keepsConnectionsOpen() ? alternativeService : null;
    }

    /** Logs that a request was not accepted, and why. */
    void logNotAccepted(Channel channel, HttpResponseStatus status, String reason) {
        RequestLog log = dispatcher.requestLog();
        if (log.isOn()) {
            log.process(Event.REQUEST_NOT_ACCEPTED, channel.remoteAddress() + " " + status.code() + " " + reason);
        }
    }

    void reportViolation(Violation violation, String subject) {
        dispatcher.invariants().violated(violation, subject);
    }

    void bytesRead() {
        readCount++;
    }
}
