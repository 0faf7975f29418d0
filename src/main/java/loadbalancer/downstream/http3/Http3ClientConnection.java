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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.downstream.ClientAddress;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.RapidResetGuard;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.UnhandledExceptionHandler;

/** One connection of a client and its request streams (RFC 9114, section 6.1). On the event loop. */
final class Http3ClientConnection extends ChannelInboundHandlerAdapter {
    // The greatest id of a stream that a client opens (RFC 9000, section 2.1), for a GOAWAY that rejects nothing.
    private static final long MAX_CLIENT_STREAM_ID = (1L << 62) - 4;
    private static final int STREAM_ID_STEP = 4; // between two bidirectional streams of a client
    private static final double MAX_RESET_BURST = 100; // streams that the client ends before their responses
    private static final double MAX_RESETS_PER_SECOND = 20;

    private final Http3Listener listener;
    private final QuicChannel channel;
    private final Http3ConnectionLimiter.TrackedConnection trackedConnection;
    private final RapidResetGuard resetGuard;
    private final Set<Http3RequestStream> streams = new LinkedHashSet<>();
    private long nextStreamId; // the lowest id that has not been seen
    private long firstRejectedStreamId = Long.MAX_VALUE; // streams from here on are rejected
    private boolean goAwayAfterHandshake;
    private boolean clientClosed;

    Http3ClientConnection(Http3Listener listener, QuicChannel channel) {
        this.listener = listener;
        this.channel = channel;
        long nowNanos = System.nanoTime();
        resetGuard = new RapidResetGuard(MAX_RESET_BURST, MAX_RESETS_PER_SECOND, nowNanos);
        trackedConnection = listener.connectionLimiter()
                .open(
                        ClientAddress.key(channel.remoteSocketAddress()),
                        () -> close(Http3ErrorCodes.EXCESSIVE_LOAD),
                        nowNanos);
        if (isAdmitted()) {
            channel.pipeline().addLast(this, connectionHandler(), new UnhandledExceptionHandler());
        }
    }

    private Http3ServerConnectionHandler connectionHandler() {
        ChannelInitializer<QuicStreamChannel> requestStreams = new ChannelInitializer<>() {
            @Override
            protected void initChannel(QuicStreamChannel stream) {
                streamOpened(stream);
            }
        };
        return new Http3ServerConnectionHandler(requestStreams, null, null, CodecErrors.settings(), true);
    }

    /** Whether the limits admit it; otherwise it has no handlers and is to be closed. */
    boolean isAdmitted() {
        return trackedConnection != null;
    }

    QuicChannel channel() {
        return channel;
    }

    /** Its place in the limits; null where it is not admitted. */
    Http3ConnectionLimiter.TrackedConnection trackedConnection() {
        return trackedConnection;
    }

    Http3Listener listener() {
        return listener;
    }

    /** It was opened while the listener is draining: the client is notified once the handshake is done. */
    void openedWhileDraining() {
        goAwayAfterHandshake = true;
        firstRejectedStreamId = listener.isRejectingNewStreams() ? 0 : firstRejectedStreamId;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof SslHandshakeCompletionEvent handshake && handshake.isSuccess()) {
            listener.connectionLimiter().established(trackedConnection, System.nanoTime());
        }
        context.fireUserEventTriggered(event);
        if (event instanceof QuicConnectionCloseEvent) {
            // Its streams close some round trips later, when the connection has drained (RFC 9000, 10.2.2).
            clientClosed = true;
            List.copyOf(streams).forEach(Http3RequestStream::onClientClosed);
        }
        if (goAwayAfterHandshake && event instanceof SslHandshakeCompletionEvent) {
            sendGoAway(listener.isRejectingNewStreams() ? 0 : MAX_CLIENT_STREAM_ID);
        }
    }

    private void streamOpened(QuicStreamChannel stream) {
        nextStreamId = Math.max(nextStreamId, stream.streamId() + STREAM_ID_STEP);
        Http3RequestStream request = new Http3RequestStream(this, stream, stream.streamId() >= firstRejectedStreamId);
        streams.add(request);
        listener.connectionLimiter().streamOpened(trackedConnection);
        stream.closeFuture().addListener(closed -> {
            streams.remove(request);
            request.onClosed();
            listener.connectionLimiter().streamClosed(trackedConnection, System.nanoTime());
        });
        stream.pipeline().addLast(request);
    }

    /** Whether the client has closed it; what is still read of its streams is not served. */
    boolean isClientClosed() {
        return clientClosed;
    }

    /** The client has ended a stream before its response; too many of these close the connection. */
    void streamCancelled() {
        if (!resetGuard.ended(System.nanoTime())) {
            close(Http3ErrorCodes.EXCESSIVE_LOAD);
        }
    }

    /** A stream has got its response. */
    void streamResponded() {
        resetGuard.answered();
    }

    /** Ends the streams that take too long. */
    void checkTimeouts(long nowNanos) {
        for (Http3RequestStream stream : List.copyOf(streams)) {
            stream.checkTimeouts(nowNanos);
        }
    }

    /** The first step of a graceful shutdown (RFC 9114, section 5.2): no stream is rejected yet. */
    void announceShutdown() {
        sendGoAway(MAX_CLIENT_STREAM_ID);
    }

    /** The second step: streams that have not been seen are rejected. */
    void rejectNewStreams() {
        firstRejectedStreamId = nextStreamId;
        sendGoAway(nextStreamId);
    }

    private void sendGoAway(long streamId) {
        QuicStreamChannel control = Http3.getLocalControlStream(channel);
        if (control != null) {
            control.writeAndFlush(new DefaultHttp3GoAwayFrame(streamId));
        }
    }

    /** Closes the connection with an error code of RFC 9114, section 8.1. */
    void close(long errorCode) {
        CodecErrors.close(channel, errorCode);
    }
}
