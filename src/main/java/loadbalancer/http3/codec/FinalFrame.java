package loadbalancer.http3.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.quic.DefaultQuicStreamFrame;

/**
 * Ends a stream with its last bytes, in one frame. An end on its own that is lost did not come
 * again: 5 of 60 answers had no end on a path that loses 5 %. It could also overtake bytes that wait for the
 * congestion window. Stands between the codec and the stream; on the event loop.
 */
public final class FinalFrame extends ChannelOutboundHandlerAdapter {
    private boolean last;
    private CompositeByteBuf held;
    private ChannelPromise promise;

    /** What is written from here on to the next flush is all that is left, and ends the stream. */
    public void last() {
        last = true;
    }

    @Override
    public void write(ChannelHandlerContext context, Object part, ChannelPromise done) {
        if (!last || !(part instanceof ByteBuf bytes)) {
            context.write(part, done);
            return;
        }
        if (held == null) {
            held = context.alloc().compositeBuffer();
            promise = context.newPromise();
        }
        held.addComponent(true, bytes);
        promise.addListener(ended -> {
            if (ended.isSuccess()) {
                done.trySuccess();
            } else {
                done.tryFailure(ended.cause());
            }
        });
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        if (held != null) {
            CompositeByteBuf all = held;
            held = null;
            context.write(new DefaultQuicStreamFrame(all, true), promise);
        }
        context.flush();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (held != null) {
            held.release();
            held = null;
        }
    }
}
