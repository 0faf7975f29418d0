package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Holds the pieces of a body while they wait. Small ones are joined: each would cost a few objects of its own, which
 * for pieces of some bytes is many times their length. Long ones are kept as they are. Must be used on the event loop.
 */
public final class PieceBuffer {
    private static final int MIN_LONG_BYTES = 1 << 10; // of a piece that is kept as it is
    private static final int MIN_BLOCK_BYTES = 64;
    private static final int MAX_BLOCK_BYTES = 4 << 10;

    private final List<byte[]> fullBlocks = new ArrayList<>();
    private byte[] lastBlock; // null if it is full, or before the first one
    private int lastLength; // the bytes in use of the last block
    private int fullBytes;

    /** Appends a piece; {@code piece} must not be modified afterwards. */
    public void add(byte[] piece) {
        if (isEmpty() || piece.length >= MIN_LONG_BYTES) {
            closeLastBlock();
            fullBlocks.add(piece);
            fullBytes += piece.length;
        } else {
            join(piece);
        }
    }

    private void join(byte[] piece) {
        int offset = 0;
        while (offset < piece.length) {
            if (lastBlock == null) {
                lastBlock = new byte[Math.max(MIN_BLOCK_BYTES, Math.min(length(), MAX_BLOCK_BYTES))];
            }
            int copied = Math.min(piece.length - offset, lastBlock.length - lastLength);
            System.arraycopy(piece, offset, lastBlock, lastLength, copied);
            lastLength += copied;
            offset += copied;
            if (lastLength == lastBlock.length) {
                closeLastBlock();
            }
        }
    }

    private void closeLastBlock() {
        if (lastBlock == null) {
            return;
        }
        fullBlocks.add(lastLength == lastBlock.length ? lastBlock : Arrays.copyOf(lastBlock, lastLength));
        fullBytes += lastLength;
        lastBlock = null;
        lastLength = 0;
    }

    /** Whether no bytes wait. */
    public boolean isEmpty() {
        return length() == 0;
    }

    /** The number of bytes that wait. */
    public int length() {
        return fullBytes + lastLength;
    }

    /** The bytes of heap that the buffer takes. */
    public int capacity() {
        return fullBytes + (lastBlock == null ? 0 : lastBlock.length);
    }

    /** Removes all bytes and returns them, in a buffer without a copy. */
    public ByteBuf removeAll() {
        closeLastBlock();
        ByteBuf removed = Unpooled.wrappedBuffer(fullBlocks.toArray(byte[][]::new));
        clear();
        return removed;
    }

    /** Removes all bytes and returns them as an array. */
    public byte[] removeArray() {
        closeLastBlock();
        byte[] removed = fullBlocks.size() == 1 ? fullBlocks.get(0) : join();
        clear();
        return removed;
    }

    private byte[] join() {
        byte[] joined = new byte[fullBytes];
        int offset = 0;
        for (byte[] block : fullBlocks) {
            System.arraycopy(block, 0, joined, offset, block.length);
            offset += block.length;
        }
        return joined;
    }

    /** Drops all bytes. */
    public void clear() {
        fullBlocks.clear();
        fullBytes = 0;
        lastBlock = null;
        lastLength = 0;
    }
}
