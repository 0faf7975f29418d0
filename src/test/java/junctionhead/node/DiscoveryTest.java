package junctionhead.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import junctionhead.config.Config;
import org.junit.jupiter.api.Test;

/** How the list is asked for and watched. */
class DiscoveryTest extends NodeFixture {
    @Test
    void theListIsWatchedAsTheModuleAsksAndSplitLinesAreRead() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got watch = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.line());
        String first = list(43, true, "in_service");
        watch.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.raw(chunk(first.substring(0, 30)));
        watch.raw(chunk(first.substring(30)));
        assertEquals("COMPLETE [s1=UP]", module.next());
        watch.raw(chunk("\n"));                     // nothing has changed
        watch.raw(chunk(list(44, false, "terminating")));
        assertEquals("PARTIAL [s1=DRAINING]", module.next());
        watch.raw(chunk("{not json\n"));
        assertEquals("FAILED []", module.next());
        onLoop(() -> module.actions.watch(true));
        assertEquals("GET /api/targets?watch=1&from=44 HTTP/1.1", discovery.next().line());
        onLoop(() -> module.actions.fetchList());
        FakeUpstream.Got fetch = discovery.next();
        assertEquals("GET /api/targets HTTP/1.1", fetch.line());
        fetch.answer(200, "", list(45, true, "in_service").strip());
        assertEquals("COMPLETE [s1=UP]", module.next());
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(503, "", "");
        assertEquals("FAILED []", module.next());
    }

    /** A new configuration names another discovery: watched at once, and the old one's end is no failure. */
    @Test
    void aNewConfigurationMovesTheWatchAndKeepsTheListAndTheRequests()
            throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got old = discovery.next();
        old.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(list(42, true, "in_service")));
        assertEquals("COMPLETE [s1=UP]", module.next());
        try (FakeUpstream second = new FakeUpstream(); FakeUpstream third = new FakeUpstream();
                Client client = new Client(at)) {
            client.send(SAFE);
            FakeUpstream.Got held = upstream.next();
            node.reload(() -> {
                throw new Config.Bad("no good");
            });
            node.reload(() -> config(second.address()));
            node.reload(() -> config(second.address()));        // said twice, moved once
            assertTrue(old.closedByPeer());
            FakeUpstream.Got watch = second.next();
            assertEquals("GET /api/targets?watch=1&from=0 HTTP/1.1", watch.line());
            held.answer(200, "", "ok");
            assertEquals("OK closed", module.next());           // and no FAILED before it
            assertEquals(200, client.status());
            client.send(SAFE);                                  // by the old list, meanwhile
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
            assertEquals("OK closed", module.next());
            watch.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk(list(7, true, "terminating")));
            assertEquals("COMPLETE [s1=DRAINING]", module.next());
            node.reload(() -> config(third.address()));
            assertTrue(watch.closedByPeer());
            third.next().socket().close();
            assertEquals("FAILED []", module.next());           // the new one's end is one
            assertTrue(second.isEmpty());
        }
        synchronized (log) {
            assertEquals("configuration not taken over: no good", log.get(0));
            assertTrue(log.get(1).startsWith("configuration taken over: discovery at 127."), log.toString());
        }
    }

    private Config config(String discovery) {
        try {
            return config(1024, settings(), 0, discovery);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
