package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.testbed.RelayScript;
import loadbalancer.testbed.UdpRelay;
import org.junit.jupiter.api.Test;

/** Slow and hostile clients over HTTP/3, and the limits that keep them from shutting out others. */
class Http3AbuseTest extends Http3Fixture {
    @Test
    void slowRequestTimesOut() throws Exception {
        start();
        Http3TestClient client = client();
        assertEquals(
                "408 too slow",
                client.send(Http3TestClient.head("POST", "book", "r1").add("content-length", "4"), "se", false)
                        .end());
        client.assertNextIsServed(upstream);
    }

    /** Handshakes that are begun and never completed, as with forged addresses (RFC 9000, section 21.3). */
    @Test
    void floodOfInitialPacketsDoesNotShutOutOtherClients() throws Exception {
        sessions = new Http3ConnectionLimiter.Limits(50, 50, 10, 1 << 20, 0, TimeUnit.MINUTES.toNanos(5));
        start();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (UdpRelay relay = new UdpRelay(group.next(), node.beside(), new RelayScript(1, RelayScript.Faults.NONE))) {
            relay.hole(UdpRelay.Hole.TO_CLIENT);
            Channel bad = Http3TestClient.dialOnly(relay.open(), OURS.getCertificatePath()[0], 40);
            while (relay.counts()[0] < 40) {
                Thread.onSpinWait();
            }
            relay.counts(); // behind the last of them on its loop
            client().assertNextIsServed(upstream);
            try (Client plain = new Client(at)) {
                assertTrue(plain.send(SAFE).answerAfter(upstream).startsWith("HTTP/1.1 200"));
            }
            bad.close().sync();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void rapidResetsCloseTheConnection() throws Exception {
        start();
        Http3TestClient bad = client();
        Http3TestClient good = client();
        int resets = 0;
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (resets < 5_000 && bad.quic.isOpen() && System.nanoTime() < deadline) {
            try {
                bad.send(Http3TestClient.head("POST", "book", "x" + resets).add("content-length", "4"), "se", false)
                        .stream
                        .shutdown(0x10c);
                resets++;
            } catch (ExecutionException e) {
                bad.quic.eventLoop().submit(() -> {}).sync(); // no stream free yet, or closed meanwhile
            }
        }
        assertEquals("close 0x107", bad.event("close"));
        good.assertNextIsServed(upstream);
    }

    @Test
    void connectionsBeyondTheLimitAreRefused() throws Exception {
        sessions = new Http3ConnectionLimiter.Limits(
                4, 10, 20, 1 << 20, TimeUnit.MINUTES.toNanos(5), TimeUnit.MINUTES.toNanos(5));
        start();
        List<Http3TestClient> in = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            in.add(client());
            Http3TestClient.Got response = in.get(i).get("r" + i); // a server's side is established with it
            upstream.next().answer(200, "", "ok");
            assertEquals("200 ok", response.end());
        }
        try {
            Http3TestClient none = client();
            assertTrue(none.event("close") != null);
        } catch (ExecutionException e) {
            assertTrue(in.get(0).quic.isOpen()); // refused before its handshake was done
        }
        assertTrue(in.get(0).quic.isOpen());
    }
}
