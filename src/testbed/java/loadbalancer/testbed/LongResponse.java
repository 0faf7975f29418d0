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
    LARGE("-large", 3_000_000, 65_536);

    private static final byte[] HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
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

    /** The encoded response to that request, with a chunked body. */
    byte[] message(String requestId) {
        byte[] body = body(requestId).getBytes(StandardCharsets.US_ASCII);
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
