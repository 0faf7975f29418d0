package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Chunk sizes (RFC 9112, section 7.1) that overflow a reader's integer or that readers differ about: where
 * two on one way take them differently, one finds a request inside the other's body. None may reach an
 * upstream.
 */
class ChunkSizesTest extends ServerFixture {
    private static final String HEAD = "POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
            + "Req-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "100000005", // 2^32 + 5: read as 5 by an integer of 32 bits
                "100000000", // 2^32: read as the last chunk
                "80000000",
                "80000005", // 2^31: negative
                "ffffffff",
                "fffffffb", // -1 and -5
                "1000000000000005", // 2^60 + 5
                "7fffffffffffffff",
                "8000000000000000",
                "8000000000000005", // 2^63
                "ffffffffffffffff",
                "fffffffffffffffb",
                "10000000000000005", // 2^64 + 5
                "000000000000000100000005", // zeros ahead of it
                "-5",
                "+5",
                "0x5",
                "5 5",
                "5g",
            })
    void anInvalidSizeIsRejectedAndClosesItsConnection(String size) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(HEAD + size + "\r\nabcde\r\n0\r\n\r\n" + post("book", "Req-Deadline-Ms: 900\r\n", ""));
            int status = client.status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            assertNull(client.answer(), "one response, and the connection is closed");
        }
        assertTrue(module.requests.isEmpty());
        assertEquals(0, upstream.connections());
    }

    @ParameterizedTest
    @ValueSource(strings = {"5", "05", "00000000000000005"})
    void leadingZerosAreAccepted(String size) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(HEAD + size + "\r\nabcde\r\n0\r\n\r\n");
            ScriptedUpstream.Got got = upstream.next();
            assertEquals("abcde", new String(got.body(), StandardCharsets.US_ASCII));
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }

    /** A trailer is no place for a length, a coding or an id: what came ahead of the body holds. */
    @Test
    void trailersChangeNoFramingAndAreNotForwarded() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(HEAD + "5\r\nabcde\r\n0\r\nContent-Length: 100000005\r\nTransfer-Encoding: gzip\r\n"
                    + "Req-Id: other\r\n\r\n");
            // The trailers are dropped, never forwarded.
            ScriptedUpstream.Got got = upstream.next();
            assertArrayEquals("abcde".getBytes(StandardCharsets.US_ASCII), got.body());
            assertEquals("5", got.header("Content-Length"));
            assertNull(got.header("Transfer-Encoding"));
            assertEquals("r", got.header("Req-Id"));
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "100000002",
                "100000000",
                "80000002",
                "fffffffe",
                "8000000000000002",
                "10000000000000002",
                "00000000000100000002"
            })
    void aResponseWithAnInvalidSizeIsMalformed(String size) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(SAFE);
            upstream.next().raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\nok\r\n0\r\n\r\n");
            assertEquals("RESET", module.next());
            assertEquals(502, client.status());
        }
    }
}
