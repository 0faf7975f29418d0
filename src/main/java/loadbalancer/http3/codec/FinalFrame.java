package loadbalancer.http3.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.quic.DefaultQuicStreamFrame;

/**
 * Ends a stream with its last bytes, in one frame. The QUIC stack did not retransmit a lost end that was sent
 * on its own: 5 of 60 responses had no end on a path that loses 5 %. Such an end could also overtake bytes that
 * wait for the congestion window. Stands between the codec and the stream; on the event loop.
 */
public final class FinalFrame extends ChannelOutboundHandlerAdapter {
    private boolean last;
    private CompositeByteBuf pending; // until the next flush
    private ChannelPromise pendingWritten;

    /** All that is written from here on until the next flush is the rest of the message, and ends the stream. */
    public void last() {
        last = true;
    }

    @Override
    public void write(ChannelHandlerContext context, Object part, ChannelPromise promise) {
        if (!last || !(part instanceof ByteBuf bytes)) {
            context.write(part, promise);
            return;
        }
        if (pending == null) {
            pending = context.alloc().compositeBuffer();
            pendingWritten = context.newPromise();
        }
        pending.addComponent(true, bytes);
        pendingWritten.addListener(written -> {
            if (written.isSuccess()) {
                promise.trySuccess();
            } else {
                promise.tryFailure(written.cause());
            }
        });
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        if (pending != null) {
            CompositeByteBuf rest = pending;
            pending = null;
            context.write(new DefaultQuicStreamFrame(rest, true), pendingWritten);
        }
        context.flush();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (pending != null) {
            pending.release();
            pending = null;
        }
    }
}
