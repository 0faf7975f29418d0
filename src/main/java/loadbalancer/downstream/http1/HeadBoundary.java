package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a request head in input that arrives in parts (RFC 9112, section 2.1): the empty line. Each byte is
 * looked at once. Must be used on the event loop.
 */
final class HeadBoundary {
    private int searchedBytes; // from the beginning of the head
    private int lineBytes; // of the line in which the search stopped, without CR

    /** Skips the empty lines that a client may send before a request (RFC 9112, section 2.2). */
    static void skipEmptyLines(ByteBuf input) {
        while (input.isReadable() && isLineEnd(input.getByte(input.readerIndex()))) {
            input.skipBytes(1);
        }
    }

    private static boolean isLineEnd(byte next) {
        return next == '\r' || next == '\n';
    }

    /** Whether {@code input}, which begins with a head, holds that head completely. */
    boolean isComplete(ByteBuf input) {
        int begin = input.readerIndex();
        for (; searchedBytes < input.readableBytes(); searchedBytes++) {
            byte next = input.getByte(begin + searchedBytes);
            if (next == '\n' && lineBytes == 0) {
                return true;
            }
            lineBytes = next == '\n' ? 0 : lineBytes + (next == '\r' ? 0 : 1);
        }
        return false;
    }

    /** Prepares for the next head. */
    void reset() {
        searchedBytes = 0;
        lineBytes = 0;
    }
}
