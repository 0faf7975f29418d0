package loadbalancer.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes a message with a streamed body to a connection. The write buffer stays bounded because callers stop writing
 * while {@link #isWritable} is false. Must be used on the event loop.
 */
public final class BodyWriter {
    private static final int LOW_WATER_MARK_BYTES = 32 << 10;
    private static final int HIGH_WATER_MARK_BYTES = 64 << 10;
    private static final WriteBufferWaterMark WRITE_WINDOW =
            new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES);

    private final Channel channel;
    private boolean flushScheduled;
    private long writtenBytes;

    /** Creates a writer for {@code channel} and sets the write buffer water marks of the channel. */
    public BodyWriter(Channel channel) {
        this.channel = channel;
        channel.config().setWriteBufferWaterMark(WRITE_WINDOW);
    }

    /** Writes the head and the first bytes of the body. */
    public void begin(HttpMessage head, byte[] firstBytes) {
        channel.write(head);
        write(firstBytes);
    }

    /** Writes a part of the body; all parts that are written in one event loop iteration are flushed together. */
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

    /** Whether the write buffer accepts more bytes now. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Writes and flushes the end of the message. */
    public ChannelFuture end() {
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** A number that changes whenever bytes are added to the write buffer or leave it for the network. */
    public long progress() {
        return writtenBytes - channel.bytesBeforeWritable();
    }
}
