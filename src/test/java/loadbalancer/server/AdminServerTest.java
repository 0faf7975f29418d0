package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.config.Config;
import loadbalancer.proxy.Addresses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operators' endpoint, and the evacuation that it starts. */
@Timeout(120)
class AdminServerTest extends ServerFixture {
    private InetSocketAddress adminAddress;

    private Config configWith(String management) throws IOException {
        return Config.of(
                Map.of("ROUTER_MANAGEMENT", management),
                Map.of(
                        "name",
                        "n1",
                        "listen",
                        "127.0.0.1:0",
                        "discovery",
                        discovery.address(),
                        "seed",
                        "1",
                        "limits",
                        Map.of("sockets", 256),
                        "settings",
                        settings(),
                        "known",
                        JSON.std.mapFrom(list(41, true, "in_service"))));
    }

    @Override
    void start() throws IOException, InterruptedException {
        node = new LoadBalancerServer(configWith("127.0.0.1:0"), (s, seed) -> module, rehearse, line -> {
            synchronized (log) {
                log.add(line);
            }
        });
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
        synchronized (log) {
            adminAddress = Addresses.parse(log.get(0).replace("event=management_listening address=", ""));
        }
    }

    private int send(String method, String path) throws IOException {
        try (Client connection = new Client(adminAddress)) {
            int status = connection
                    .send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
                    .status();
            assertNull(connection.answer(), "one request to a connection");
            return status;
        }
    }

    private static void awaitStatus(int expected, StatusRequest request) throws IOException {
        int actual = request.send();
        while (actual != expected) {
            actual = request.send();
        }
    }

    private interface StatusRequest {
        int send() throws IOException;
    }

    private int readinessStatus() throws IOException {
        try (Client client = new Client(at)) {
            return client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /api/ready, 200",
        "GET, /api/ready?x, 200",
        "POST, /api/ready, 405",
        "GET, /api/evacuate, 405",
        "POST, /api/rejoin, 200",
        "GET, /, 404",
        "GET, /-/ready, 404",
        "BREW, /api/nothing, 404"
    })
    void requestGetsItsStatus(String method, String path, int status) throws Exception {
        start();
        awaitStatus(200, () -> send("GET", "/api/ready"));
        assertEquals(status, send(method, path));
    }

    /** Status, headers and text to the byte: operators' tools read them. */
    @ParameterizedTest
    @CsvSource({
        "GET, /api/ready, 200 OK, , ready",
        "POST, /api/evacuate, 200 OK, , evacuating",
        "POST, /api/rejoin, 200 OK, , not sent away",
        "GET, /nothing, 404 Not Found, , no such call",
        "GET, /api/evacuate, 405 Method Not Allowed, POST, by POST only"
    })
    void responseIsTheRecordedOneToTheByte(String method, String path, String status, String allow, String text)
            throws Exception {
        start();
        awaitStatus(200, () -> send("GET", "/api/ready"));
        try (Client connection = new Client(adminAddress)) {
            connection.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals(
                    "HTTP/1.1 " + status + "\r\ncontent-type: text/plain\r\ncontent-length: "
                            + (text.length() + 1) + "\r\nconnection: close\r\n"
                            + (allow == null ? "" : "allow: " + allow + "\r\n") + "\r\n" + text + "\n",
                    new String(connection.in.readAllBytes(), StandardCharsets.US_ASCII));
        }
    }

    @Test
    void malformedRequestGetsAClientError() throws Exception {
        start();
        try (Client connection = new Client(adminAddress)) {
            assertEquals(400, connection.send("what is this\r\n\r\n").status());
        }
        try (Client connection = new Client(adminAddress)) {
            assertEquals(
                    431,
                    connection
                            .send("GET /" + "a".repeat(9_000) + " HTTP/1.1\r\n\r\n")
                            .status());
        }
        try (Client connection = new Client(adminAddress)) {
            String head = connection.send("GET /api/evacuate HTTP/1.1\r\n\r\n").answer();
            assertTrue(head.contains("allow: POST") || head.contains("Allow: POST"), head);
        }
    }

    /** Sixteen connections are the limit; unless the oldest is closed the next one would wait for ever. */
    @Test
    void stuckConnectionsDoNotShutOutNewOnes() throws Exception {
        start();
        List<Client> stuck = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            stuck.add(new Client(adminAddress).send("GET /api/re"));
        }
        awaitStatus(200, () -> send("GET", "/api/ready"));
        assertNull(stuck.get(0).answer());
        for (Client connection : stuck) {
            connection.close();
        }
    }

    @Test
    void evacuationServesOpenRequestsAndRejoinTakesClients() throws Exception {
        start();
        awaitStatus(200, this::readinessStatus);
        Client idle = new Client(at);
        assertEquals(200, idle.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        Client open = new Client(at).send(SAFE);
        ScriptedUpstream.Got forwarded = upstream.next();
        assertEquals(200, send("POST", "/api/evacuate"));
        assertEquals(200, send("POST", "/api/evacuate"));
        assertEquals(503, send("GET", "/api/ready"));
        assertEquals(503, readinessStatus());
        try (Client newClient = new Client(at).send(SAFE.replace("r1", "r2"))) {
            upstream.next().answer(200, "", "late");
            String head = newClient.answer();
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            assertTrue(head.toLowerCase().contains("connection: close"), head);
        }
        assertNull(idle.answer(), "it was idle for too long");
        forwarded.answer(200, "", "long");
        assertEquals(200, open.status());
        assertNull(open.answer());
        assertEquals(503, readinessStatus());
        assertEquals(200, send("POST", "/api/rejoin"));
        assertEquals(200, send("GET", "/api/ready"));
        try (Client returned = new Client(at)) {
            assertEquals(
                    200,
                    returned.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            assertEquals(
                    200,
                    returned.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
    }

    @Test
    void unusableAddressFailsTheStartWithTheReason() throws Exception {
        assertTrue(assertThrows(Config.Bad.class, () -> configWith("localhost:1"))
                .getMessage()
                .startsWith("management: not an address"));
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            LoadBalancerServer second = new LoadBalancerServer(
                    configWith("127.0.0.1:" + taken.getLocalPort()), (s, seed) -> module, false, line -> {});
            assertTrue(assertThrows(IOException.class, second::start)
                    .getMessage()
                    .startsWith("management: can't listen on 127.0.0.1:" + taken.getLocalPort()));
        }
    }
}
