package loadbalancer.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes a long message to a connection, within a bounded window. On the event loop. */
public final class BodyWriter {
    private static final WriteBufferWaterMark WINDOW = new WriteBufferWaterMark(32 << 10, 64 << 10);

    private final Channel channel;
    private boolean flushing;
    private long written;

    public BodyWriter(Channel channel) {
        this.channel = channel;
        channel.config().setWriteBufferWaterMark(WINDOW);
    }

    /** The head, and what is there of the body. */
    public void begin(HttpMessage head, byte[] body) {
        channel.write(head);
        write(body);
    }

    /** A piece, which is flushed with all others that come in the same turn of the loop. */
    public ChannelFuture write(byte[] piece) {
        written += piece.length;
        ChannelFuture left = channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
        if (!flushing) {
            flushing = true;
            channel.eventLoop().execute(() -> {
                flushing = false;
                channel.flush();
            });
        }
        return left;
    }

    /** Whether more may be written now. */
    public boolean room() {
        return channel.isWritable();
    }

    /** The last byte. */
    public ChannelFuture end() {
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Something that changes whenever bytes come in here or leave. */
    public long progress() {
        return written - channel.bytesBeforeWritable();
    }
}
