package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.Config;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How the endpoint list is fetched and watched, over sockets. */
class DiscoveryClientTest extends ServerFixture {
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private void startPushed() throws IOException, InterruptedException {
        pushed = true;
        start();
    }

    @Test
    void listIsWatchedAndFetchedAsThePolicyRequests() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        ScriptedUpstream.Got watch = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.line());
        String first = list(43, true, "in_service");
        watch.raw(RESPONSE_HEAD);
        watch.raw(chunk(first.substring(0, 30)));
        watch.raw(chunk(first.substring(30)));
        assertEquals("COMPLETE [s1=UP]", module.next());
        watch.raw(chunk("\n")); // nothing has changed
        watch.raw(chunk(list(44, false, "terminating")));
        assertEquals("PARTIAL [s1=DRAINING]", module.next());
        watch.raw(chunk("{not json\n"));
        assertEquals("FAILED []", module.next());
        onLoop(() -> module.actions.watch(true));
        assertEquals(
                "GET /api/targets?watch=1&from=44 HTTP/1.1", discovery.next().line());
        onLoop(() -> module.actions.fetchList());
        ScriptedUpstream.Got fetch = discovery.next();
        assertEquals("GET /api/targets HTTP/1.1", fetch.line());
        fetch.answer(200, "", list(45, true, "in_service").strip());
        assertEquals("COMPLETE [s1=UP]", module.next());
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(503, "", "");
        assertEquals("FAILED []", module.next());
    }

    @Test
    void indentedListsAreReadFromWatchesAndFetches() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        ScriptedUpstream.Got watch = discovery.next();
        String first = list(43, true, "in_service").replace(",", ",\n    ").replace("{", "{\n  ");
        watch.raw(RESPONSE_HEAD + chunk(first.substring(0, 40)) + chunk(first.substring(40)));
        assertEquals("COMPLETE [s1=UP]", module.next());
        watch.raw(chunk("\n") + chunk(list(44, false, "terminating").replace(",", "\r\n,")));
        assertEquals("PARTIAL [s1=DRAINING]", module.next());
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(200, "", first.replace("43", "45").strip());
        assertEquals("COMPLETE [s1=UP]", module.next());
    }

    @Test
    void completeListOlderThanAWatchedChangeDoesNotUndoADrain() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        ScriptedUpstream.Got watch = discovery.next();
        watch.raw(RESPONSE_HEAD + chunk(list(43, true, "in_service")));
        assertEquals("COMPLETE [s1=UP]", module.next());
        onLoop(() -> module.actions.fetchList());
        ScriptedUpstream.Got fetch = discovery.next();
        watch.raw(chunk(list(44, false, "terminating")));
        assertEquals("PARTIAL [s1=DRAINING]", module.next());
        fetch.answer(200, "", list(43, true, "in_service"));
        assertEquals("PARTIAL []", module.next(), "the fetch is answered, and changes nothing");
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(200, "", list(45, true, "in_service"));
        assertEquals("COMPLETE [s1=UP]", module.next());
    }

    @Test
    void watchWhoseVersionsGoBackIsReplacedByOneFromVersionZero() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        ScriptedUpstream.Got watch = discovery.next();
        watch.raw(RESPONSE_HEAD + chunk(list(43, true, "in_service")) + chunk(list(44, false, "terminating")));
        assertEquals("COMPLETE [s1=UP]", module.next());
        assertEquals("PARTIAL [s1=DRAINING]", module.next());
        watch.raw(chunk(list(43, false, "in_service")));
        ScriptedUpstream.Got next = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=0 HTTP/1.1", next.line());
        assertTrue(watch.closedByPeer());
        next.raw(RESPONSE_HEAD + chunk(list(7, true, "terminating")));
        assertEquals("COMPLETE [s1=DRAINING]", module.next());
        next.raw(chunk(list(8, false, "in_service")));
        assertEquals("PARTIAL [s1=UP]", module.next());
    }

    /** Only the first replacement is immediate: otherwise both sides would be caught in a tight loop. */
    @Test
    void watchWhoseVersionsKeepGoingBackIsReplacedWithBackoff() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        String goingBack = chunk(list(43, true, "in_service")) + chunk(list(42, false, "in_service"));
        discovery.next().raw(RESPONSE_HEAD + goingBack);
        assertEquals("COMPLETE [s1=UP]", module.next());
        ScriptedUpstream.Got second = discovery.next();
        long since = System.nanoTime();
        second.raw(RESPONSE_HEAD + goingBack);
        assertEquals("COMPLETE [s1=UP]", module.next());
        discovery.next();
        long pause = (System.nanoTime() - since) / 1_000_000;
        assertTrue(pause >= 400, "replaced after " + pause + " ms");
    }

    /** Lists that were received completely count, and the next watch goes on from there. */
    @Test
    void watchResetWithinAListContinuesFromTheLastCompletelyReadOne() throws IOException, InterruptedException {
        startPushed();
        ScriptedUpstream.Got watch = discovery.next();
        watch.raw(RESPONSE_HEAD + chunk(list(43, true, "in_service")));
        assertEquals("COMPLETE [s1=UP]", module.next());
        watch.raw(chunk(list(44, false, "terminating").substring(0, 60)));
        watch.reset();
        ScriptedUpstream.Got next = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=43 HTTP/1.1", next.line());
        next.raw(RESPONSE_HEAD + chunk(list(44, false, "terminating")));
        assertEquals("PARTIAL [s1=DRAINING]", module.next());
    }

    /** Whitespace within a list is no heartbeat. */
    @Test
    @Timeout(60)
    void watchThatSendsOnlyWhitespaceWithinAListCountsAsSilent() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        ScriptedUpstream.Got watch = discovery.next();
        watch.raw(RESPONSE_HEAD + chunk(list(43, true, "in_service")));
        assertEquals("COMPLETE [s1=UP]", module.next());
        watch.raw(chunk("{\n\"rev\":"));
        while (discovery.isEmpty()) {
            try {
                watch.raw(chunk(" "));
            } catch (IOException e) {
                assertEquals(
                        "GET /api/targets?watch=1&from=43 HTTP/1.1",
                        discovery.next().line());
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        ScriptedUpstream.Got next = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=43 HTTP/1.1", next.line());
        next.raw(RESPONSE_HEAD + chunk(list(44, false, "terminating")));
        assertEquals("PARTIAL [s1=DRAINING]", module.next(), "and no failure before it");
    }

    /** What an agent has at its return counts as notified at once: watches are opened while it is silent. */
    @Test
    @Timeout(60)
    void additionalWatchIsOpenedAtASilentAgentAndTheFirstResponseCounts() throws IOException, InterruptedException {
        startPushed();
        ScriptedUpstream.Got first = discovery.next();
        ScriptedUpstream.Got second = discovery.next();
        first.raw(RESPONSE_HEAD + chunk(list(43, true, "terminating")));
        assertEquals("COMPLETE [s1=DRAINING]", module.next());
        assertTrue(second.closedByPeer(), "one watch is left");
        first.raw(chunk(list(44, false, "in_service")));
        assertEquals("PARTIAL [s1=UP]", module.next());
    }

    @Test
    @Timeout(60)
    void atMostThreeUnansweredWatchesAreOpenAtASilentAgent() throws IOException, InterruptedException {
        startPushed();
        ScriptedUpstream.Got first = discovery.next();
        discovery.next();
        discovery.next();
        ScriptedUpstream.Got fourth = discovery.next();
        assertTrue(first.closedByPeer());
        fourth.raw(RESPONSE_HEAD + chunk(list(43, true, "in_service")));
        assertEquals("COMPLETE [s1=UP]", module.next());
    }

    /** A reload names another discovery service: it is watched at once; the end of the former watch is no failure. */
    @Test
    void configurationReloadMovesTheWatchAndKeepsTheListAndTheRequests() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        ScriptedUpstream.Got former = discovery.next();
        former.raw(RESPONSE_HEAD + chunk(list(42, true, "in_service")));
        assertEquals("COMPLETE [s1=UP]", module.next());
        try (ScriptedUpstream second = new ScriptedUpstream();
                ScriptedUpstream third = new ScriptedUpstream();
                Client client = new Client(at)) {
            client.send(SAFE);
            ScriptedUpstream.Got pending = upstream.next();
            node.reload(() -> {
                throw new Config.Bad("no good");
            });
            node.reload(() -> config(second.address()));
            node.reload(() -> config(second.address())); // configured twice, moved once
            assertTrue(former.closedByPeer());
            ScriptedUpstream.Got watch = second.next();
            assertEquals("GET /api/targets?watch=1&from=0 HTTP/1.1", watch.line());
            pending.answer(200, "", "ok");
            assertEquals("OK closed", module.next()); // and no FAILED before it
            assertEquals(200, client.status());
            client.send(SAFE); // by the former list, meanwhile
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
            assertEquals("OK closed", module.next());
            watch.raw(RESPONSE_HEAD + chunk(list(7, true, "terminating")));
            assertEquals("COMPLETE [s1=DRAINING]", module.next());
            node.reload(() -> config(third.address()));
            assertTrue(watch.closedByPeer());
            third.next().socket().close();
            assertEquals("FAILED []", module.next()); // the end of the new watch is a failure
            assertTrue(second.isEmpty());
        }
        synchronized (log) {
            // A stall of a busy machine may be logged at any time.
            List<String> lines = log.stream()
                    .filter(line -> !line.startsWith("event_loop_stalled"))
                    .toList();
            assertEquals("event=configuration_rejected reason=no good", lines.get(0));
            assertTrue(lines.get(1).startsWith("event=configuration_reloaded discovery=127."), log.toString());
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
