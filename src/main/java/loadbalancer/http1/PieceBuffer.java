package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;

/**
 * Joins the pieces of a body into one array while they wait. Without it each piece would cost a few objects of its own,
 * which for pieces of some bytes is many times their length. Must be used on the event loop.
 */
public final class PieceBuffer {
    private static final byte[] EMPTY = {};
    private static final int MAX_SPARE_BYTES = 32 << 10; // by which the array grows beyond what is needed

    private byte[] bytes = EMPTY;
    private int length;

    /** Appends a piece; {@code piece} must not be modified afterwards. */
    public void add(byte[] piece) {
        if (length == 0) {
            bytes = piece; // not copied: long pieces usually wait alone
        } else {
            if (piece.length > bytes.length - length) {
                bytes = Arrays.copyOf(bytes, length + piece.length + Math.min(length / 2, MAX_SPARE_BYTES));
            }
            System.arraycopy(piece, 0, bytes, length, piece.length);
        }
        length += piece.length;
    }

    /** Whether no bytes wait. */
    public boolean isEmpty() {
        return length == 0;
    }

    /** The number of bytes that wait. */
    public int length() {
        return length;
    }

    /** The bytes of heap that the buffer takes. */
    public int capacity() {
        return bytes.length;
    }

    /** Removes all bytes and returns them, in a buffer without a copy. */
    public ByteBuf removeAll() {
        ByteBuf removed = Unpooled.wrappedBuffer(bytes, 0, length);
        clear();
        return removed;
    }

    /** Removes all bytes and returns them as an array. */
    public byte[] removeArray() {
        byte[] removed = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
        clear();
        return removed;
    }

    /** Drops all bytes. */
    public void clear() {
        bytes = EMPTY;
        length = 0;
    }
}
