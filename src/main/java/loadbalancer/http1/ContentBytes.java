package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/** The bytes of a part of a message body. */
public final class ContentBytes {
    private ContentBytes() {}

    /**
     * Returns the readable bytes of {@code content}. They are copied unless they take a whole array, which nobody
     * writes any more.
     */
    public static byte[] of(ByteBuf content) {
        return ByteBufUtil.getBytes(content, content.readerIndex(), content.readableBytes(), false);
    }
}
