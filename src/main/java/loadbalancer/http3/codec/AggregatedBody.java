package loadbalancer.http3.codec;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import loadbalancer.proxy.ProxyRequest;

/** The body of a message as it comes in, copied off the codec's buffers. On the event loop. */
public final class AggregatedBody {
    private static final byte[] EMPTY = new byte[0];

    private byte[] bytes = EMPTY;
    private int length;

    /**
     * Adds all readable bytes; the caller has checked that the body stays within
     * {@link ProxyRequest#MAX_BUFFERED_BODY_BYTES}.
     */
    public void add(ByteBuf data) {
        int count = data.readableBytes();
        if (length + count > bytes.length) {
            bytes = Arrays.copyOf(
                    bytes,
                    length == 0 ? count : (int) Math.min(ProxyRequest.MAX_BUFFERED_BODY_BYTES, 2L * (length + count)));
        }
        data.readBytes(bytes, length, count);
        length += count;
    }

    /** Bytes so far. */
    public int length() {
        return length;
    }

    /** The bytes so far; not to be changed. */
    public byte[] all() {
        return bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Drops the bytes. */
    public void release() {
        bytes = EMPTY;
        length = 0;
    }
}
