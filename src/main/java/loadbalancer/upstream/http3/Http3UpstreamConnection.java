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
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.UnhandledExceptionHandler;
import loadbalancer.proxy.SendPermit;

/** One QUIC connection to an upstream: its handshake, its streams, its end. On the event loop. */
final class Http3UpstreamConnection {
    private final Http3Upstream box;
    private final Http3ConnectionPlan.PlannedConnection link;
    private final Set<Http3Attempt> calls = new LinkedHashSet<>();
    private final ArrayDeque<Http3Attempt> waiting = new ArrayDeque<>(); // for the handshake
    private QuicChannel channel;
    private Future<?> patience;
    private boolean connected;
    private boolean over;

    Http3UpstreamConnection(Http3Upstream box, Http3ConnectionPlan.PlannedConnection link) {
        this.box = box;
        this.link = link;
    }

    /** Begins the handshake; what waits for it when its time is over has not been sent. */
    void dial() {
        Http3AttemptTransport owner = box.owner();
        patience = owner.loop.schedule(
                () -> {
                    CodecErrors.close(channel, Http3ErrorCodes.NO_ERROR);
                    lost();
                },
                owner.connectMicros(),
                TimeUnit.MICROSECONDS);
        owner.socket(box.endpoint()).addListener((ChannelFuture bound) -> {
            if (!bound.isSuccess()) {
                lost();
            } else if (!over) {
                connect(bound.channel());
            }
        });
    }

    private void connect(Channel socket) {
        QuicChannel.newBootstrap(socket)
                .attr(Http3AttemptTransport.PEER, box.endpoint())
                .handler(new ChannelInitializer<QuicChannel>() {
                    @Override
                    protected void initChannel(QuicChannel quic) {
                        channel = quic;
                        quic.closeFuture().addListener(closed -> lost());
                        quic.pipeline()
                                .addLast(
                                        new Streams(),
                                        new Http3ClientConnectionHandler(
                                                new Control(), null, null, CodecErrors.settings(), true),
                                        new UnhandledExceptionHandler());
                    }
                })
                .remoteAddress(box.endpoint())
                .connect()
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        lost();
                    } else if (over) {
                        CodecErrors.close(channel, Http3ErrorCodes.NO_ERROR);
                    } else {
                        connected = true;
                        upIfSo();
                    }
                });
    }

    // Not before the codec has asked the stack how many streams there may be: else it counts down from 0,
    // asks anew only when it meets 0, and so never again.
    private void upIfSo() {
        if (!connected || link.up() || over || left() <= 0) {
            return;
        }
        patience.cancel(false);
        box.plan().up(link, left(), box.owner().clock.now());
        for (Http3Attempt call = waiting.poll(); call != null; call = waiting.poll()) {
            open(call);
        }
    }

    private long left() {
        return channel.peerAllowedStreams(QuicStreamType.BIDIRECTIONAL);
    }

    void tellAllowed() {
        if (link.up()) {
            box.plan().allowed(link, left());
        }
    }

    void carry(Http3Attempt call) {
        calls.add(call);
        call.on(this);
        if (link.up()) {
            open(call);
        } else {
            waiting.add(call);
        }
    }

    // Never from within a read of a client's connection, and behind news of the list that may lie unread.
    private void open(Http3Attempt call) {
        Http3AttemptTransport owner = box.owner();
        owner.loop.execute(() -> owner.news.afterUpdates(() -> begin(call)));
    }

    private void begin(Http3Attempt call) {
        SendPermit permit = call.permit(box.stopAt());
        if (call.isOver()) {
            return;
        }
        if (!permit.granted()) {
            call.end(permit.refusal(), null, null);
            return;
        }
        // More may have waited than the peer allows. The codec's own refusal would use up the stream's
        // number, which counts at the peer.
        if (left() <= 0) {
            call.ended(How.NO_STREAM, -1);
            return;
        }
        Http3.newRequestStream(channel, call.reader()).addListener(done -> {
            if (done.isSuccess()) {
                call.opened((QuicStreamChannel) done.getNow(), permit);
            } else {
                call.ended(How.NO_STREAM, -1);
            }
        });
    }

    /** The call is over, one way or another. */
    void released(Http3Attempt call) {
        if (calls.remove(call)) {
            waiting.remove(call);
            box.plan().released(link, box.owner().clock.now());
            if (link.idleSince(Long.MIN_VALUE)) { // nothing is left on one that is going
                end();
            }
        }
    }

    private void goAway(long id) {
        if (!box.plan().goAway(link, id)) {
            CodecErrors.close(channel, Http3ErrorCodes.ID_ERROR);
            return;
        }
        for (Http3Attempt call : new ArrayList<>(calls)) {
            if (call.beyond(link)) {
                call.ended(How.BEYOND_GOAWAY, -1);
            }
        }
        if (link.idleSince(Long.MIN_VALUE)) {
            end();
        }
    }

    // What became of each call is told once; those that wait have not been sent.
    private void lost() {
        if (over) {
            return;
        }
        over = true;
        patience.cancel(false);
        box.closed(link);
        for (Http3Attempt call : List.copyOf(calls)) {
            call.ended(call.isOpen() ? How.CONNECTION_LOST : How.NOT_CONNECTED, -1);
        }
    }

    void end() {
        if (channel == null) {
            lost();
        } else {
            CodecErrors.close(channel, Http3ErrorCodes.NO_ERROR);
        }
    }

    /** What the peer allows changes as streams end (MAX_STREAMS, RFC 9000, section 19.11). */
    private final class Streams extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof QuicStreamLimitChangedEvent) {
                upIfSo();
            }
            context.fireUserEventTriggered(event);
        }
    }

    /** The peer's control stream (RFC 9114, section 6.2.1). */
    private final class Control extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            if (frame instanceof Http3GoAwayFrame going) {
                goAway(going.id());
            }
            ReferenceCountUtil.release(frame);
        }
    }
}
