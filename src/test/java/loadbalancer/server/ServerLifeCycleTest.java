package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.Config;
import loadbalancer.logging.AsyncLogWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Start, configuration and stop. */
class ServerLifeCycleTest extends ServerFixture {
    /** Interrupted, the starting thread never comes to hold the listener that clients reach all the same. */
    @Test
    void aConnectionThatComesBeforeTheStartHasReturnedIsAnswered() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        node = new LoadBalancerServer(config(1024, settings(), port), (s, seed) -> module, false, line -> {});
        CountDownLatch interrupted = new CountDownLatch(1);
        // The bind must not be done before the starting thread waits for it, however slow that is.
        node.loop().execute(() -> assertDoesNotThrow(() -> interrupted.await()));
        Thread.currentThread().interrupt();
        assertThrows(IOException.class, node::start);
        assertTrue(Thread.interrupted());
        interrupted.countDown();
        node.loop().submit(() -> {}).get(20, TimeUnit.SECONDS); // the bind has been carried out
        InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (Client client = new Client(to)) {
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
    }

    @Test
    void theWarmUpPrecedesReadinessAndReachesNeitherPolicyNorUpstream() throws IOException, InterruptedException {
        rehearse = true;
        start();
        try (Client client = new Client(at)) {
            int status = 503;
            while (status == 503) {
                status = client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
            }
            assertEquals(200, status);
            assertEquals(
                    404,
                    client.send("GET /-/rehearsed HTTP/1.1\r\nHost: x\r\n\r\n").status());
            assertEquals(
                    404,
                    client.send(SAFE.replace("/api/k1?x=%20y", "/-/rehearsal")).status());
            assertTrue(module.requests.isEmpty());
            assertEquals(0, upstream.connections());
            client.send(SAFE);
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }

    @Test
    void anOrderlyStopAnswersWhatIsHeldAndGoesOnTakingConnectionsForAWhile() throws IOException, InterruptedException {
        start();
        Client idle = new Client(at);
        assertEquals(200, idle.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        Client held = new Client(at).send(SAFE);
        ScriptedUpstream.Got got = upstream.next();
        Thread stop = new Thread(node::stop);
        stop.start();
        int ready = 200;
        while (ready == 200) {
            try (Client late = new Client(at)) {
                ready = late.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
            }
        }
        assertEquals(503, ready);
        assertNull(idle.answer()); // closed while idle
        got.answer(200, "", "late but whole");
        String head = held.answer();
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertTrue(head.toLowerCase().contains("connection: close"), head);
        assertNull(held.answer());
        stop.join();
        node = null;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | ROUTER_LISTEN is not set, and the configuration has no listen",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"localhost:1\"} | discovery: not an address: 'localhost'",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\"} | the configuration has no settings",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"Quantum\":1}} "
                        + "| settings: ",
            })
    void badConfigurationIsNamed(String json, String complaint) throws IOException {
        try {
            Config.of(Map.of("ROUTER_NAME", "n1"), com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(json));
        } catch (Config.Bad e) {
            assertTrue(e.getMessage().startsWith(complaint), e.getMessage());
            return;
        }
        throw new AssertionError("taken");
    }

    /** The event loop must not write log lines itself: it would stall, with its requests, where nobody reads them. */
    @Test
    @Timeout(120)
    void requestsGoOnWhileNobodyReadsTheLog() throws IOException, InterruptedException {
        PipedOutputStream pipe = new PipedOutputStream(new PipedInputStream(64));
        AsyncLogWriter sink = new AsyncLogWriter(new PrintStream(pipe, true, StandardCharsets.UTF_8), "");
        node = new LoadBalancerServer(config(1024, settings(), 0), (s, seed) -> module, false, sink);
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
        try (Client client = new Client(at)) {
            for (int i = 0; i < 200; i++) {
                onLoop(() -> {
                    for (int line = 0; line < 20; line++) {
                        module.actions.log("a line that nobody reads");
                    }
                });
                client.send(SAFE);
                upstream.next().answer(200, "", "ok");
                assertEquals(200, client.status());
                assertEquals("OK closed", module.next());
            }
        }
    }
}
