package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http3.Http3Headers;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.testbed.RelayScript;
import loadbalancer.testbed.UdpRelay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import tech.kwik.flupke.Http3Client;

/** Clients over HTTP/3, good ones and bad ones, with an upstream that speaks HTTP/1.1. */
class Http3DownstreamTest extends Http3Fixture {
    private static final long HELD_MILLIS = 150; // for the client's datagrams to leave

    @Test
    void aRequestGoesOnAndItsAnswerComesBack() throws Exception {
        start();
        Http3TestClient client = client();
        Http3Headers head = Http3TestClient.head("POST", "book", "r1")
                .add("content-length", "4")
                .add("cookie", "a=1")
                .add("cookie", "b=2")
                .add("x-mine", "y")
                .add("te", "trailers");
        Http3TestClient.Got got = client.send(head, "seat", true);
        ScriptedUpstream.Got asked = upstream.next();
        assertTrue(asked.head().startsWith("POST /api/k1 HTTP/1.1\r\n"), asked.head());
        assertEquals("backend.local", asked.header("host"));
        assertEquals("a=1; b=2", asked.header("cookie"));
        assertEquals("y", asked.header("x-mine"));
        assertNull(asked.header("te"));
        assertEquals("seat", new String(asked.body(), java.nio.charset.StandardCharsets.US_ASCII));
        asked.answer(200, "Content-Type: text/stamp\r\n", "done");
        assertEquals("200 done", got.end());
        assertEquals("text/stamp", got.headers.get("content-type").toString());
        assertEquals(1, got.heads);
    }

    @Test
    void anIndependentClientIsServed() throws Exception {
        start();
        var client = Http3Client.newBuilder()
                .disableCertificateCheck()
                .connectTimeout(Duration.ofSeconds(10))
                .build();
        URI uri = URI.create("https://127.0.0.1:" + node.beside().getPort() + "/api/k1");
        var answer = client.sendAsync(
                HttpRequest.newBuilder(uri)
                        .header("Req-Id", "k1")
                        .header("Req-Kind", "book")
                        .header("Req-Deadline-Ms", "20000")
                        .POST(HttpRequest.BodyPublishers.ofString("seat"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        ScriptedUpstream.Got asked = upstream.next();
        assertEquals("seat", new String(asked.body(), java.nio.charset.StandardCharsets.US_ASCII));
        asked.answer(200, "", "done");
        HttpResponse<String> got = answer.get(20, TimeUnit.SECONDS);
        assertEquals("200 done", got.statusCode() + " " + got.body());
        var ready = client.send(
                HttpRequest.newBuilder(uri.resolve("/-/ready")).GET().build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, ready.statusCode());
    }

    @Test
    void refusalsAndFailuresAreWordedAsOverHttp1() throws Exception {
        start();
        module.server = null;
        Http3TestClient client = client();
        Http3TestClient.Got refused = client.book("r1");
        module.requests.take();
        onLoop(() -> module.actions.reject("1", 1_500_000));
        assertEquals("503 refused: trying again is harmless", refused.end());
        assertEquals("1.500", refused.headers.get("retry-after").toString());
        Http3TestClient.Got failed = client.book("r2");
        module.requests.take();
        onLoop(() -> module.actions.fail("2"));
        assertEquals("502 failed", failed.end());
    }

    static Stream<Arguments> broken() {
        return Stream.of(
                Arguments.of("Upper case", (UnaryOperator<Http3Headers>) h -> h.add("X-Upper", "1")),
                Arguments.of("connection", (UnaryOperator<Http3Headers>) h -> h.add("connection", "close")),
                Arguments.of(
                        "transfer-encoding", (UnaryOperator<Http3Headers>) h -> h.add("transfer-encoding", "chunked")),
                Arguments.of("te", (UnaryOperator<Http3Headers>) h -> h.add("te", "gzip")),
                Arguments.of("two lengths", (UnaryOperator<Http3Headers>)
                        h -> h.add("content-length", "4").add("content-length", "5")),
                Arguments.of("a length too great", (UnaryOperator<Http3Headers>) h -> h.add("content-length", "5")),
                Arguments.of("a length too small", (UnaryOperator<Http3Headers>) h -> h.add("content-length", "3")),
                Arguments.of("a signed length", (UnaryOperator<Http3Headers>) h -> h.add("content-length", "+4")),
                Arguments.of("another host", (UnaryOperator<Http3Headers>) h -> h.add("host", "elsewhere")),
                Arguments.of("userinfo", (UnaryOperator<Http3Headers>) h -> h.authority("me@backend.local")),
                Arguments.of("a line break", (UnaryOperator<Http3Headers>) h -> h.add("x", "a\r\nb: c")),
                Arguments.of("no path", (UnaryOperator<Http3Headers>) h -> {
                    h.remove(":path");
                    return h;
                }),
                Arguments.of("a scheme of its own", (UnaryOperator<Http3Headers>) h -> h.scheme("ftp")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("broken")
    void whatBreaksTheProtocolEndsItsStreamAndReachesNoUpstream(String name, UnaryOperator<Http3Headers> breaks)
            throws Exception {
        start();
        Http3TestClient client = client();
        Http3TestClient.Got got = client.send(breaks.apply(Http3TestClient.head("POST", "book", "r1")), "seat", true);
        assertEquals("reset 0x10e", got.end());
        nextIsServed(client);
    }

    /** The connection goes on, and nothing of another request came to the upstream before this one. */
    private void nextIsServed(Http3TestClient client) throws Exception {
        Http3TestClient.Got next = client.get("next");
        ScriptedUpstream.Got asked = upstream.next();
        assertEquals("next", asked.header("req-id"));
        asked.answer(200, "", "ok");
        assertEquals("200 ok", next.end());
    }

    @Test
    void whatIsNotTakenIsToldWhy() throws Exception {
        start();
        Http3TestClient client = client();
        assertEquals(
                "400 unknown Req-Kind",
                client.send(Http3TestClient.head("GET", "unheard", "r1"), null, true)
                        .end());
        assertEquals(
                "400 method or Idempotency-Key contradicts the Req-Kind",
                client.send(Http3TestClient.head("POST", "read", "r1"), null, true)
                        .end());
        assertEquals(
                "431 too many fields",
                client.send(Http3TestClient.head("GET", "read", "r1").add("x", "y".repeat(9_000)), null, true)
                        .end());
        Http3Headers large = Http3TestClient.head("POST", "book", "r1").add("content-length", "65537");
        assertEquals("413 too large", client.send(large, "some", false).end());
        assertEquals(
                "413 too large",
                client.send(Http3TestClient.head("POST", "book", "r1"), "y".repeat(70_000), false)
                        .end());
        assertTrue(upstream.isEmpty());
    }

    @Test
    void oneReqIdIsOpenOnceWhateverTheProtocol() throws Exception {
        start();
        try (Client plain = new Client(at)) {
            plain.send(post("book", "Req-Deadline-Ms: 20000\r\n", "seat"));
            ScriptedUpstream.Got first = upstream.next();
            Http3TestClient client = client();
            assertTrue(client.book("r1").end().startsWith("409 "));
            first.answer(200, "", "done");
            assertEquals(200, plain.status());
            assertTrue(plain.body.length > 0);
            Http3TestClient.Got again = client.book("r1");
            ScriptedUpstream.Got second = upstream.next();
            plain.send(post("book", "Req-Deadline-Ms: 20000\r\n", "seat"));
            assertEquals(409, plain.status());
            second.answer(200, "", "done");
            assertEquals("200 done", again.end());
        }
        assertTrue(upstream.isEmpty());
    }

    @Test
    void theOtherProtocolIsAdvertised() throws Exception {
        start();
        try (Client plain = new Client(at)) {
            String head = plain.send(SAFE).answerAfter(upstream);
            assertTrue(head.contains("Alt-Svc: h3=\":" + node.beside().getPort() + "\"; ma="), head);
        }
    }

    @Test
    void aClientThatLeavesCountsAsGone() throws Exception {
        start();
        Http3TestClient client = client();
        client.book("r1");
        upstream.next();
        client.quic.close();
        String told = module.next();
        while (!told.equals("gone")) {
            told = module.next();
        }
    }

    @Test
    void aRequestThatIsResetBeforeItsEndReachesNoUpstream() throws Exception {
        start();
        Http3TestClient client = client();
        Http3TestClient.Got half =
                client.send(Http3TestClient.head("POST", "book", "r1").add("content-length", "4"), "se", false);
        half.stream.shutdown(0x10c).sync();
        nextIsServed(client);
    }

    /** Before our answer, in the middle of it and after it: one run, and the connection goes on. */
    @Test
    void aClientThatCancelsIsNoSecondRunWhenever() throws Exception {
        start();
        Http3TestClient client = client();
        Http3TestClient.Got before = client.book("before");
        ScriptedUpstream.Got asked = upstream.next();
        before.stream.shutdown(0x10c).sync();
        asked.answer(200, "", "nobody");
        Http3TestClient.Got within = client.book("within");
        ScriptedUpstream.Got second = upstream.next();
        within.stream.shutdownInput(0x10c).sync();
        second.answer(200, "", "y".repeat(60_000));
        Http3TestClient.Got after = client.book("after");
        upstream.next().answer(200, "", "done");
        assertEquals("200 done", after.end());
        after.stream.shutdown(0x10c).sync();
        nextIsServed(client);
        assertTrue(upstream.isEmpty());
        String told = module.next();
        for (int i = 0; i < 3; i++) { // one outcome each, and nothing was tried again
            assertTrue(told.startsWith("OK"), told);
            told = module.next();
        }
        assertTrue(told.startsWith("OK"), told);
    }

    @Test
    void aRequestThatDripsIsToldSo() throws Exception {
        start();
        Http3TestClient client = client();
        assertEquals(
                "408 too slow",
                client.send(Http3TestClient.head("POST", "book", "r1").add("content-length", "4"), "se", false)
                        .end());
        nextIsServed(client);
    }

    /** Handshakes that are begun and never go on, as with forged addresses (RFC 9000, section 21.3). */
    @Test
    void aFloodOfInitialsIsBoundedAndKeepsNobodyOut() throws Exception {
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
            nextIsServed(client());
            try (Client plain = new Client(at)) {
                assertTrue(plain.send(SAFE).answerAfter(upstream).startsWith("HTTP/1.1 200"));
            }
            bad.close().sync();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void streamsOpenedOnlyToBeResetEndTheirConnection() throws Exception {
        start();
        Http3TestClient bad = client();
        Http3TestClient good = client();
        for (int i = 0; i < 5_000 && bad.quic.isOpen(); i++) {
            try {
                bad.send(Http3TestClient.head("POST", "book", "x" + i).add("content-length", "4"), "se", false)
                        .stream
                        .shutdown(0x10c);
            } catch (ExecutionException e) {
                bad.quic.eventLoop().submit(() -> {}).sync(); // no stream free yet, or closed meanwhile
            }
        }
        assertEquals("close 0x107", bad.event("close"));
        nextIsServed(good);
    }

    @Test
    void manyConnectionsProveTheirAddressAndTheLastIsTurnedAway() throws Exception {
        sessions = new Http3ConnectionLimiter.Limits(
                4, 10, 20, 1 << 20, TimeUnit.MINUTES.toNanos(5), TimeUnit.MINUTES.toNanos(5));
        start();
        List<Http3TestClient> in = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            in.add(client());
            Http3TestClient.Got got = in.get(i).get("r" + i); // a server's side is established with it
            upstream.next().answer(200, "", "ok");
            assertEquals("200 ok", got.end());
        }
        try {
            Http3TestClient none = client();
            assertTrue(none.event("close") != null);
        } catch (ExecutionException e) {
            assertTrue(in.get(0).quic.isOpen()); // refused before its handshake was done
        }
        assertTrue(in.get(0).quic.isOpen());
    }

    @Test
    void aStopIsAnnouncedFinishesWhatIsTakenAndRejectsTheRest() throws Exception {
        start();
        Http3TestClient client = client();
        Http3TestClient.Got taken = client.book("r1");
        ScriptedUpstream.Got asked = upstream.next();
        CountDownLatch over = new CountDownLatch(1);
        LoadBalancerServer stopping = node;
        Thread stop = new Thread(() -> {
            stopping.stop();
            over.countDown();
        });
        stop.start();
        node = null; // is stopped here
        assertEquals("goaway " + ((1L << 62) - 4), client.event("goaway"));
        assertEquals("goaway 4", client.event("goaway"));
        // What crosses the GOAWAY is rejected as never processed.
        assertEquals(
                "reset 0x10b",
                client.raw(Http3TestClient.head("GET", "read", "r2")).end());
        asked.answer(200, "", "done");
        assertEquals("200 done", taken.end());
        assertTrue(over.await(20, TimeUnit.SECONDS));
        assertEquals("close 0x100", client.event("close"));
        assertTrue(upstream.isEmpty());
    }

    /** The loop is held while a client asks and closes its connection: also more than is read in one pass. */
    @ParameterizedTest
    @ValueSource(ints = {1, 30})
    void aRequestWhoseClientClosesWhileTheLoopIsHeldIsNotSentOn(int requests) throws Exception {
        start();
        Http3TestClient client = client();
        client.get("before");
        upstream.next().answer(200, "", "ok");
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        node.loop().execute(() -> {
            begun.countDown();
            try {
                held.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        begun.await();
        for (int i = 0; i < requests; i++) {
            client.get("gone" + i);
        }
        client.quic.close(true, 0x100, Unpooled.EMPTY_BUFFER).sync();
        TimeUnit.MILLISECONDS.sleep(HELD_MILLIS);
        held.countDown();
        Http3TestClient.Got after = client().get("after");
        ScriptedUpstream.Got asked = upstream.next();
        assertEquals("after", asked.header("req-id"));
        asked.answer(200, "", "ok");
        assertEquals("200 ok", after.end());
        assertTrue(upstream.isEmpty());
    }

    @Test
    void aNewCertificateIsShownToNewConnectionsOnly() throws Exception {
        start();
        Http3TestClient old = client();
        Http3TestClient.Got open = old.book("r1");
        ScriptedUpstream.Got asked = upstream.next();
        var fresh = Certificates.selfSigned();
        node.reload(() -> {
            try {
                return with(told(sessions, streams, fresh));
            } catch (java.io.IOException e) {
                throw new loadbalancer.config.Config.Bad("?");
            }
        });
        CountDownLatch taken = new CountDownLatch(1);
        onLoop(taken::countDown);
        assertTrue(taken.await(20, TimeUnit.SECONDS));
        synchronized (log) {
            assertTrue(log.contains("http3: new connections are shown another certificate"), log::toString);
        }
        Http3TestClient young = client(fresh.getCertificatePath()[0], node.beside());
        Http3TestClient.Got second = young.get("r2");
        upstream.next().answer(200, "", "new");
        assertEquals("200 new", second.end());
        asked.answer(200, "", "old");
        assertEquals("200 old", open.end());
        Http3TestClient.Got again = old.get("r3");
        upstream.next().answer(200, "", "still");
        assertEquals("200 still", again.end());
    }
}
