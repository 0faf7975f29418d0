package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.RelayScript;
import loadbalancer.testbed.UdpRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tech.kwik.flupke.Http3Client;

/** What befalls the path between a client and us: it changes, loses, repeats and bends. */
class Http3NetworkPathTest extends Http3Fixture {
    private static final int CHANGES = 3;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private UdpRelay relay;

    private Http3TestClient through(RelayScript.Faults faults) throws Exception {
        start();
        relay = new UdpRelay(group.next(), node.beside(), new RelayScript(7, faults));
        return client(OURS.getCertificatePath()[0], relay.open());
    }

    @AfterEach
    void closeRelay() {
        relay.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** By a client that shares no code with us, and gives out spare connection ids as browsers do. */
    @Test
    void aPathThatChangesInTheMiddleBooksOnceAndAnswersOnce() throws Exception {
        start();
        relay = new UdpRelay(group.next(), node.beside(), new RelayScript(7, RelayScript.Faults.NONE));
        URI uri = URI.create("https://127.0.0.1:" + relay.open().getPort() + "/api/k1");
        Http3Client client = (Http3Client) Http3Client.newBuilder()
                .disableCertificateCheck()
                .connectTimeout(Duration.ofSeconds(10))
                .build();
        for (int i = 0; i < CHANGES; i++) {
            CompletableFuture<HttpResponse<String>> open = book(client, uri, "r" + i);
            ScriptedUpstream.Got asked = upstream.next();
            relay.rebind(); // the next request tells of the new path
            CompletableFuture<HttpResponse<String>> next = book(client, uri, "n" + i);
            ScriptedUpstream.Got second = upstream.next();
            assertEquals("r" + i, asked.header("req-id"));
            assertEquals("n" + i, second.header("req-id"));
            asked.answer(200, "", "done");
            second.answer(200, "", "done");
            for (CompletableFuture<HttpResponse<String>> answer : List.of(open, next)) {
                HttpResponse<String> got = answer.get(20, TimeUnit.SECONDS);
                assertEquals("200 done", got.statusCode() + " " + got.body());
            }
        }
        assertTrue(upstream.isEmpty());
        assertEquals(CHANGES, relay.counts()[1]);
    }

    private static CompletableFuture<HttpResponse<String>> book(Http3Client client, URI uri, String id) {
        return client.sendAsync(
                HttpRequest.newBuilder(uri)
                        .header("Req-Id", id)
                        .header("Req-Kind", "book")
                        .header("Req-Deadline-Ms", "20000")
                        .POST(HttpRequest.BodyPublishers.ofString("seat"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void aPathThatDiesForAWhileDelaysAndDoublesNothing() throws Exception {
        Http3TestClient client = through(RelayScript.Faults.NONE);
        Http3TestClient.Got got = client.book("r1");
        ScriptedUpstream.Got asked = upstream.next();
        relay.hole(UdpRelay.Hole.TO_CLIENT);
        asked.answer(200, "", "done");
        Http3TestClient.Got other = client.book("r2"); // still arrives, and is not answered to its client
        upstream.next().answer(200, "", "ok");
        assertTrue(!got.ended.isDone());
        relay.hole(UdpRelay.Hole.NONE);
        assertEquals("200 done", got.end());
        assertEquals("200 ok", other.end());
        assertTrue(upstream.isEmpty());
    }

    @Test
    void lossRepeatsDisorderAndBentBitsDoubleNothing() throws Exception {
        Http3TestClient client = through(new RelayScript.Faults(0.05, 0.1, 0.2, 0.02, 3_000));
        List<Http3TestClient.Got> gots = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            gots.add(client.send(Http3TestClient.head("POST", "book", "r" + i), "seat".repeat(500), true));
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            ScriptedUpstream.Got asked = upstream.next();
            ids.add(asked.header("req-id"));
            assertEquals(2_000, asked.body().length);
            asked.answer(200, "", asked.header("req-id"));
        }
        assertEquals(60, ids.stream().distinct().count());
        for (int i = 0; i < 60; i++) {
            assertEquals("200 r" + i, gots.get(i).end());
            assertEquals(1, gots.get(i).heads);
        }
        assertTrue(upstream.isEmpty());
    }

    @Test
    void theSameSeedGivesTheSameFates() {
        relay = new UdpRelay(group.next(), null, null);
        RelayScript.Faults faults = new RelayScript.Faults(0.1, 0.2, 0.3, 0.4, 1_000);
        RelayScript one = new RelayScript(3, faults);
        RelayScript two = new RelayScript(3, faults);
        RelayScript three = new RelayScript(4, faults);
        List<RelayScript.Fate> a = new ArrayList<>();
        List<RelayScript.Fate> b = new ArrayList<>();
        List<RelayScript.Fate> c = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            a.add(one.next(100));
            b.add(two.next(100));
            c.add(three.next(100));
        }
        assertEquals(a, b);
        assertNotEquals(a, c);
        assertEquals(100, a.stream().filter(f -> f.copies() == 0).count(), 40);
    }
}
