package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Buffers what a client sends while it has pipelined as many requests as are taken. The connection is still read:
 * with reading off its end would not be seen either, and requests whose client had left would be forwarded. On
 * the event loop.
 */
final class PipeliningLimiter extends ChannelInboundHandlerAdapter {
    private final int maxBufferedBytes;
    private final Runnable onOverflow;
    private final ArrayDeque<Object> buffered = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int bufferedBytes;
    private boolean paused;

    /** {@code onOverflow} runs where more than {@code maxBufferedBytes} would have to be buffered. */
    PipeliningLimiter(int maxBufferedBytes, Runnable onOverflow) {
        this.maxBufferedBytes = maxBufferedBytes;
        this.onOverflow = onOverflow;
    }

    boolean isPaused() {
        return paused;
    }

    /** Buffers what arrives from here on. */
    void pause() {
        paused = true;
    }

    /** Hands on what was buffered, as far as it is not paused once more meanwhile. */
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

    /** Discards the buffer, and hands on at once what arrives from here on. */
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
        if (bufferedBytes + byteCount(message) > maxBufferedBytes) {
            ReferenceCountUtil.release(message);
            onOverflow.run();
            return;
        }
        bufferedBytes += byteCount(message);
        buffered.add(message);
    }

    private static int byteCount(Object message) {
        return message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    }
}
