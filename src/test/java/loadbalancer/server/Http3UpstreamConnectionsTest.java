package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Addresses;
import loadbalancer.testbed.RelayScript;
import loadbalancer.testbed.UdpRelay;
import org.junit.jupiter.api.Test;

/** Connections to upstreams over HTTP/3: limits of streams, drains, GOAWAY, and when HTTP/1.1 stands in. */
class Http3UpstreamConnectionsTest extends Http3UpstreamFixture {
    @Test
    void whereNoStreamIsLeftNothingWasSent() throws Exception {
        startWithServer(1);
        Http3TestClient client = client();
        List<Http3StandInServer.ReceivedRequest> held = new ArrayList<>();
        for (int i = 0; i < 2; i++) { // one for each of the two connections
            client.book("r" + i);
            held.add(server.next());
        }
        assertEquals("502 failed", client.book("r2").end());
        assertEquals("NOT_SENT", module.next());
        assertTrue(server.isEmpty());
        held.forEach(h -> h.answer("ok"));
    }

    /** More requests wait for the handshake than the upstream allows: no number of a stream is used up. */
    @Test
    void thoseBeyondTheLimitThatWaitedWereNotSentAndTheRestGoesOn() throws Exception {
        connect = HANDSHAKE_MICROS;
        server = new Http3StandInServer(THEIRS, 0, 3);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (UdpRelay relay = new UdpRelay(
                group.next(),
                new InetSocketAddress("127.0.0.1", server.port()),
                new RelayScript(1, RelayScript.Faults.NONE))) {
            relay.hole(UdpRelay.Hole.TO_SERVER);
            http3 = Addresses.text(relay.open());
            start();
            Http3TestClient client = client();
            List<Http3TestClient.Got> responses = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                responses.add(client.get("r" + i));
                module.requests.take();
            }
            relay.hole(UdpRelay.Hole.NONE); // the handshake goes on with its next attempt
            Channel waited = null;
            for (int i = 0; i < 3; i++) {
                Http3StandInServer.ReceivedRequest asked = server.next();
                waited = asked.stream.parent();
                asked.answer(asked.field("req-id"));
            }
            int served = 0;
            for (Http3TestClient.Got got : responses) {
                served += got.end().startsWith("200 ") ? 1 : 0;
            }
            assertEquals(3, served);
            // The server raises its limit when it gets to it: until then a request may take a second connection.
            Map<Channel, List<Long>> streams = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                Http3TestClient.Got got = client.get("n" + i);
                Http3StandInServer.ReceivedRequest asked = server.next();
                streams.computeIfAbsent(asked.stream.parent(), c -> new ArrayList<>())
                        .add(asked.stream.streamId());
                asked.answer(asked.field("req-id"));
                assertEquals("200 n" + i, got.end());
            }
            Channel before = waited;
            streams.forEach((connection, ids) -> {
                long first = connection == before ? 12 : 0; // after the three that waited
                for (int i = 0; i < ids.size(); i++) {
                    assertEquals(first + 4L * i, ids.get(i));
                }
            });
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Rule 3: the connection stands, and nothing new is sent on it after the grace. */
    @Test
    void aDrainedUpstreamGetsNothingNewOnItsConnection() throws Exception {
        startWithServer(100);
        Http3TestClient client = client();
        Http3TestClient.Got held = client.book("held");
        Http3StandInServer.ReceivedRequest before = server.next();
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(200, "", list(42, true, "terminating"));
        assertEquals("COMPLETE [s1=DRAINING]", module.next());
        long drainedAt = System.nanoTime();
        String end = "200";
        for (int i = 0; end.startsWith("200"); i++) {
            Http3TestClient.Got got = client.get("r" + i);
            while (server.isEmpty() && !got.ended.isDone()) {
                Thread.onSpinWait();
            }
            if (!server.isEmpty()) {
                assertTrue(System.nanoTime() - drainedAt < TimeUnit.SECONDS.toNanos(10));
                server.next().answer("ok");
            }
            end = got.end();
        }
        assertEquals("502 failed", end);
        String last = module.next();
        while (last.startsWith("OK")) {
            last = module.next();
        }
        // The grace may end between the choice of a connection and the send guard, which then answers.
        assertTrue(last.equals("NOT_SENT") || last.equals("CONNECT_FAILED"), last);
        for (int i = 0; i < 5; i++) {
            assertEquals("502 failed", client.get("n" + i).end());
            assertEquals("NOT_SENT", module.next());
        }
        assertTrue(server.isEmpty());
        before.answer("done"); // what was there before goes on to its end
        assertEquals("200 done", held.end());
    }

    @Test
    void aGoAwayLetsWhatItCoversFinish() throws Exception {
        startWithServer(100);
        try (Client client = plain(this, "r1")) {
            Http3StandInServer.ReceivedRequest got = server.next();
            got.goAway(4);
            // Another connection for what comes now; the first one's answer still counts.
            try (Client second = plain(this, "r2")) {
                Http3StandInServer.ReceivedRequest other = server.next();
                while (other.stream.parent() == got.stream.parent()) {
                    // It crossed the GOAWAY: never processed, and the policy gets that outcome.
                    assertEquals("NOT_SENT", module.next());
                    assertEquals(502, second.status());
                    second.send(
                            post("book", "Req-Deadline-Ms: 20000\r\n", "seat").replace("r1", "r3"));
                    other = server.next();
                }
                other.answer("two");
                assertEquals(200, second.status());
            }
            got.answer("one");
            assertEquals(200, client.status());
        }
    }

    @Test
    void aConnectionThatDiesWithAHundredStreamsGivesEachOneAnswer() throws Exception {
        startWithServer(200);
        module.resendsUnsent = true;
        Http3TestClient client = client();
        List<Http3TestClient.Got> responses = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            responses.add(client.book("r" + i));
        }
        Http3StandInServer.ReceivedRequest last = null;
        for (int i = 0; i < 100; i++) {
            last = server.next();
        }
        last.closeConnection();
        for (Http3TestClient.Got got : responses) {
            assertEquals("502 failed", got.end());
            assertEquals(1, got.heads);
        }
        assertTrue(server.isEmpty());
        assertTrue(upstream.isEmpty());
    }

    @Test
    void withoutAHandshakeHttp1StandsInAndHttp3ComesBack() throws Exception {
        Http3StandInServer closed = new Http3StandInServer(THEIRS, 0, 100);
        http3 = closed.address();
        int port = closed.port();
        closed.close();
        start();
        try (Client first = plain(this, "r1")) {
            assertEquals("CONNECT_FAILED", module.next());
            assertEquals(502, first.status());
        }
        try (Client second = plain(this, "r2")) {
            assertEquals(200, Integer.parseInt(second.answerAfter(upstream).split(" ")[1]));
        }
        module.next();
        server = new Http3StandInServer(THEIRS, port, 100);
        // A trial begins beside the requests that HTTP/1.1 carries; after it HTTP/3 carries them again.
        for (int i = 0; server.isEmpty(); i++) {
            try (Client next = plain(this, "n" + i)) {
                int request = i;
                while (server.isEmpty() && upstream.isEmpty()) {
                    Thread.onSpinWait();
                }
                assertTrue(request < 1_000_000);
                if (!upstream.isEmpty()) {
                    assertEquals(
                            200, Integer.parseInt(next.answerAfter(upstream).split(" ")[1]));
                } else {
                    server.next().answer("ok");
                    assertEquals(200, next.status());
                    return;
                }
            }
        }
    }

    @Test
    void anUpstreamThatShowsAnotherCertificateIsNotTrusted() throws Exception {
        server = new Http3StandInServer(OURS, 0, 100);
        http3 = server.address();
        start();
        try (Client first = plain(this, "r1")) {
            assertEquals("CONNECT_FAILED", module.next());
            assertEquals(502, first.status());
        }
        assertTrue(server.isEmpty());
    }

    /** Requests that waited for the handshake, and then many more than the upstream allows at once. */
    @Test
    void streamsThatEndedMakeRoomForOthers() throws Exception {
        startWithServer(6);
        Http3TestClient client = client();
        List<Http3TestClient.Got> responses = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            responses.add(client.get("w" + i));
        }
        for (int i = 0; i < 4; i++) {
            Http3StandInServer.ReceivedRequest asked = server.next();
            asked.answer(asked.field("req-id"));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals("200 w" + i, responses.get(i).end());
        }
        for (int i = 0; i < 60; i++) {
            Http3TestClient.Got got = client.get("r" + i);
            Http3StandInServer.ReceivedRequest asked = server.next();
            asked.answer(asked.field("req-id"));
            assertEquals("200 r" + i, got.end());
        }
        assertTrue(upstream.isEmpty());
    }

    @Test
    void theUpstreamsLimitOfStreamsIsKept() throws Exception {
        startWithServer(3);
        Http3TestClient client = client();
        List<Http3TestClient.Got> responses = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            responses.add(client.get("r" + i));
        }
        List<Http3StandInServer.ReceivedRequest> asked = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            asked.add(server.next());
        }
        Http3TestClient.Got fourth = client.get("r3"); // a second connection
        Http3StandInServer.ReceivedRequest other = server.next();
        assertNotEquals(asked.get(0).stream.parent(), other.stream.parent());
        other.answer("r3");
        assertEquals("200 r3", fourth.end());
        asked.forEach(a -> a.answer(a.field("req-id")));
        for (int i = 0; i < 3; i++) {
            assertEquals("200 r" + i, responses.get(i).end());
        }
    }
}
