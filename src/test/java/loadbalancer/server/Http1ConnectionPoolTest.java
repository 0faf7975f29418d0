package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to upstreams: their rest, their drains and their probes. */
class Http1ConnectionPoolTest extends ServerFixture {
    @Test
    void idleConnectionsAreClosedWellBeforeTheUpstreamWould() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 400_000), 1024);
        try (Client client = new Client(at)) {
            client.send(SAFE);
            ScriptedUpstream.Got got = upstream.next();
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
            assertTrue(closesSoon(got));
        }
    }

    @Test
    @Timeout(60)
    void ofTwoIdleConnectionsToOneUpstreamTheSpareOneGoesSoon() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 600_000_000), 1024);
        try (Client first = new Client(at);
                Client second = new Client(at)) {
            first.send(SAFE);
            ScriptedUpstream.Got spare = upstream.next();
            second.send(SAFE.replace("r1", "r2"));
            ScriptedUpstream.Got kept = upstream.next();
            assertEquals(2, upstream.connections());
            spare.answer(200, "", "ok");
            assertEquals(200, first.status());
            kept.answer(200, "", "ok");
            assertEquals(200, second.status());
            assertTrue(spare.closedByPeer(), "nobody has use for it, and the upstream holds few");
            first.send(SAFE.replace("r1", "r3"));
            ScriptedUpstream.Got next = upstream.next();
            assertEquals(kept.connection(), next.connection(), "the other one is used again");
            next.answer(200, "", "ok");
            assertEquals(200, first.status());
        }
    }

    @Test
    @Timeout(60)
    void theModuleCanAskWhetherAHandshakeIsNeeded() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 600_000_000), 1024);
        assertFalse(connected("s1"), "none yet");
        try (Client client = new Client(at)) {
            client.send(SAFE);
            ScriptedUpstream.Got got = upstream.next();
            assertFalse(connected("s1"), "it carries a request, and one at a time");
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
            awaitRested("s1");
            assertFalse(connected("nobody"));
        }
    }

    @Test
    @Timeout(60)
    void nothingIsSentToAnUpstreamThatHasGone() throws IOException, InterruptedException {
        start(Map.of(), 1024);
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
        assertEquals("COMPLETE []", module.next());
        // The grace is over at last; the module of this test goes on sending all the same.
        try (Client client = new Client(at)) {
            String told = "OK closed";
            while (told.startsWith("OK")) {
                client.send(SAFE);
                told = module.told.poll(10, TimeUnit.MILLISECONDS);
                while (told == null) {
                    if (!upstream.isEmpty()) {
                        upstream.next().answer(200, "", "ok");
                    }
                    told = module.told.poll(10, TimeUnit.MILLISECONDS);
                }
                client.status();
            }
            if (told.equals("CONNECT_FAILED")) { // the grace ended while that one's connection came up
                client.send(SAFE);
                told = module.next();
                client.status();
            }
            assertEquals("NOT_SENT", told);
            assertTrue(upstream.isEmpty());
        }
    }

    @Test
    @Timeout(60)
    void anAttemptThatStillWaitsForItsConnectionIsNotSentAfterTheGrace() throws IOException, InterruptedException {
        List<Client> clients = new ArrayList<>();
        try (UnacceptingListener held = new UnacceptingListener()) {
            endpoint = held.address();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            clients.add(new Client(at).send(SAFE.replace("r1", "r0")));
            assertEquals("0 k1 700 true", module.requests.poll(20, TimeUnit.SECONDS));
            onLoop(() -> module.actions.fetchList());
            discovery.next().answer(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
            assertEquals("COMPLETE []", module.next());
            String told = null;
            while (told == null) { // until new attempts show that the grace is over
                clients.add(new Client(at).send(SAFE.replace("r1", "r" + clients.size())));
                told = module.told.poll(100, TimeUnit.MILLISECONDS);
            }
            assertEquals("NOT_SENT", told);
            held.release();
            for (int i = 1; i < clients.size(); i++) {
                assertEquals("CONNECT_FAILED", module.next(), "it never ran, and another may take it");
            }
            for (int i = 1; i < clients.size(); i++) {
                assertEquals(-1, held.next().getInputStream().read(), "nothing was written");
            }
        } finally {
            for (Client client : clients) {
                client.close();
            }
        }
    }

    @Test
    void probesTellTheLoad() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.probe("s1"));
        ScriptedUpstream.Got got = upstream.next();
        assertEquals("GET /-/load HTTP/1.1", got.line());
        assertNull(got.header("Req-Id"));
        got.answer(200, "", "TEXT inflight=3");
        assertEquals("probed OK 3.0", module.next());
    }
}
