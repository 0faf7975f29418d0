package loadbalancer.upstream.http3;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http3.Http3;
import io.netty.handler.codec.http3.Http3ClientConnectionHandler;
import io.netty.handler.codec.http3.Http3GoAwayFrame;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicStreamChannel;
import io.netty.handler.codec.quic.QuicStreamLimitChangedEvent;
import io.netty.handler.codec.quic.QuicStreamType;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.AttemptOutcomes.How;
import loadbalancer.http3.Http3ConnectionPlan.PlannedConnection;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.UnhandledExceptionHandler;
import loadbalancer.proxy.SendPermit;

/** One QUIC connection to an upstream: its handshake, its request streams, its end. On the event loop. */
final class Http3UpstreamConnection {
    /** What the connection is at; whether it takes new streams its {@link PlannedConnection} knows. */
    private enum State {
        /** The handshake is under way. */
        CONNECTING,
        /** The handshake is done. */
        CONNECTED,
        /** Closed, by whichever side, or never connected. */
        CLOSED
    }

    private static final long NO_CODE = -1;

    private final Http3Upstream upstream;
    private final PlannedConnection planned;
    private final Set<Http3Attempt> attempts = new LinkedHashSet<>();
    private final ArrayDeque<Http3Attempt> waitingForHandshake = new ArrayDeque<>();
    private QuicChannel channel;
    private Future<?> handshakeTimeout;
    private State state = State.CONNECTING;

    Http3UpstreamConnection(Http3Upstream upstream, PlannedConnection planned) {
        this.upstream = upstream;
        this.planned = planned;
    }

    // ---------------------------------------------------------------- the handshake

    /** Begins the handshake; the attempts that still wait for it when its time is over have not been sent. */
    void dial() {
        Http3AttemptTransport transport = upstream.transport();
        handshakeTimeout = transport.loop.schedule(
                () -> {
                    CodecErrors.close(channel, Http3ErrorCodes.NO_ERROR);
                    onClosed();
                },
                transport.connectMicros(),
                TimeUnit.MICROSECONDS);
        transport.socket(upstream.endpoint()).addListener((ChannelFuture bound) -> {
            if (transport.loop.inEventLoop()) {
                connectOver(bound);
            } else { // a socket that can't be created is reported on another thread
                transport.loop.execute(() -> connectOver(bound));
            }
        });
    }

    private void connectOver(ChannelFuture socket) {
        if (!socket.isSuccess()) {
            onClosed();
        } else if (state != State.CLOSED) {
            connect(socket.channel());
        }
    }

    private void connect(Channel socket) {
        QuicChannel.newBootstrap(socket)
                .attr(Http3AttemptTransport.PEER, upstream.endpoint())
                .handler(new ChannelInitializer<QuicChannel>() {
                    @Override
                    protected void initChannel(QuicChannel quic) {
                        initialize(quic);
                    }
                })
                .remoteAddress(upstream.endpoint())
                .connect()
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        onClosed();
                    } else if (state == State.CLOSED) {
                        CodecErrors.close(channel, Http3ErrorCodes.NO_ERROR);
                    } else {
                        state = State.CONNECTED;
                        openIfStreamsAllowed();
                    }
                });
    }

    private void initialize(QuicChannel quic) {
        channel = quic;
        quic.closeFuture().addListener(closed -> onClosed());
        quic.pipeline()
                .addLast(
                        new StreamLimitHandler(),
                        new Http3ClientConnectionHandler(
                                new ControlStreamHandler(), null, null, CodecErrors.settings(), true),
                        new UnhandledExceptionHandler());
    }

    // Not before the codec has asked the QUIC stack how many streams are allowed: else it counts down from 0,
    // asks again only when it reaches 0, and so never.
    private void openIfStreamsAllowed() {
        if (state != State.CONNECTED || planned.up() || allowedStreams() <= 0) {
            return;
        }
        handshakeTimeout.cancel(false);
        upstream.plan().up(planned, allowedStreams(), upstream.transport().clock.now());
        for (Http3Attempt attempt = waitingForHandshake.poll(); attempt != null; attempt = waitingForHandshake.poll()) {
            startAfterUpdates(attempt);
        }
    }

    private long allowedStreams() {
        return channel.peerAllowedStreams(QuicStreamType.BIDIRECTIONAL);
    }

    /** Updates the plan with the number of streams that the peer allows now. */
    void updateStreamLimit() {
        if (planned.up()) {
            upstream.plan().allowed(planned, allowedStreams());
        }
    }

    // ---------------------------------------------------------------- attempts

    /** Starts an attempt now, or once the handshake is done. */
    void start(Http3Attempt attempt) {
        attempts.add(attempt);
        attempt.assignTo(this);
        if (planned.up()) {
            startAfterUpdates(attempt);
        } else {
            waitingForHandshake.add(attempt);
        }
    }

    // Never from within a read of a client's connection, and behind updates of the endpoint list that may lie
    // unread.
    private void startAfterUpdates(Http3Attempt attempt) {
        Http3AttemptTransport transport = upstream.transport();
        transport.loop.execute(() -> transport.updates.runAfterUpdates(() -> openStream(attempt)));
    }

    private void openStream(Http3Attempt attempt) {
        SendPermit permit = attempt.decide(upstream.stopAtMicros());
        if (attempt.hasEnded()) {
            return;
        }
        if (!permit.granted()) {
            attempt.end(permit.refusal());
            return;
        }
        // More may have waited than the peer allows. The codec's own refusal would use up the stream's
        // number, which counts at the peer.
        if (allowedStreams() <= 0) {
            attempt.fail(How.NO_STREAM, NO_CODE);
            return;
        }
        Http3.newRequestStream(channel, attempt.responseDecoder()).addListener(done -> {
            if (done.isSuccess()) {
                attempt.send((QuicStreamChannel) done.getNow(), permit);
            } else {
                attempt.fail(How.NO_STREAM, NO_CODE);
            }
        });
    }

    /** The attempt has ended, one way or another. */
    void release(Http3Attempt attempt) {
        if (attempts.remove(attempt)) {
            waitingForHandshake.remove(attempt);
            upstream.plan().released(planned, upstream.transport().clock.now());
            closeIfDrained();
        }
    }

    // ---------------------------------------------------------------- the end

    // Of a connection that takes no new streams: nothing is left on it.
    private void closeIfDrained() {
        if (planned.idleSince(Long.MIN_VALUE)) {
            close();
        }
    }

    private void onGoAway(long id) {
        if (!upstream.plan().goAway(planned, id)) {
            CodecErrors.close(channel, Http3ErrorCodes.ID_ERROR);
            return;
        }
        for (Http3Attempt attempt : new ArrayList<>(attempts)) {
            if (attempt.isBeyondGoAway(planned)) {
                attempt.fail(How.BEYOND_GOAWAY, NO_CODE);
            }
        }
        closeIfDrained();
    }

    // Each attempt ends once; those that wait have not been sent.
    private void onClosed() {
        if (state == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        handshakeTimeout.cancel(false);
        upstream.onClosed(planned);
        for (Http3Attempt attempt : List.copyOf(attempts)) {
            attempt.fail(attempt.hasStream() ? How.CONNECTION_LOST : How.NOT_CONNECTED, NO_CODE);
        }
    }

    /** Closes the connection, whatever it carries. */
    void close() {
        if (channel == null) {
            onClosed();
        } else {
            CodecErrors.close(channel, Http3ErrorCodes.NO_ERROR);
        }
    }

    /** The peer allows more streams as others end (MAX_STREAMS, RFC 9000, section 19.11). */
    private final class StreamLimitHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof QuicStreamLimitChangedEvent) {
                openIfStreamsAllowed();
            }
            context.fireUserEventTriggered(event);
        }
    }

    /** Reads the peer's control stream (RFC 9114, section 6.2.1). */
    private final class ControlStreamHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            if (frame instanceof Http3GoAwayFrame goAway) {
                onGoAway(goAway.id());
            }
            ReferenceCountUtil.release(frame);
        }
    }
}
