package junctionhead.front.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Arrays;
import junctionhead.core.Order;
import junctionhead.core.Room;

/**
 * Puts a client's requests together, each whole and copied off the socket's buffers. What is too long, or
 * framed in a way that others may read otherwise, is refused as soon as that shows, and none of it is kept.
 */
final class Intake extends SimpleChannelInboundHandler<HttpObject> {
    /** Whom it tells. After {@link #bad} nothing more comes. */
    interface Taker {
        /** A head has come that can be read; its body is to follow. */
        void begun(HttpRequest head);

        void whole(HttpRequest head, byte[] body);

        void bad(HttpResponseStatus status, String why);
    }

    private final Taker taker;
    private final Room room;
    private HttpRequest head;
    private byte[] body;
    private int length;
    private boolean over;

    Intake(Taker taker, Room room) {
        this.taker = taker;
        this.room = room;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (over) {
            return;
        }
        if (!part.decoderResult().isSuccess()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "malformed request");
        } else if (part instanceof HttpRequest request) {
            RequestRules.Problem problem = RequestRules.framing(request);
            if (problem != null) {
                refuse(problem.status(), problem.text());
                return;
            }
            head = request;
            body = new byte[0];
            length = 0;
            taker.begun(request);
        }
        if (!over && part instanceof HttpContent content) {
            add(content.content());
            if (!over && part instanceof LastHttpContent) {
                HttpRequest request = head;
                head = null;
                byte[] all = body.length == length ? body : Arrays.copyOf(body, length);
                room.give(length);
                taker.whole(request, all);
            }
        }
    }

    private void add(ByteBuf more) {
        int bytes = more.readableBytes();
        if (bytes == 0) {
            return;
        }
        if (length + bytes > Order.BODY_MOST || !room.take(bytes)) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
            return;
        }
        if (length == 0) {
            body = ByteBufUtil.getBytes(more);
        } else {
            if (length + bytes > body.length) {
                body = Arrays.copyOf(body, Math.min(Order.BODY_MOST, 2 * (length + bytes)));
            }
            more.readBytes(body, length, bytes);
        }
        length += bytes;
    }

    private void refuse(HttpResponseStatus status, String why) {
        drop();
        taker.bad(status, why);
    }

    /** Keeps nothing, now and from here on. */
    void drop() {
        over = true;
        if (head != null) {
            room.give(length);
        }
        head = null;
        body = null;
    }
}
