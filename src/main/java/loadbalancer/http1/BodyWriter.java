package loadbalancer.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes a long message to a connection, within a bounded window: its caller stops while {@link #isWritable} is
 * false. On the event loop.
 */
public final class BodyWriter {
    private static final int LOW_WATER_MARK_BYTES = 32 << 10;
    private static final int HIGH_WATER_MARK_BYTES = 64 << 10;
    private static final WriteBufferWaterMark WRITE_WINDOW =
            new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES);

    private final Channel channel;
    private boolean flushScheduled;
    private long writtenBytes;

    /** A writer to {@code channel}, whose write window it sets. */
    public BodyWriter(Channel channel) {
        this.channel = channel;
        channel.config().setWriteBufferWaterMark(WRITE_WINDOW);
    }

    /** Writes the head, and the first bytes of the body. */
    public void begin(HttpMessage head, byte[] firstBytes) {
        channel.write(head);
        write(firstBytes);
    }

    /** Writes a piece, which is flushed with all others of the same pass of the event loop. */
    public ChannelFuture write(byte[] bytes) {
        writtenBytes += bytes.length;
        ChannelFuture written = channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(() -> {
                flushScheduled = false;
                channel.flush();
            });
        }
        return written;
    }

    /** Whether more may be written now. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Writes the end of the message, and flushes it. */
    public ChannelFuture end() {
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** A number that changes whenever bytes are written here or leave for the network. */
    public long progress() {
        return writtenBytes - channel.bytesBeforeWritable();
    }
}
