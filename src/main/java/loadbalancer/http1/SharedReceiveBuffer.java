package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the sockets of one event loop into one buffer, from which each read is copied in pieces of its exact length. A
 * read that waits to be decoded so takes heap for its bytes alone, and no direct memory: when direct memory is used up,
 * the JDK waits for a garbage collection at each allocation, on the event loop. Must be used on the event loop.
 */
public final class SharedReceiveBuffer {
    /** For all buffers of a connection: on the heap, and with the length that is asked for. */
    public static final ByteBufAllocator HEAP_ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    private static final int MAX_READ_BYTES = 32 << 10;
    private static final int MAX_READS_PER_PASS = 4; // no connection delays the reads of the others
    private static final int MAX_PIECE_BYTES = 4 << 10; // what is left of a piece keeps all of it

    private final ByteBuf buffer = Unpooled.directBuffer(MAX_READ_BYTES, MAX_READ_BYTES);
    private final ChannelHandler copier = new Copier();

    /**
     * Reads {@code channel} into this buffer from now on, no more at a time than {@code limit} allows; to be called
     * before the first read. Returns the handler that copies the reads, which has to be the first one of the channel.
     */
    public ChannelHandler attach(Channel channel, ReadLimit limit) {
        ReadGate.of(channel).setLimit(limit);
        channel.config().setRecvByteBufAllocator(new LimitedAllocator(limit));
        return copier;
    }

    private final class LimitedAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
        private final ReadLimit limit;

        LimitedAllocator(ReadLimit limit) {
            this.limit = limit;
            maxMessagesPerRead(MAX_READS_PER_PASS);
        }

        @Override
        @SuppressWarnings("deprecation") // the return type of the interface
        public Handle newHandle() {
            return new ReceiveHandle();
        }

        private final class ReceiveHandle extends MaxMessageHandle {
            @Override
            public int guess() {
                return Math.min(MAX_READ_BYTES, limit.maxReadBytes());
            }

            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return buffer.clear().retain();
            }

            @Override
            public void attemptedBytesRead(int bytes) {
                super.attemptedBytesRead(Math.min(bytes, guess()));
            }
        }
    }

    @ChannelHandler.Sharable
    private static final class Copier extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!(message instanceof ByteBuf read)) {
                context.fireChannelRead(message);
                return;
            }
            for (ByteBuf piece : takePieces(read)) {
                if (!context.channel().isActive()) {
                    return;
                }
                context.fireChannelRead(piece);
            }
        }

        // All at once: the handling of a piece may lead to another read into the same buffer.
        private static List<ByteBuf> takePieces(ByteBuf read) {
            List<ByteBuf> pieces = new ArrayList<>(read.readableBytes() / MAX_PIECE_BYTES + 1);
            while (read.isReadable()) {
                byte[] piece = new byte[Math.min(MAX_PIECE_BYTES, read.readableBytes())];
                read.readBytes(piece);
                pieces.add(Unpooled.wrappedBuffer(piece));
            }
            read.release();
            return pieces;
        }
    }
}
