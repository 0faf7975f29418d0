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
import loadbalancer.connections.Budget;
import loadbalancer.http3.ErrorCodes;
import loadbalancer.http3.ResetGuard;
import loadbalancer.http3.Sessions;
import loadbalancer.http3.codec.Codes;
import loadbalancer.http3.codec.Quiet;

/** One connection of a client and its streams. On the event loop. */
final class Connection extends ChannelInboundHandlerAdapter {
    private static final long LAST = (1L << 62) - 4; // the greatest id of a client's stream
    private static final double BURST = 100; // streams ended by their client that are borne
    private static final double PER_SECOND = 20;

    private final Http3Server server;
    private final QuicChannel channel;
    private final Sessions.Session session;
    private final ResetGuard resets;
    private final Set<RequestStream> streams = new LinkedHashSet<>();
    private long next; // the least id that has not been seen
    private long refused = Long.MAX_VALUE; // streams from here on are rejected
    private boolean late;
    private boolean clientClosed;

    Connection(Http3Server server, QuicChannel channel) {
        this.server = server;
        this.channel = channel;
        long now = System.nanoTime();
        resets = new ResetGuard(BURST, PER_SECOND, now);
        session = server.sessions.open(address(channel), () -> end(ErrorCodes.EXCESSIVE_LOAD), now);
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
                                    Codes.settings(),
                                    true),
                            new Quiet());
        }
    }

    private static Object address(QuicChannel channel) {
        return channel.remoteSocketAddress() instanceof InetSocketAddress from
                ? Budget.address(from.getAddress().getAddress())
                : "unknown";
    }

    Sessions.Session session() {
        return session;
    }

    Http3Server server() {
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
            List.copyOf(streams).forEach(RequestStream::clientClosed);
        }
        if (late && event instanceof SslHandshakeCompletionEvent) {
            goAway(server.isClosing() ? 0 : LAST);
        }
    }

    private void opened(QuicStreamChannel stream) {
        next = Math.max(next, stream.streamId() + 4);
        RequestStream request = new RequestStream(this, stream, stream.streamId() >= refused);
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
            end(ErrorCodes.EXCESSIVE_LOAD);
        }
    }

    void answered() {
        resets.answered();
    }

    void look(long now) {
        for (RequestStream stream : List.copyOf(streams)) {
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
        Codes.end(channel, code);
    }
}
