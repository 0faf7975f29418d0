package loadbalancer.testbed.fleet;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A client's connection that sends the bytes it is given and reads the responses, or how the connection ended
 * without one. Blocks; for one thread.
 */
public final class ClientSocket implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 60_000; // for an answer, on a busy machine

    /**
     * A response.
     *
     * @param status its status code, or 0 where there was none
     * @param text its body, or why there was no response
     * @param reusable whether the connection may carry another request
     */
    public record Response(int status, String text, boolean reusable) {}

    private final Socket socket = new Socket();
    private InputStream in;
    private long firstByteAt; // System.nanoTime
    private long longestPauseNanos;

    /** Connects; returns whether the peer's machine accepted. */
    public boolean open(InetSocketAddress to) {
        try {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.connect(to, TIMEOUT_MILLIS);
            in = new BufferedInputStream(socket.getInputStream());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes; returns whether the peer's machine accepted it. */
    public boolean send(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether bytes of a response have arrived that have not been read. */
    public boolean hasResponse() {
        try {
            return in.available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** When the first byte of the last response was read (System.nanoTime). */
    public long firstByteAt() {
        return firstByteAt;
    }

    /** The longest time that a chunk of the last response took, in ns. */
    public long longestPauseNanos() {
        return longestPauseNanos;
    }

    /** Waits for the next response. */
    public Response response() {
        try {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            String text = "";
            while (!text.endsWith("\r\n\r\n")) {
                int c = in.read();
                if (c < 0) {
                    return new Response(0, "ended after " + head.size() + " bytes", false);
                }
                firstByteAt = head.size() == 0 ? System.nanoTime() : firstByteAt;
                head.write(c);
                text = c == '\n' ? head.toString(StandardCharsets.ISO_8859_1) : "";
            }
            String low = text.toLowerCase(Locale.ROOT);
            byte[] body = low.contains("transfer-encoding: chunked") ? chunkedBody() : sizedBody(low);
            if (body == null) {
                return new Response(0, "ended within the body", false);
            }
            return new Response(
                    Integer.parseInt(text.split(" ", -1)[1]),
                    new String(body, StandardCharsets.ISO_8859_1),
                    !low.contains("connection: close"));
        } catch (IOException e) {
            return new Response(0, e.getMessage(), false);
        }
    }

    private byte[] sizedBody(String head) throws IOException {
        int length = Integer.parseInt(head.split("content-length: ", -1)[1].split("\r\n", -1)[0]);
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : body;
    }

    // Null where the connection ends within the body.
    private byte[] chunkedBody() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        longestPauseNanos = 0;
        long chunkBegan = System.nanoTime();
        while (true) {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                line.append((char) c);
            }
            int length = Integer.parseInt(line.toString().strip(), 16);
            byte[] chunk = in.readNBytes(length + 2); // and its line end
            longestPauseNanos = Math.max(longestPauseNanos, System.nanoTime() - chunkBegan);
            chunkBegan = System.nanoTime();
            if (chunk.length < length + 2) {
                return null;
            }
            if (length == 0) {
                return body.toByteArray();
            }
            body.write(chunk, 0, length);
        }
    }

    /** Ends the connection by a reset (RST); {@link #close} ends it by a FIN. */
    public void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new IllegalStateException(e); // on an open socket it does not fail
        }
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a socket's close does not fail by its peer
        }
    }
}
