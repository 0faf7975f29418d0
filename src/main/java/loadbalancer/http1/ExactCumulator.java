package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder.Cumulator;

/**
 * Joins input that has not been decoded in a buffer of about its length. Netty's own one doubles the buffer, which for
 * hundreds of connections that hold the part of a message is a large part of the heap.
 */
public final class ExactCumulator implements Cumulator {
    /** The one instance. */
    public static final ExactCumulator INSTANCE = new ExactCumulator();

    private static final int STEP_BYTES =
            1 << 10; // by which a buffer grows, so that few bytes do not copy it each time

    private ExactCumulator() {}

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf input) {
        if (!cumulation.isReadable()) {
            cumulation.release();
            return input;
        }
        try {
            if (input.readableBytes() > cumulation.writableBytes() || cumulation.isReadOnly()) {
                return join(allocator, cumulation, input);
            }
            return cumulation.writeBytes(input);
        } finally {
            input.release();
        }
    }

    private static ByteBuf join(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf input) {
        int length = cumulation.readableBytes() + input.readableBytes();
        int capacity = (length + STEP_BYTES - 1) / STEP_BYTES * STEP_BYTES;
        ByteBuf joined = allocator.buffer(capacity).writeBytes(cumulation).writeBytes(input);
        cumulation.release();
        return joined;
    }
}
