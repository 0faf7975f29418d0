package loadbalancer.http3.codec;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import loadbalancer.proxy.ProxyRequest;

/** The data of a message as they come in, copied off the codec's buffers. For the event loop's thread. */
public final class AggregatedBody {
    private static final byte[] NOTHING = new byte[0];

    private byte[] bytes = NOTHING;
    private int length;

    /** Takes all that is left to read; its caller has seen that it stays within {@link ProxyRequest#BODY_MOST}. */
    public void add(ByteBuf more) {
        int count = more.readableBytes();
        if (length + count > bytes.length) {
            bytes = Arrays.copyOf(
                    bytes, length == 0 ? count : (int) Math.min(ProxyRequest.BODY_MOST, 2L * (length + count)));
        }
        more.readBytes(bytes, length, count);
        length += count;
    }

    public int length() {
        return length;
    }

    /** What has come; not to be changed. */
    public byte[] all() {
        return bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Keeps nothing. */
    public void release() {
        bytes = NOTHING;
        length = 0;
    }
}
