package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients may do to a balancer, in error or ill will. */
class ClientsTest extends NodeFixture {
    @ParameterizedTest
    @ValueSource(strings = {
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
            + "Content-Length: 65537\r\n\r\n",
        "NONSENSE\r\n\r\n",
        "GET /-/else HTTP/1.1\r\n\r\n",
    })
    void badInputIsAPlainErrorThatReachesNobody(String request) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            int status = client.send(request).status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
        }
        assertTrue(module.requests.isEmpty());
        assertEquals(0, upstream.connections());
    }

    @Test
    void descriptorsAreKeptFreeByClosingIdleConnectionsFirst() throws IOException, InterruptedException {
        start(Map.of(), 4);                         // a reserve of two, two for use
        try (Client client = new Client(at)) {
            client.send(SAFE);
            FakeUpstream.Got got = upstream.next();
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
            try (Client second = new Client(at)) {
                assertTrue(closesSoon(got));
                assertEquals(200, second.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            }
        }
    }
}
