package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.config.Config;
import loadbalancer.proxy.Addresses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operators' door, and sending clients away by it. */
@Timeout(120)
class AdminServerTest extends ServerFixture {
    private InetSocketAddress door;

    private Config with(String management) throws IOException {
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
                        com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(list(41, true, "in_service"))));
    }

    @Override
    void start() throws IOException, InterruptedException {
        node = new LoadBalancerServer(with("127.0.0.1:0"), (s, seed) -> module, rehearse, line -> {
            synchronized (log) {
                log.add(line);
            }
        });
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
        synchronized (log) {
            door = Addresses.parse(log.get(0).replace("management on ", ""));
        }
    }

    private int call(String method, String path) throws IOException {
        try (Client caller = new Client(door)) {
            int status = caller.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
                    .status();
            assertNull(caller.answer(), "one call to a connection");
            return status;
        }
    }

    private static void until(int status, Asked asked) throws IOException {
        int got = asked.now();
        while (got != status) {
            got = asked.now();
        }
    }

    private interface Asked {
        int now() throws IOException;
    }

    private int ready() throws IOException {
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
    void callsAreAnswered(String method, String path, int status) throws Exception {
        start();
        until(200, () -> call("GET", "/api/ready"));
        assertEquals(status, call(method, path));
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
    void theResponseIsTheRecordedOne(String method, String path, String status, String allow, String text)
            throws Exception {
        start();
        until(200, () -> call("GET", "/api/ready"));
        try (Client caller = new Client(door)) {
            caller.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals(
                    "HTTP/1.1 " + status + "\r\ncontent-type: text/plain\r\ncontent-length: "
                            + (text.length() + 1) + "\r\nconnection: close\r\n"
                            + (allow == null ? "" : "allow: " + allow + "\r\n") + "\r\n" + text + "\n",
                    new String(caller.in.readAllBytes(), java.nio.charset.StandardCharsets.US_ASCII));
        }
    }

    @Test
    void whatIsNoCallIsToldSo() throws Exception {
        start();
        try (Client caller = new Client(door)) {
            assertEquals(400, caller.send("what is this\r\n\r\n").status());
        }
        try (Client caller = new Client(door)) {
            assertEquals(
                    431,
                    caller.send("GET /" + "a".repeat(9_000) + " HTTP/1.1\r\n\r\n")
                            .status());
        }
        try (Client caller = new Client(door)) {
            String head = caller.send("GET /api/evacuate HTTP/1.1\r\n\r\n").answer();
            assertTrue(head.contains("allow: POST") || head.contains("Allow: POST"), head);
        }
    }

    /** Sixteen callers fill the places; without the eldest's end the next would wait for good. */
    @Test
    void callersThatFinishNoCallDoNotKeepOthersOut() throws Exception {
        start();
        List<Client> stuck = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            stuck.add(new Client(door).send("GET /api/re"));
        }
        until(200, () -> call("GET", "/api/ready"));
        assertNull(stuck.get(0).answer());
        for (Client one : stuck) {
            one.close();
        }
    }

    @Test
    void anEvacuatedBalancerSaysNoAnswersWhatItHoldsAndComesBack() throws Exception {
        start();
        until(200, this::ready);
        Client rests = new Client(at);
        assertEquals(200, rests.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        Client held = new Client(at).send(SAFE);
        ScriptedUpstream.Got got = upstream.next();
        assertEquals(200, call("POST", "/api/evacuate"));
        assertEquals(200, call("POST", "/api/evacuate"));
        assertEquals(503, call("GET", "/api/ready"));
        assertEquals(503, ready());
        try (Client late = new Client(at).send(SAFE.replace("r1", "r2"))) {
            upstream.next().answer(200, "", "late");
            String head = late.answer();
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            assertTrue(head.toLowerCase().contains("connection: close"), head);
        }
        assertNull(rests.answer(), "it rested for too long");
        got.answer(200, "", "long");
        assertEquals(200, held.status());
        assertNull(held.answer());
        assertEquals(503, ready());
        assertEquals(200, call("POST", "/api/rejoin"));
        assertEquals(200, call("GET", "/api/ready"));
        try (Client again = new Client(at)) {
            assertEquals(
                    200, again.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            assertEquals(
                    200, again.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
    }

    @Test
    void anAddressThatCannotBeHadEndsTheStartWithALine() throws Exception {
        assertTrue(assertThrows(Config.Bad.class, () -> with("localhost:1"))
                .getMessage()
                .startsWith("management: not an address"));
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            LoadBalancerServer second = new LoadBalancerServer(
                    with("127.0.0.1:" + taken.getLocalPort()), (s, seed) -> module, false, line -> {});
            assertTrue(assertThrows(IOException.class, second::start)
                    .getMessage()
                    .startsWith("management: can't listen on 127.0.0.1:" + taken.getLocalPort()));
        }
    }
}
