package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Buffers the input of a client that has reached the limit of pipelined requests. The connection is still read: with
 * reading off, the close of the connection would not be noticed either, and requests of a client that has disconnected
 * would be forwarded. Must be used on the event loop.
 */
final class PipeliningLimiter extends ChannelInboundHandlerAdapter {
    private static final int MAX_BUFFERED_BYTES = 64 * 1024; // input after the pipelined requests

    private final Http1ClientConnection connection;
    private final ArrayDeque<Object> buffered = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int bufferedBytes;
    private boolean paused;

    PipeliningLimiter(Http1ClientConnection connection) {
        this.connection = connection;
    }

    /** The bytes that are buffered. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    boolean isPaused() {
        return paused;
    }

    /** Buffers all input from now on. */
    void pause() {
        paused = true;
    }

    /** Passes the buffered input on, until the handler is paused again. */
    void resume() {
        paused = false;
        boolean hadBuffered = !buffered.isEmpty();
        while (!paused && !buffered.isEmpty()) {
            Object next = buffered.poll();
            bufferedBytes -= byteCount(next);
            context.fireChannelRead(next);
        }
        if (hadBuffered) {
            context.fireChannelReadComplete();
        }
    }

    /** Discards the buffered input, and passes further input on without buffering. */
    void discardBuffered() {
        paused = false;
        buffered.forEach(ReferenceCountUtil::release);
        buffered.clear();
        bufferedBytes = 0;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext current, Object message) {
        if (!paused) {
            current.fireChannelRead(message);
            return;
        }
        if (bufferedBytes + byteCount(message) > MAX_BUFFERED_BYTES) {
            ReferenceCountUtil.release(message);
            connection.onMalformed(HttpResponseStatus.BAD_REQUEST, ConnectionInput.TOO_MANY_PIPELINED);
            return;
        }
        if (!connection.memory().mayHoldMore(byteCount(message))) {
            connection.inputExceedsMemory();
            current.fireChannelRead(message);
            return;
        }
        bufferedBytes += byteCount(message);
        buffered.add(message);
    }

    private static int byteCount(Object message) {
        return message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    }
}
