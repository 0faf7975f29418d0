package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Malformed, slow and hostile HTTP/1.1 clients. */
class ClientFaultsTest extends ServerFixture {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\nReq-Deadline-Ms: soon\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: other\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Kind: read\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: pay\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nIdempotency-Key: a\r\n"
                        + "Req-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 60000000\r\n\r\n",
                "NONSENSE\r\n\r\n",
                "GET /-/else HTTP/1.1\r\n\r\n",
            })
    void invalidRequestGetsAClientErrorAndIsNotForwarded(String request) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            int status = client.send(request).status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
        }
        assertTrue(module.requests.isEmpty());
        assertEquals(0, upstream.connections());
    }

    /** Each can be read in two ways, or hides another request (RFC 9112, section 11.2): none is forwarded. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 44\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
                "Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcd",
                "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
                "Content-Length: 4, 4\r\n\r\nabcd",
                "Content-Length: -4\r\n\r\nabcd",
                "Content-Length: ten\r\n\r\nabcd",
                "Transfer-Encoding: gzip\r\n\r\nabcd",
                "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n",
                "Expect: miracles\r\nContent-Length: 0\r\n\r\n",
                "a line with no colon\r\nContent-Length: 0\r\n\r\n",
                "Req-Id: second\r\nContent-Length: 0\r\n\r\n",
                "Req-Deadline-Ms: 5\r\nContent-Length: 0\r\n\r\n",
            })
    void ambiguousFramingIsRefusedAndClosesTheConnection(String rest) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 900\r\n" + rest + post("book", "Req-Deadline-Ms: 900\r\n", ""));
            int status = client.status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            assertNull(client.answer(), "one response, and the end");
        }
        assertTrue(module.requests.isEmpty());
        assertEquals(0, upstream.connections());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Req-Id: r\r\nReq-Deadline-Ms: 999999999999\r\n",
                "Req-Id: r\r\nReq-Deadline-Ms: 0\r\n",
                "Req-Id: r\r\nReq-Deadline-Ms: -5\r\n",
                "Req-Id: r s\r\nReq-Deadline-Ms: 900\r\n",
                "Req-Id: r\r\nReq-Deadline-Ms: 900\r\nContent-Length: 3\r\n",
            })
    void fieldValuesOutOfRangeAreRefused(String headers) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send("GET /api/k HTTP/1.1\r\nHost: x\r\nReq-Kind: read\r\n" + headers + "\r\nabc");
            assertEquals(400, client.status());
            assertNull(client.answer());
        }
        assertTrue(module.requests.isEmpty());
    }

    /** The head is enough for the response; the body is never read. */
    @Test
    void tooLargeBodyIsRefusedAtItsHeadAndNotRead() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 900\r\nContent-Length: 60000000\r\n\r\n");
            assertEquals(413, client.status());
            byte[] piece = new byte[1 << 16];
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 1_000; i++) {
                    client.socket.getOutputStream().write(piece);
                }
            });
        }
    }

    @Test
    void tooLongHeadIsRefused() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send("GET /api/k HTTP/1.1\r\n" + "X-Pad: pppppppppppppppppppppppp\r\n".repeat(400));
            int status = client.status();
            assertTrue(status >= 400 && status < 500, "status " + status);
        }
    }

    /** An upstream could not tell the two apart: the second is refused, the first is served. */
    @Test
    void duplicateOpenRequestIdIsRefused() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at);
                Client duplicate = new Client(at)) {
            client.send(SAFE);
            ScriptedUpstream.Got forwarded = upstream.next();
            assertEquals(409, duplicate.send(SAFE).status());
            assertNull(duplicate.answer());
            forwarded.answer(200, "", "mine");
            assertEquals(200, client.status());
            assertEquals("mine", new String(client.body, StandardCharsets.UTF_8));
            client.send(SAFE); // free again
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }

    /** No byte, part of a head, part of a body: the first is closed, the others get a 408. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api/k HT", "POST /api/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"})
    void incompleteRequestTimesOut(String part) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            String head = client.send(part).answer();
            if (part.isEmpty()) {
                assertNull(head);
            } else {
                assertTrue(head.startsWith("HTTP/1.1 408"), head);
                assertNull(client.answer());
            }
        }
    }

    @Test
    void pipelinedRequestsAreServedInOrderUpToTheLimit() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(SAFE + SAFE.replace("r1", "r2") + "NONSENSE\r\n\r\n");
            upstream.next().answer(200, "", "one");
            assertEquals(200, client.status());
            assertEquals("one", new String(client.body, StandardCharsets.UTF_8));
            upstream.next().answer(200, "", "two");
            assertEquals(200, client.status());
            assertEquals(400, client.status());
            assertNull(client.answer());
        }
        try (Client client = new Client(at)) {
            StringBuilder burst = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                burst.append(SAFE.replace("r1", "m" + i));
            }
            client.send(burst.toString());
            int served = 0;
            int status = 200;
            while (status == 200) {
                upstream.next().answer(200, "", "ok");
                status = client.status();
                served += status == 200 ? 1 : 0;
                if (served >= 17) {
                    status = client.status();
                }
            }
            assertEquals(400, status);
            assertTrue(served <= 17, "served " + served);
        }
    }

    /** Hundreds that connect and send nothing must not shut out clients with requests. */
    @Test
    void silentConnectionsAreEvictedForNewOnes() throws IOException, InterruptedException {
        start(Map.of(), 40);
        List<Client> silent = new ArrayList<>();
        try (Client established = new Client(at)) {
            assertEquals(
                    200,
                    established.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            for (int i = 0; i < 200; i++) {
                silent.add(new Client(at));
            }
            assertEquals(
                    200,
                    established.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            try (Client newcomer = new Client(at)) {
                newcomer.send(SAFE);
                upstream.next().answer(200, "", "ok");
                assertEquals(200, newcomer.status());
            }
        } finally {
            for (Client client : silent) {
                client.close();
            }
        }
    }
}
