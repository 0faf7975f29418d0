package loadbalancer.testbed;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Requests whose responses are long, as their identifiers say: some come in small chunks with a pause within, some are
 * longer than what the sockets between server and client take.
 */
enum LongResponse {
    /** Chunks of some tens of bytes. */
    SMALL_CHUNKS("-chunks", 40_000, 24),
    /** A few MB, which the client does not read at once. */
    LARGE("-large", 3_000_000, 65_536),
    /** Chunks that are written one after the other, for longer than the latency objective. */
    SLOW_CHUNKED("-slow-chunked", 100_000, 5_000),
    /** The same, ended by the connection. */
    SLOW_CLOSE("-slow-close", 100_000, 5_000),
    /** A few lumps with pauses of up to most of a second between them, in chunks. */
    LUMPS_CHUNKED("-lumps-chunked", 90_000, 30_000),
    /** The same, ended by the connection. */
    LUMPS_CLOSE("-lumps-close", 90_000, 30_000);

    private static final byte[] HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] HEAD_WITHOUT_LENGTH =
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_SHORT_BYTES = 64 << 10;
    private static final int SLOW_PIECES = 20;
    private static final int SLOW_PIECE_MILLIS = 50;
    private static final int LUMPS = 3;
    private static final int MAX_LUMP_PAUSE_MILLIS = 800; // all are written before a kill that follows SIGTERM
    private static final int PIECES = 2;
    private static final int PIECE_MILLIS = 200;
    private static final byte[] END = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int LARGE_SPREAD_BYTES = 2_000_000;

    private final String suffix;
    private final int minBytes;
    private final int chunkBytes;

    LongResponse(String suffix, int minBytes, int chunkBytes) {
        this.suffix = suffix;
        this.minBytes = minBytes;
        this.chunkBytes = chunkBytes;
    }

    /** The kind of response to that request; null for a short one. */
    static LongResponse of(String requestId) {
        for (LongResponse kind : values()) {
            if (requestId.endsWith(kind.suffix)) {
                return kind;
            }
        }
        return null;
    }

    /** What the identifier of such a request ends with. */
    String suffix() {
        return suffix;
    }

    /** In how many parts the response is written. */
    int pieces() {
        return isLumpy() ? LUMPS : isSlow() ? SLOW_PIECES : PIECES;
    }

    /** The time between two parts of the response to that request, in ms. */
    int pieceMillis(String requestId) {
        if (isLumpy()) {
            return Math.floorMod(requestId.hashCode() * 31, MAX_LUMP_PAUSE_MILLIS);
        }
        return isSlow() ? SLOW_PIECE_MILLIS : PIECE_MILLIS;
    }

    private boolean isLumpy() {
        return this == LUMPS_CHUNKED || this == LUMPS_CLOSE;
    }

    /** Whether it is written for longer than the latency objective. */
    boolean isSlow() {
        return this == SLOW_CHUNKED || this == SLOW_CLOSE || isLumpy();
    }

    /** Whether its first bytes have to come in time, and not its last one. */
    boolean isTimedByFirstBytes() {
        return minBytes > MAX_SHORT_BYTES;
    }

    /** Whether the response ends with its connection. */
    boolean endsWithConnection() {
        return this == SLOW_CLOSE || this == LUMPS_CLOSE;
    }

    /** The encoded response to that request. */
    byte[] message(String requestId) {
        byte[] body = body(requestId).getBytes(StandardCharsets.US_ASCII);
        if (endsWithConnection()) {
            byte[] message = Arrays.copyOf(HEAD_WITHOUT_LENGTH, HEAD_WITHOUT_LENGTH.length + body.length);
            System.arraycopy(body, 0, message, HEAD_WITHOUT_LENGTH.length, body.length);
            return message;
        }
        ByteArrayOutputStream message = new ByteArrayOutputStream(2 * body.length);
        message.writeBytes(HEAD);
        for (int offset = 0; offset < body.length; offset += chunkBytes) {
            int length = Math.min(chunkBytes, body.length - offset);
            message.writeBytes((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            message.write(body, offset, length);
            message.write('\r');
            message.write('\n');
        }
        message.writeBytes(END);
        return message.toByteArray();
    }

    /** The body of the response to that request: its identifier, padded. */
    static String body(String requestId) {
        LongResponse kind = of(requestId);
        if (kind == null) {
            return requestId;
        }
        int spread = kind == LARGE ? Math.floorMod(requestId.hashCode() * 31, LARGE_SPREAD_BYTES) : 0;
        char[] padding = new char[kind.minBytes + spread];
        Arrays.fill(padding, '.');
        return requestId + new String(padding);
    }
}
