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

/**
 * One QUIC connection of a client and its request streams (RFC 9114, section 6.1). Must be used on the event loop.
 */
final class Http3ClientConnection extends ChannelInboundHandlerAdapter {
    // The highest possible id of a client-initiated stream (RFC 9000, section 2.1): a GOAWAY with it rejects nothing.
    private static final long MAX_CLIENT_STREAM_ID = (1L << 62) - 4;
    private static final int STREAM_ID_STEP = 4; // between the ids of two bidirectional streams of a client
    private static final double MAX_RESET_BURST = 100; // streams that the client resets before their responses
    private static final double MAX_RESETS_PER_SECOND = 20;

    private final Http3Listener listener;
    private final QuicChannel channel;
    private final Http3ConnectionLimiter.TrackedConnection trackedConnection;
    private final RapidResetGuard resetGuard;
    private final Set<Http3RequestStream> streams = new LinkedHashSet<>();
    private long nextStreamId; // the lowest id of a stream that has not been opened yet
    private long firstRejectedStreamId = Long.MAX_VALUE; // streams with this id or a higher one are rejected
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

    /** Whether the limits admit the connection; otherwise it has no handlers and the caller must close it. */
    boolean isAdmitted() {
        return trackedConnection != null;
    }

    QuicChannel channel() {
        return channel;
    }

    /** The entry of this connection in the connection limiter; null if the connection is not admitted. */
    Http3ConnectionLimiter.TrackedConnection trackedConnection() {
        return trackedConnection;
    }

    Http3Listener listener() {
        return listener;
    }

    /** Called for a connection that was opened while the listener drains: sends a GOAWAY after the handshake. */
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
            // The streams close some round trips later, after the draining period (RFC 9000, section 10.2.2).
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

    /** Whether the client has closed the connection; requests that are still read from its streams are not served. */
    boolean isClientClosed() {
        return clientClosed;
    }

    /** Called when the client has cancelled a stream before its response; too many of these close the connection. */
    void streamCancelled() {
        if (!resetGuard.ended(System.nanoTime())) {
            close(Http3ErrorCodes.EXCESSIVE_LOAD);
        }
    }

    /** Called when the response to a stream has been written. */
    void streamResponded() {
        resetGuard.answered();
    }

    /** The number of responses that have not been sent completely. */
    int unsentResponses() {
        return (int)
                streams.stream().filter(Http3RequestStream::hasUnsentResponse).count();
    }

    /** The number of requests that have been received in part. */
    int partialRequests() {
        return (int)
                streams.stream().filter(Http3RequestStream::isReceivingRequest).count();
    }

    /** Refuses the requests that have been received in part. */
    void refusePartialRequests() {
        List.copyOf(streams).forEach(Http3RequestStream::refuseIfPartial);
    }

    /** Ends the streams that exceed a timeout. */
    void checkTimeouts(long nowNanos) {
        for (Http3RequestStream stream : List.copyOf(streams)) {
            stream.checkTimeouts(nowNanos);
        }
    }

    /** Sends the first GOAWAY of a graceful shutdown (RFC 9114, section 5.2); no stream is rejected yet. */
    void announceShutdown() {
        sendGoAway(MAX_CLIENT_STREAM_ID);
    }

    /** Sends the second GOAWAY of a graceful shutdown; streams that have not been opened yet are rejected. */
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
