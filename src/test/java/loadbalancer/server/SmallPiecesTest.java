package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Bodies that a peer writes in small pieces. The failure guarded against: each piece was passed on as a message of its
 * own, whose objects took many times its length, and filled the heap.
 */
@Timeout(60)
class SmallPiecesTest extends ServerFixture {
    private static final int BODY_BYTES = 600_000;
    private static final int CHUNK_BYTES = 20;
    /** A few reads' worth of pieces has to go together, whatever the network makes of them. */
    private static final int MIN_MEAN_CHUNK_BYTES = 10 * CHUNK_BYTES;

    /** A chunked body as it came, and how many chunks it had. */
    private record Received(byte[] body, int chunks) {
        static Received read(InputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int chunks = 0;
            while (true) {
                String line = line(in);
                int length = Integer.parseInt(line.split(";")[0], 16);
                if (length == 0) {
                    while (!line(in).isEmpty()) {
                        continue; // trailers
                    }
                    return new Received(body.toByteArray(), chunks);
                }
                chunks++;
                body.writeBytes(in.readNBytes(length));
                assertEquals("", line(in));
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("it ends within");
                }
                line.append((char) c);
            }
            return line.toString().strip();
        }

        void isJoined(byte[] sent) {
            assertArrayEquals(sent, body);
            assertTrue(chunks <= BODY_BYTES / MIN_MEAN_CHUNK_BYTES, chunks + " chunks");
        }
    }

    private static byte[] body() {
        byte[] body = new byte[BODY_BYTES];
        new Random(3).nextBytes(body);
        return body;
    }

    private static byte[] inSmallChunks(byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int offset = 0; offset < body.length; offset += CHUNK_BYTES) {
            out.writeBytes((Integer.toHexString(CHUNK_BYTES) + (offset % 3 == 0 ? ";a=b" : "") + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.write(body, offset, CHUNK_BYTES);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.writeBytes("0\r\nTrailer-One: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    @Test
    void aResponseInSmallChunksIsPassedOnInLargerOnes() throws Exception {
        start();
        byte[] body = body();
        byte[] wire = inSmallChunks(body);
        try (Client client = new Client(at).send(SAFE)) {
            ScriptedUpstream.Got forwarded = upstream.next();
            CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> {
                try {
                    forwarded.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    forwarded.raw(wire);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertTrue(ScriptedUpstream.head(client.in).startsWith("HTTP/1.1 200"));
            Received.read(client.in).isJoined(body);
            writing.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void anUploadInSmallChunksIsPassedOnInLargerOnes() throws Exception {
        byte[] body = body();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            endpoint = "127.0.0.1:" + server.getLocalPort();
            CompletableFuture<Received> received = CompletableFuture.supplyAsync(() -> serveUpload(server));
            start();
            try (Client client = new Client(at)
                    .send("POST /api/k1 HTTP/1.1\r\nHost: b\r\nReq-Id: r1\r\nReq-Kind: book\r\n"
                            + "Req-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n")) {
                client.socket.getOutputStream().write(inSmallChunks(body));
                received.get(20, TimeUnit.SECONDS).isJoined(body);
                assertEquals(200, client.status());
            }
        }
    }

    // A connection may be closed unused: an attempt whose first byte is late starts anew on another one.
    private static Received serveUpload(ServerSocket server) {
        try {
            while (true) {
                try (Socket socket = server.accept()) {
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    if (ScriptedUpstream.head(in) == null) {
                        continue;
                    }
                    Received upload = Received.read(in);
                    OutputStream out = socket.getOutputStream();
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
                    return upload;
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
