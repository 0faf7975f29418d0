package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Arrays;
import loadbalancer.http1.BodyReader;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.BodyStream;
import loadbalancer.proxy.ProxyRequest;

/**
 * Puts a client's requests together, each whole and copied off the socket's buffers. What is too long, or
 * framed in a way that others may read otherwise, is refused as soon as that shows, and none of it is kept.
 */
final class RequestAggregator extends SimpleChannelInboundHandler<HttpObject> {
    /** Whom it tells. After {@link #bad} or {@link #cut} nothing more comes. */
    interface Taker {
        /** A head has come that can be read; its body is to follow. */
        void begun(HttpRequest head);

        void whole(HttpRequest head, byte[] body);

        /** A long one: {@code rest} follows behind {@code first}; {@code length}: of both, -1 if unknown. */
        void flowing(HttpRequest head, byte[] first, BodyStream rest, long length);

        void bad(HttpResponseStatus status, String why);

        /** The same within the long body that was told last. */
        void cut(HttpResponseStatus status, String why);
    }

    private final Taker taker;
    private final BodyMemoryBudget room;
    private final BodyMemoryBudget early;
    private HttpRequest head;
    private byte[] body;
    private int length;
    private boolean over;
    private Inflow inflow; // of a long body, until its last byte

    /** {@code early}: what long bodies may take that come in before anybody takes them. */
    RequestAggregator(Taker taker, BodyMemoryBudget room, BodyMemoryBudget early) {
        this.taker = taker;
        this.room = room;
        this.early = early;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (over) {
            return;
        }
        if (!part.decoderResult().isSuccess()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "malformed request");
        } else if (part instanceof HttpRequest request) {
            RequestFraming.Problem problem = RequestFraming.framing(request);
            if (problem != null) {
                refuse(problem.status(), problem.text());
                return;
            }
            head = request;
            body = new byte[0];
            length = 0;
            taker.begun(request);
            long told = HttpUtil.getContentLength(request, -1L);
            if (!over && told > ProxyRequest.BODY_MOST) {
                flow(context.channel(), told);
            }
        }
        if (!over && inflow != null && part instanceof HttpContent content) {
            inflow.more(content.content(), part instanceof LastHttpContent);
        } else if (!over && part instanceof HttpContent content) {
            add(context.channel(), content.content());
            if (!over && inflow != null && part instanceof LastHttpContent) {
                inflow.more(Unpooled.EMPTY_BUFFER, true);
            } else if (!over && part instanceof LastHttpContent) {
                HttpRequest request = head;
                head = null;
                byte[] all = body.length == length ? body : Arrays.copyOf(body, length);
                room.release(length);
                taker.whole(request, all);
            }
        }
    }

    private void add(Channel channel, ByteBuf more) {
        int bytes = more.readableBytes();
        if (bytes == 0) {
            return;
        }
        if (length + bytes > ProxyRequest.BODY_MOST) {
            flow(channel, -1);
            if (inflow != null) { // not refused at once
                inflow.more(more, false);
            }
            return;
        }
        if (!room.tryReserve(bytes)) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
            return;
        }
        if (length == 0) {
            body = ByteBufUtil.getBytes(more);
        } else {
            if (length + bytes > body.length) {
                body = Arrays.copyOf(body, Math.min(ProxyRequest.BODY_MOST, 2 * (length + bytes)));
            }
            more.readBytes(body, length, bytes);
        }
        length += bytes;
    }

    private void flow(Channel channel, long told) {
        HttpRequest request = head;
        byte[] held = Arrays.copyOf(body, length);
        head = null;
        body = null;
        room.release(length);
        inflow = new Inflow(channel);
        taker.flowing(request, held, inflow, told);
    }

    /** Whether the last byte of a long body has not come yet. */
    boolean flows() {
        return inflow != null;
    }

    /** Bytes of the present long body so far. */
    long flown() {
        return inflow == null ? 0 : inflow.bytes;
    }

    /**
     * What follows of a long body. Until it has a taker it is read on while there is room: with reading off
     * the end of its connection was not seen either, and what waited for its attempt was sent on behind its
     * client.
     */
    private final class Inflow extends BodyReader {
        private final ArrayDeque<byte[]> held = new ArrayDeque<>();
        private int charged; // of what is held
        private boolean dropped;
        private boolean whole;
        private long bytes;

        Inflow(Channel channel) {
            super(channel);
        }

        @Override
        protected void begin() {
            setReady(true);
            early.release(charged);
            charged = 0;
            while (!held.isEmpty()) {
                taker().onData(held.poll());
            }
            if (whole) {
                taker().onComplete();
            }
        }

        @Override
        public void cancel() {
            dropped = true;
            held.clear();
            early.release(charged);
            charged = 0;
            setReady(true); // its client may have to finish before it reads
        }

        private void more(ByteBuf more, boolean last) {
            bytes += more.readableBytes();
            if (bytes > ProxyRequest.LENGTH_MOST) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
                return;
            }
            if (!started() && !dropped) {
                hold(ByteBufUtil.getBytes(more));
            } else if (started() && more.isReadable()) {
                taker().onData(ByteBufUtil.getBytes(more));
            }
            if (last) {
                whole = true;
                inflow = null;
                if (started()) {
                    taker().onComplete();
                }
            }
        }

        private void hold(byte[] piece) {
            held.add(piece);
            if (early.tryReserve(piece.length)) {
                charged += piece.length;
            } else {
                setReady(false);
            }
        }

        private void broken() {
            cancel();
            if (started()) {
                taker().onError();
            }
        }
    }

    private void refuse(HttpResponseStatus status, String why) {
        if (inflow != null) {
            taker.cut(status, why);
            return;
        }
        drop();
        taker.bad(status, why);
    }

    /** Keeps nothing, now and from here on. */
    void drop() {
        over = true;
        if (head != null) {
            room.release(length);
        }
        head = null;
        body = null;
        Inflow left = inflow;
        inflow = null;
        if (left != null) {
            left.broken();
        }
    }
}
