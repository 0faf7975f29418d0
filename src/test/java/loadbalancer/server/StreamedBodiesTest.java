package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies that are longer than is held go through as they come, and none that breaks off passes for whole. */
@Timeout(120)
class StreamedBodiesTest extends ServerFixture {
    private static final String LONG = "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
            + "Req-Kind: book\r\nReq-Deadline-Ms: 20000\r\n";

    private static byte[] random(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static byte[] chunks(byte[] body, Random random) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int at = 0; at < body.length; ) {
            int some = Math.min(body.length - at, 1 + random.nextInt(40_000));
            out.write((Integer.toHexString(some) + ";x=y\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body, at, some);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            at += some;
        }
        out.write("0\r\nTrailer-One: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLongAnswerComesWholeWhileItIsBeingWrittenAndTheConnectionStays(boolean chunked) throws Exception {
        start();
        byte[] body = random(5 << 20);
        try (Client client = new Client(at).send(SAFE)) {
            ScriptedUpstream.Got got = upstream.next();
            byte[] wire = chunked ? chunks(body, new Random(7)) : body;
            got.raw("HTTP/1.1 200 OK\r\n" + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length)
                    + "\r\n\r\n");
            int half = wire.length / 2;
            CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> {
                try {
                    got.socket().getOutputStream().write(wire, 0, half);
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            String head = ScriptedUpstream.head(client.in); // before the upstream is at its end
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            assertEquals("OK closed", module.next());
            CompletableFuture<byte[]> reading = CompletableFuture.supplyAsync(() -> {
                try {
                    return chunked ? ScriptedUpstream.unchunked(client.in) : client.in.readNBytes(body.length);
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            writing.get(60, TimeUnit.SECONDS);
            got.socket().getOutputStream().write(wire, half, wire.length - half);
            assertArrayEquals(body, reading.get(60, TimeUnit.SECONDS));
            awaitRested("s1");
            client.send(SAFE);
            assertTrue(client.answerAfter(upstream).startsWith("HTTP/1.1 200"));
        }
        assertEquals(1, upstream.connections());
    }

    /** The client reads nothing: what the upstream writes has to stop, and not fill the heap. */
    @Test
    void anUpstreamIsReadNoFasterThanItsClientReads() throws Exception {
        start();
        byte[] body = random(40 << 20);
        try (Client client = new Client(at).send(SAFE)) {
            ScriptedUpstream.Got got = upstream.next();
            CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> {
                try {
                    got.answer(200, "", body);
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            assertTrue(ScriptedUpstream.head(client.in).startsWith("HTTP/1.1 200"));
            assertThrows(java.util.concurrent.TimeoutException.class, () -> writing.get(2, TimeUnit.SECONDS));
            assertArrayEquals(body, client.in.readNBytes(body.length));
            writing.get(60, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerThatBreaksOffIsNeverTakenForWhole(boolean chunked) throws Exception {
        start();
        try (Client client = new Client(at).send(SAFE)) {
            ScriptedUpstream.Got got = upstream.next();
            got.raw("HTTP/1.1 200 OK\r\n" + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: 300000")
                    + "\r\n\r\n");
            got.raw(chunked ? "30d40\r\n" : "");
            got.raw(random(200_000));
            got.raw(chunked ? "\r\n" : "");
            got.socket().shutdownOutput();
            assertTrue(ScriptedUpstream.head(client.in).startsWith("HTTP/1.1 200"));
            assertThrows(IOException.class, () -> {
                if (chunked) {
                    ScriptedUpstream.unchunked(client.in);
                } else if (client.in.readNBytes(300_000).length < 300_000) {
                    throw new IOException("not whole");
                }
            });
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLongUploadGoesThroughUnchanged(boolean chunked) throws Exception {
        start();
        byte[] body = random(3 << 20);
        try (Client client = new Client(at)
                .send(LONG + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length)
                        + "\r\n\r\n")) {
            OutputStream out = client.socket.getOutputStream();
            out.write(chunked ? chunks(body, new Random(3)) : body);
            ScriptedUpstream.Got got = upstream.next();
            assertArrayEquals(body, got.body());
            assertEquals(chunked ? "chunked" : null, got.header("Transfer-Encoding"));
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
            assertEquals("OK closed", module.next());
        }
    }

    @Test
    void anUploadThatBreaksOffNeverRanAndGivesItsUpstreamUp() throws Exception {
        start();
        Client client = new Client(at).send(LONG + "Content-Length: 300000\r\n\r\n");
        client.socket.getOutputStream().write(random(100_000));
        while (upstream.connections() == 0) {
            Thread.sleep(5);
        }
        client.close();
        assertEquals("gone", module.next());
        assertEquals("NOT_SENT closed", module.next());
    }

    /** Declined before its last byte: it never ran, but it can't go again, since nothing of it is held. */
    @Test
    void anUploadThatIsDeclinedOnItsWayIsAnsweredAndNotSentAgain() throws Exception {
        start();
        module.server = null;
        try (Client client = new Client(at).send(LONG + "Content-Length: 300000\r\n\r\n")) {
            assertEquals("2 k1 -1 false", module.requests.poll(20, TimeUnit.SECONDS));
            assertFalse(client.socket.isClosed());
            onLoop(() -> module.actions.reject("1", 0));
            assertEquals(503, client.status());
        }
        assertEquals(0, upstream.connections());
    }

    /** It writes all of its body before it reads: closed with bytes unread, it would lose the answer. */
    @Test
    void anUploadThatIsRefusedOnItsWayReadsItsAnswerBehindItsLastByte() throws Exception {
        start();
        module.server = null;
        byte[] body = random(6 << 20);
        try (Client client = new Client(at).send(LONG + "Content-Length: " + body.length + "\r\n\r\n")) {
            assertEquals("2 k1 -1 false", module.requests.poll(20, TimeUnit.SECONDS));
            client.socket.getOutputStream().write(body, 0, 100_000);
            onLoop(() -> module.actions.reject("1", 0));
            client.socket.getOutputStream().write(body, 100_000, body.length - 100_000);
            assertEquals(503, client.status());
        }
    }

    /** The module's answer and that of the broken framing would be two. */
    @Test
    void anUploadWhoseFramingBreaksGetsOneAnswerAndNeverRan() throws Exception {
        start();
        try (Client client = new Client(at).send(LONG + "Transfer-Encoding: chunked\r\n\r\n")) {
            client.socket.getOutputStream().write("186a0\r\n".getBytes(StandardCharsets.US_ASCII));
            client.socket.getOutputStream().write(random(100_000));
            assertEquals("2 k1 -1 false", module.requests.poll(20, TimeUnit.SECONDS));
            client.send("\r\nnonsense\r\n");
            assertEquals(400, client.status());
            assertEquals(null, client.answer());
        }
        assertEquals("gone", module.next());
        assertEquals("NOT_SENT closed", module.next());
    }
}
