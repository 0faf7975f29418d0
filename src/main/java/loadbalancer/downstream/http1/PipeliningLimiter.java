package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Keeps what a client sends while its requests ahead are as many as are taken. The connection is read on:
 * with reading off its end was not seen either, and requests whose client had left were sent on. On the event
 * loop.
 */
final class PipeliningLimiter extends ChannelInboundHandlerAdapter {
    private final int most;
    private final Runnable full;
    private final ArrayDeque<Object> kept = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int bytes;
    private boolean shut;

    /** {@code full} runs where more than {@code most} bytes would have to be kept. */
    PipeliningLimiter(int most, Runnable full) {
        this.most = most;
        this.full = full;
    }

    boolean isShut() {
        return shut;
    }

    void shut() {
        shut = true;
    }

    /** Hands on what was kept, as far as it is not shut again meanwhile. */
    void open() {
        shut = false;
        boolean any = !kept.isEmpty();
        while (!shut && !kept.isEmpty()) {
            Object next = kept.poll();
            bytes -= size(next);
            context.fireChannelRead(next);
        }
        if (any) {
            context.fireChannelReadComplete();
        }
    }

    /** Keeps nothing, and lets through what comes from here on. */
    void drop() {
        shut = false;
        kept.forEach(ReferenceCountUtil::release);
        kept.clear();
        bytes = 0;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext at, Object part) {
        if (!shut) {
            at.fireChannelRead(part);
            return;
        }
        if (bytes + size(part) > most) {
            ReferenceCountUtil.release(part);
            full.run();
            return;
        }
        bytes += size(part);
        kept.add(part);
    }

    private static int size(Object part) {
        return part instanceof ByteBuf some ? some.readableBytes() : 0;
    }
}
