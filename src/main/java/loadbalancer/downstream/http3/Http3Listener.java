package loadbalancer.downstream.http3;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicSslContext;
import io.netty.handler.codec.quic.QuicSslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.cert.X509Certificate;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.settings.SettingsReader;

/**
 * The listener for clients over HTTP/3 (RFC 9114) on QUIC (RFC 9000), with one UDP socket. Accepts connections and
 * their streams, and writes the final response to each request; load balancing, retries and load shedding are done
 * elsewhere. All methods except {@link #listen} must be called on the event loop.
 */
public final class Http3Listener {
    /**
     * The limits of the listener.
     *
     * @param connectionLimits the limits on connections, per client address and in total
     * @param maxStreamsPerConnection the maximum number of concurrent streams of a connection
     * @param idleTimeoutMillis the time without a packet after which a connection is closed
     */
    public record Limits(
            Http3ConnectionLimiter.Limits connectionLimits, int maxStreamsPerConnection, long idleTimeoutMillis) {}

    /** Whether clients should use this listener. */
    private enum Phase {
        NOT_READY,
        READY,
        /** Clients are asked to use another connection (GOAWAY; RFC 9114, section 5.2). */
        DRAINING
    }

    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 200; // between checks of the timeouts of all connections
    // Flow control window of a connection: two complete bodies. Further data of its streams waits at the client.
    private static final long CONNECTION_WINDOW_BYTES = 2L * ProxyRequest.MAX_BUFFERED_BODY_BYTES;
    private static final int CONTROL_STREAMS = 3; // the control stream and two of QPACK (RFC 9114, section 6.2)
    private static final int CONTROL_WINDOW_BYTES = 4 * 1024;
    private static final int MAX_ACTIVE_CONNECTION_IDS = 4; // allows clients to migrate to another network path
    private static final int MAX_DATAGRAM_BYTES = 1_350;
    private static final int MAX_READS_PER_CALL = 16; // each read returns up to 16 datagrams
    private static final int CONNECTION_REFUSED = 0x02; // RFC 9000, section 20.1

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final BodyMemoryBudget bodyMemory;
    private final Http3ConnectionLimiter connectionLimiter;
    private final Limits limits;
    private final Consumer<String> log;
    private final Set<Http3ClientConnection> connections = new LinkedHashSet<>();
    private final DatagramCounter datagramCounter = new DatagramCounter();
    private SettingsReader.Boot settings;
    private QuicSslContext tlsContext; // for new connections
    private Channel socket;
    private Future<?> timeoutChecks;
    private Phase phase = Phase.NOT_READY;
    private boolean rejectingNewStreams;

    /**
     * Creates a listener that is not bound yet.
     *
     * @param bodyMemory the limit on the memory of the buffered bodies of all clients
     * @param log receives log lines; must not block
     */
    public Http3Listener(
            EventLoop loop,
            SettingsReader.Boot settings,
            Dispatcher dispatcher,
            BodyMemoryBudget bodyMemory,
            TlsIdentity identity,
            Limits limits,
            Consumer<String> log) {
        this.loop = loop;
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.bodyMemory = bodyMemory;
        this.limits = limits;
        this.log = log;
        connectionLimiter = new Http3ConnectionLimiter(limits.connectionLimits());
        tlsContext = tlsContext(identity);
    }

    // Early data (0-RTT) is off: a replayed request must not reach an upstream (RFC 9114, section 10.9).
    private static QuicSslContext tlsContext(TlsIdentity identity) {
        return QuicSslContextBuilder.forServer(
                        identity.key(), null, identity.chain().toArray(X509Certificate[]::new))
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .earlyData(false)
                .build();
    }

    /**
     * Starts listening. Must not be called on the event loop.
     *
     * @return the bound address
     * @throws IOException if the calling thread is interrupted; an exception of the bind is thrown unchanged
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        ChannelHandler codec = quicCodec();
        try {
            socket = new Bootstrap()
                    .group(loop)
                    .channel(NioDatagramChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(datagramCounter, codec);
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding the HTTP/3 listener");
        }
        timeoutChecks = loop.scheduleWithFixedDelay(
                this::checkTimeouts,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return (InetSocketAddress) socket.localAddress();
    }

    private ChannelHandler quicCodec() {
        return Http3.newQuicServerCodecBuilder()
                .sslEngineProvider(connection -> tlsContext.newEngine(connection.alloc()))
                .maxIdleTimeout(limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS)
                .maxSendUdpPayloadSize(MAX_DATAGRAM_BYTES)
                .maxRecvUdpPayloadSize(MAX_DATAGRAM_BYTES)
                .initialMaxData(CONNECTION_WINDOW_BYTES)
                .initialMaxStreamDataBidirectionalRemote(ProxyRequest.MAX_BUFFERED_BODY_BYTES)
                .initialMaxStreamDataUnidirectional(CONTROL_WINDOW_BYTES)
                .initialMaxStreamsUnidirectional(CONTROL_STREAMS)
                .initialMaxStreamsBidirectional(limits.maxStreamsPerConnection())
                .activeMigration(true)
                .activeConnectionIdLimit(MAX_ACTIVE_CONNECTION_IDS)
                .tokenHandler(new AddressValidationHandler(connectionLimiter))
                .handler(new ChannelInitializer<QuicChannel>() {
                    @Override
                    protected void initChannel(QuicChannel channel) {
                        connectionOpened(channel);
                    }
                })
                .build();
    }

    /**
     * Marks the listener as ready, for the first time or again after {@link #startDraining}. The listener keeps
     * draining after {@link #rejectNewStreams}.
     */
    public void markReady() {
        phase = rejectingNewStreams ? Phase.DRAINING : Phase.READY;
    }

    /** Replaces the settings for all further requests. */
    public void reload(SettingsReader.Boot newSettings) {
        settings = newSettings;
    }

    /** Replaces the certificate for new connections; open connections keep theirs. */
    public void renewIdentity(TlsIdentity identity) {
        tlsContext = tlsContext(identity);
    }

    /** Asks the clients to use another connection; further requests are still served (RFC 9114, section 5.2). */
    public void startDraining() {
        phase = Phase.DRAINING;
        connections().forEach(Http3ClientConnection::announceShutdown);
    }

    /** Rejects all further streams as not processed; the requests of streams opened before are served. */
    public void rejectNewStreams() {
        rejectingNewStreams = true;
        connections().forEach(Http3ClientConnection::rejectNewStreams);
    }

    /** The number of responses, over all connections, that have not been sent completely. */
    public int unsentResponses() {
        return connections.stream()
                .mapToInt(Http3ClientConnection::unsentResponses)
                .sum();
    }

    /** The number of requests, over all connections, that have been received in part. */
    public int partialRequests() {
        return connections.stream()
                .mapToInt(Http3ClientConnection::partialRequests)
                .sum();
    }

    /** Refuses the requests that have been received in part, except those that are complete with what is read now. */
    public void refusePartialRequests() {
        readNow();
        connections().forEach(Http3ClientConnection::refusePartialRequests);
    }

    /** Closes all connections; called once all accepted requests have been answered. */
    public void closeConnections() {
        if (!timeoutChecks.cancel(false)) {
            return; // called before; requests may still be accepted while the listener stops
        }
        log.accept(connectionLimiter.summary());
        connections().forEach(c -> c.close(Http3ErrorCodes.NO_ERROR));
    }

    private void connectionOpened(QuicChannel channel) {
        Http3ClientConnection connection = new Http3ClientConnection(this, channel);
        if (!connection.isAdmitted()) {
            // In a later task: the first packet of the connection is still being processed.
            loop.execute(() -> channel.close(false, CONNECTION_REFUSED, Unpooled.EMPTY_BUFFER));
            return;
        }
        connections.add(connection);
        channel.closeFuture().addListener(closed -> {
            connections.remove(connection);
            connectionLimiter.closed(connection.trackedConnection());
        });
        if (phase == Phase.DRAINING) {
            connection.openedWhileDraining();
        }
    }

    private void checkTimeouts() {
        long nowNanos = System.nanoTime();
        connectionLimiter.endOverdue(nowNanos);
        for (Http3ClientConnection connection : connections()) {
            connection.checkTimeouts(nowNanos);
        }
    }

    /** A copy of the set of open connections: an operation on one may close that connection or others. */
    List<Http3ClientConnection> connections() {
        return List.copyOf(connections);
    }

    // ---------------------------------------------------------------- called by the connections

    /** Reads all datagrams that have been received, so that streams which clients have cancelled are noticed. */
    void readNow() {
        if (datagramCounter.isReading() || !(socket.unsafe() instanceof NioUnsafe unsafe)) {
            return;
        }
        long previousCount = -1;
        for (int i = 0; i < MAX_READS_PER_CALL && datagramCounter.count() != previousCount; i++) {
            previousCount = datagramCounter.count();
            unsafe.read();
        }
    }

    boolean isReady() {
        return phase == Phase.READY;
    }

    /** Whether new streams are rejected. */
    boolean isRejectingNewStreams() {
        return rejectingNewStreams;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    SettingsReader.Boot settings() {
        return settings;
    }

    /** The memory budget of buffered bodies, which are held until their requests are answered. */
    BodyMemoryBudget bodyMemory() {
        return bodyMemory;
    }

    Http3ConnectionLimiter connectionLimiter() {
        return connectionLimiter;
    }
}
