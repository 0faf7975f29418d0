package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Addresses;
import loadbalancer.testbed.RelayScript;
import loadbalancer.testbed.UdpRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A handshake with an upstream over HTTP/3 that is late by loss of packets, while another upstream of the group runs
 * the keyed request. The failure guarded against: the attempt that waits for the handshake is sent when the group has
 * forgotten the key, or waits for the handshake although it can't be sent any more.
 */
class Http3LateHandshakeTest extends Http3UpstreamFixture {
    private static final int HANDSHAKE_SECONDS = 20;
    private static final String PAY = "Idempotency-Key: abc\r\nReq-Deadline-Ms: 20000\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ScriptedUpstream second;
    private UdpRelay relay;

    @BeforeEach
    void startBehindRelay() throws Exception {
        connect = HANDSHAKE_MICROS;
        server = new Http3StandInServer(THEIRS, 0, 100);
        relay = new UdpRelay(
                group.next(),
                new InetSocketAddress("127.0.0.1", server.port()),
                new RelayScript(1, RelayScript.Faults.NONE));
        relay.hole(UdpRelay.Hole.TO_SERVER);
        http3 = Addresses.text(relay.open());
        second = new ScriptedUpstream();
        start();
        onLoop(() -> module.actions.fetchList());
        String secondTarget = target("in_service")
                .replace("s1", "s2")
                .replace(upstream.address(), second.address())
                .replaceAll("\"http3\":\"[^\"]*\",", "");
        discovery
                .next()
                .answer(
                        200,
                        "",
                        "{\"rev\":42,\"all\":true,\"targets\":[" + target("in_service") + "," + secondTarget + "]}\n");
        assertEquals("COMPLETE [s1=UP, s2=UP]", module.next());
    }

    @AfterEach
    void closeRelay() throws Exception {
        relay.close();
        second.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void anAttemptThatWaitsForAHandshakeEndsWithTheWindowAndTheConnectionIsKept() throws Exception {
        try (Client client = new Client(at)) {
            client.send(post("pay", PAY, "seat"));
            module.requests.take();
            onLoop(() -> module.actions.send("1", "s2", 0)); // the balancer's id of its first request
            assertEquals("seat", new String(second.next().body(), java.nio.charset.StandardCharsets.US_ASCII));
            assertEquals("NOT_SENT", module.next(), "the window is over, the handshake is not done");
            assertEquals(502, client.status());
        }
        assertTrue(server.connections.isEmpty(), "the handshake was not late");
        relay.hole(UdpRelay.Hole.NONE); // it goes on with its next try
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANDSHAKE_SECONDS);
        while (!connected("s1") && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(1, server.connections.size(), "no connection came up late");
        assertTrue(server.isEmpty(), "the request was sent behind its window");
        try (Client client = plain(this, "later")) {
            Http3StandInServer.ReceivedRequest asked = server.next();
            assertEquals("later", asked.field("req-id"));
            asked.answer("ok");
            assertEquals(200, client.status());
        }
        assertEquals(1, server.connections.size(), "the late connection was not kept");
    }
}
