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
 * The side to clients over HTTP/3 (RFC 9114) on QUIC (RFC 9000): one UDP socket on the event loop. It takes
 * connections and their streams and words each request's one final answer; it picks, repeats and sheds
 * nothing. All of it runs on the event loop but {@link #listen}.
 */
public final class Http3Listener {
    /** What bounds it; {@code idle} in ms, {@code streams} at once on a connection. */
    public record Limits(Http3ConnectionLimiter.Limits sessions, int streams, long idle) {}

    private static final long LOOK_MS = 200; // between looks at what takes too long
    // A connection's window: two whole bodies at once. What more of its streams send waits with the client.
    private static final long WINDOW = 2L * ProxyRequest.BODY_MOST;
    private static final int CONTROL_STREAMS = 3; // and two of QPACK (RFC 9114, section 6.2)
    private static final int CONTROL_WINDOW = 4 * 1024;
    private static final int CONNECTION_IDS = 4; // spare ones, for clients whose path changes
    private static final int DATAGRAM = 1_350;
    private static final int READS_AT_ONCE = 16; // each of up to sixteen datagrams
    private static final int CONNECTION_REFUSED = 0x02; // RFC 9000, section 20.1

    final EventLoop loop;
    SettingsReader.Boot boot;
    final Dispatcher dispatcher;
    final BodyMemoryBudget room;
    final Http3ConnectionLimiter sessions;
    private final Limits limits;
    private final Consumer<String> log;
    private final Set<Http3ClientConnection> connections = new LinkedHashSet<>();
    private QuicSslContext context; // of new connections
    private final DatagramCounter datagrams = new DatagramCounter();
    private Channel socket;
    private Future<?> looking;
    private boolean ready;
    private boolean stopping;
    private boolean closing;

    /** {@code log} must not block. */
    public Http3Listener(
            EventLoop loop,
            SettingsReader.Boot boot,
            Dispatcher dispatcher,
            BodyMemoryBudget room,
            TlsIdentity identity,
            Limits limits,
            Consumer<String> log) {
        this.loop = loop;
        this.boot = boot;
        this.dispatcher = dispatcher;
        this.room = room;
        this.limits = limits;
        this.log = log;
        sessions = new Http3ConnectionLimiter(limits.sessions());
        context = context(identity);
    }

    // Without early data: a replayed request must not reach an upstream (RFC 9114, section 10.9).
    private static QuicSslContext context(TlsIdentity identity) {
        return QuicSslContextBuilder.forServer(
                        identity.key(), null, identity.chain().toArray(X509Certificate[]::new))
                .applicationProtocols(Http3.supportedApplicationProtocols())
                .earlyData(false)
                .build();
    }

    /** Listens; called from another thread than the loop's, and returns the address in use. */
    public InetSocketAddress listen(InetSocketAddress at) throws IOException {
        ChannelHandler codec = Http3.newQuicServerCodecBuilder()
                .sslEngineProvider(connection -> context.newEngine(connection.alloc()))
                .maxIdleTimeout(limits.idle(), TimeUnit.MILLISECONDS)
                .maxSendUdpPayloadSize(DATAGRAM)
                .maxRecvUdpPayloadSize(DATAGRAM)
                .initialMaxData(WINDOW)
                .initialMaxStreamDataBidirectionalRemote(ProxyRequest.BODY_MOST)
                .initialMaxStreamDataUnidirectional(CONTROL_WINDOW)
                .initialMaxStreamsUnidirectional(CONTROL_STREAMS)
                .initialMaxStreamsBidirectional(limits.streams())
                .activeMigration(true)
                .activeConnectionIdLimit(CONNECTION_IDS)
                .tokenHandler(new AddressValidationHandler(sessions))
                .handler(new ChannelInitializer<QuicChannel>() {
                    @Override
                    protected void initChannel(QuicChannel channel) {
                        opened(channel);
                    }
                })
                .build();
        try {
            socket = new Bootstrap()
                    .group(loop)
                    .channel(NioDatagramChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(datagrams, codec);
                        }
                    })
                    .bind(at)
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
        looking = loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        return (InetSocketAddress) socket.localAddress();
    }

    /** Takes clients, for the first time or again: those that were told that it goes come anew. */
    public void ready() {
        ready = !closing;
        stopping = closing;
    }

    /** Reads what has come by now, so that it is known which streams their clients have ended. */
    void readNow() {
        if (datagrams.isReading() || !(socket.unsafe() instanceof NioUnsafe unsafe)) {
            return;
        }
        long before = -1;
        for (int i = 0; i < READS_AT_ONCE && datagrams.count() != before; i++) {
            before = datagrams.count();
            unsafe.read();
        }
    }

    boolean isReady() {
        return ready;
    }

    /** Other settings hold from here on, for what comes in. */
    public void reload(SettingsReader.Boot to) {
        boot = to;
    }

    /** New connections show this certificate; those that stand go on with theirs. */
    public void renew(TlsIdentity identity) {
        context = context(identity);
    }

    private void opened(QuicChannel channel) {
        Http3ClientConnection connection = new Http3ClientConnection(this, channel);
        if (connection.session() == null) {
            // Later: its first packet is still being read.
            loop.execute(() -> channel.close(false, CONNECTION_REFUSED, Unpooled.EMPTY_BUFFER));
            return;
        }
        connections.add(connection);
        channel.closeFuture().addListener(closed -> {
            connections.remove(connection);
            sessions.closed(connection.session());
        });
        if (stopping) {
            connection.late();
        }
    }

    private void look() {
        long now = System.nanoTime();
        sessions.endOverdue(now);
        for (Http3ClientConnection connection : List.copyOf(connections)) {
            connection.look(now);
        }
    }

    boolean isClosing() {
        return closing;
    }

    /** Clients are told that it goes, and what they still send is served (RFC 9114, section 5.2). */
    public void stopping() {
        ready = false;
        stopping = true;
        connections.forEach(Http3ClientConnection::announce);
    }

    /** Takes nothing more: streams from here on are rejected, as never processed; what is taken goes on. */
    public void close() {
        closing = true;
        connections.forEach(Http3ClientConnection::goAway);
    }

    /** Ends all connections, once all that was taken has been answered. */
    public void end() {
        if (!looking.cancel(false)) {
            return; // told before: more may be taken while it stops
        }
        log.accept(sessions.summary());
        List.copyOf(connections).forEach(c -> c.end(Http3ErrorCodes.NO_ERROR));
    }
}
