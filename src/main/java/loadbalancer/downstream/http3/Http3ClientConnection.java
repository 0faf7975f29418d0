package loadbalancer.downstream.http3;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http3.DefaultHttp3GoAwayFrame;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.http3.Http3ServerConnectionHandler;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicConnectionCloseEvent;
import io.netty.handler.codec.quic.QuicStreamChannel;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.RapidResetGuard;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.UnhandledExceptionHandler;

/** One connection of a client and its streams. On the event loop. */
final class Http3ClientConnection extends ChannelInboundHandlerAdapter {
    private static final long LAST = (1L << 62) - 4; // the greatest id of a client's stream
    private static final double BURST = 100; // streams ended by their client that are borne
    private static final double PER_SECOND = 20;

    private final Http3Listener server;
    private final QuicChannel channel;
    private final Http3ConnectionLimiter.TrackedConnection session;
    private final RapidResetGuard resets;
    private final Set<Http3RequestStream> streams = new LinkedHashSet<>();
    private long next; // the least id that has not been seen
    private long refused = Long.MAX_VALUE; // streams from here on are rejected
    private boolean late;
    private boolean clientClosed;

    Http3ClientConnection(Http3Listener server, QuicChannel channel) {
        this.server = server;
        this.channel = channel;
        long now = System.nanoTime();
        resets = new RapidResetGuard(BURST, PER_SECOND, now);
        session = server.sessions.open(address(channel), () -> end(Http3ErrorCodes.EXCESSIVE_LOAD), now);
        if (session != null) {
            channel.pipeline()
                    .addLast(
                            this,
                            new Http3ServerConnectionHandler(
                                    new ChannelInitializer<QuicStreamChannel>() {
                                        @Override
                                        protected void initChannel(QuicStreamChannel stream) {
                                            opened(stream);
                                        }
                                    },
                                    null,
                                    null,
                                    CodecErrors.settings(),
                                    true),
                            new UnhandledExceptionHandler());
        }
    }

    private static Object address(QuicChannel channel) {
        return channel.remoteSocketAddress() instanceof InetSocketAddress from
                ? ConnectionBudget.address(from.getAddress().getAddress())
                : "unknown";
    }

    Http3ConnectionLimiter.TrackedConnection session() {
        return session;
    }

    Http3Listener server() {
        return server;
    }

    /** It came while the node is about to stop: it is told so once its handshake is done. */
    void late() {
        late = true;
        refused = server.isClosing() ? 0 : refused;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof SslHandshakeCompletionEvent done && done.isSuccess()) {
            server.sessions.established(session, System.nanoTime());
        }
        context.fireUserEventTriggered(event);
        if (event instanceof QuicConnectionCloseEvent) {
            // Its streams close some round trips later, when the connection has drained (RFC 9000, 10.2.2).
            clientClosed = true;
            List.copyOf(streams).forEach(Http3RequestStream::clientClosed);
        }
        if (late && event instanceof SslHandshakeCompletionEvent) {
            goAway(server.isClosing() ? 0 : LAST);
        }
    }

    private void opened(QuicStreamChannel stream) {
        next = Math.max(next, stream.streamId() + 4);
        Http3RequestStream request = new Http3RequestStream(this, stream, stream.streamId() >= refused);
        streams.add(request);
        server.sessions.streamOpened(session);
        stream.closeFuture().addListener(closed -> {
            streams.remove(request);
            request.closed();
            server.sessions.streamClosed(session, System.nanoTime());
        });
        stream.pipeline().addLast(request);
    }

    /** Whether its client has closed it; what is still read of its streams is not served. */
    boolean isClientClosed() {
        return clientClosed;
    }

    /** Its client has ended a stream before our answer. */
    void cancelled() {
        if (!resets.ended(System.nanoTime())) {
            end(Http3ErrorCodes.EXCESSIVE_LOAD);
        }
    }

    void answered() {
        resets.answered();
    }

    void look(long now) {
        for (Http3RequestStream stream : List.copyOf(streams)) {
            stream.look(now);
        }
    }

    /** The first step of an end in order: no stream is rejected yet. */
    void announce() {
        goAway(LAST);
    }

    /** The second: what has not been seen is rejected. */
    void goAway() {
        refused = next;
        goAway(next);
    }

    private void goAway(long id) {
        QuicStreamChannel control = Http3.getLocalControlStream(channel);
        if (control != null) {
            control.writeAndFlush(new DefaultHttp3GoAwayFrame(id));
        }
    }

    void end(long code) {
        CodecErrors.close(channel, code);
    }
}
