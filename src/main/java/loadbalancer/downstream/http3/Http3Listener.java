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
 * The listener for clients over HTTP/3 (RFC 9114) on QUIC (RFC 9000): one UDP socket on the event loop. It accepts
 * connections and their streams and writes each request's one final response; it balances, retries and sheds
 * nothing. All of it runs on the event loop but {@link #listen}.
 */
public final class Http3Listener {
    /**
     * Its limits.
     *
     * @param connectionLimits of connections, by address and in all
     * @param maxStreamsPerConnection at once on a connection
     * @param idleTimeoutMillis ms without a packet after which a connection is closed
     */
    public record Limits(
            Http3ConnectionLimiter.Limits connectionLimits, int maxStreamsPerConnection, long idleTimeoutMillis) {}

    /** Whether clients are to use this listener. */
    private enum Phase {
        NOT_READY,
        READY,
        /** They are notified to go elsewhere (RFC 9114, section 5.2). */
        DRAINING
    }

    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 200; // between checks of the connections' time limits
    // Of a connection: two complete bodies at once. What more of its streams send waits with the client.
    private static final long CONNECTION_WINDOW_BYTES = 2L * ProxyRequest.MAX_BUFFERED_BODY_BYTES;
    private static final int CONTROL_STREAMS = 3; // and two of QPACK (RFC 9114, section 6.2)
    private static final int CONTROL_WINDOW_BYTES = 4 * 1024;
    private static final int MAX_ACTIVE_CONNECTION_IDS = 4; // for clients whose path changes
    private static final int MAX_DATAGRAM_BYTES = 1_350;
    private static final int MAX_READS_PER_CALL = 16; // each of up to sixteen datagrams
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
    private QuicSslContext tlsContext; // of new connections
    private Channel socket;
    private Future<?> timeoutChecks;
    private Phase phase = Phase.NOT_READY;
    private boolean rejectingNewStreams;

    /**
     * A listener that is not bound yet.
     *
     * @param bodyMemory what the buffered bodies of all clients may take together
     * @param log takes a line for the operators; must not block
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

    // Without early data: a replayed request must not reach an upstream (RFC 9114, section 10.9).
    private static QuicSslContext tlsContext(TlsIdentity identity) {
        return QuicSslContextBuilder.forServer(
                        identity.key(), null, identity.chain().toArray(X509Certificate[]::new))
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .earlyData(false)
                .build();
    }

    /**
     * Listens; called from another thread than the loop's.
     *
     * @return the address in use
     * @throws IOException if the calling thread is interrupted; what binding fails with is thrown as it is
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
            throw new IOException("interrupted");
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

    /** Serves clients, for the first time or once more after {@link #startDraining}; nothing once it is closing. */
    public void markReady() {
        phase = rejectingNewStreams ? Phase.DRAINING : Phase.READY;
    }

    /** Other settings hold for the requests from here on. */
    public void reload(SettingsReader.Boot newSettings) {
        settings = newSettings;
    }

    /** New connections show this certificate; those that are open go on with theirs. */
    public void renewIdentity(TlsIdentity identity) {
        tlsContext = tlsContext(identity);
    }

    /** Notifies the clients to go elsewhere, and serves what they still send (RFC 9114, section 5.2). */
    public void startDraining() {
        phase = Phase.DRAINING;
        connections().forEach(Http3ClientConnection::announceShutdown);
    }

    /** Streams from here on are rejected as not processed; the requests that have been taken are served. */
    public void rejectNewStreams() {
        rejectingNewStreams = true;
        connections().forEach(Http3ClientConnection::rejectNewStreams);
    }

    /** Closes all connections, once all that was taken has been answered. */
    public void closeConnections() {
        if (!timeoutChecks.cancel(false)) {
            return; // called before: more may be taken while it stops
        }
        log.accept(connectionLimiter.summary());
        connections().forEach(c -> c.close(Http3ErrorCodes.NO_ERROR));
    }

    private void connectionOpened(QuicChannel channel) {
        Http3ClientConnection connection = new Http3ClientConnection(this, channel);
        if (!connection.isAdmitted()) {
            // Later: its first packet is still being read.
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

    /** A copy of the connections that are open: what is done to one may close it, or others. */
    List<Http3ClientConnection> connections() {
        return List.copyOf(connections);
    }

    // ---------------------------------------------------------------- for its connections

    /** Reads what has arrived by now, so that it is known which streams their clients have ended. */
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

    /** The memory of buffered bodies, until their requests are answered. */
    BodyMemoryBudget bodyMemory() {
        return bodyMemory;
    }

    Http3ConnectionLimiter connectionLimiter() {
        return connectionLimiter;
    }
}
