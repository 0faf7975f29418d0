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

/** Faults of the network path between a client and the server: migration, loss, duplication and corruption. */
class Http3NetworkPathTest extends Http3Fixture {
    private static final int MIGRATIONS = 3;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private UdpRelay relay;

    private Http3TestClient startBehindRelay(RelayScript.Faults faults) throws Exception {
        start();
        relay = new UdpRelay(group.next(), node.beside(), new RelayScript(7, faults));
        return client(OURS.getCertificatePath()[0], relay.open());
    }

    @AfterEach
    void closeRelay() {
        relay.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** By an independent client implementation that gives out spare connection ids as browsers do. */
    @Test
    void connectionMigrationProcessesEachRequestOnce() throws Exception {
        start();
        relay = new UdpRelay(group.next(), node.beside(), new RelayScript(7, RelayScript.Faults.NONE));
        URI uri = URI.create("https://127.0.0.1:" + relay.open().getPort() + "/api/k1");
        Http3Client client = (Http3Client) Http3Client.newBuilder()
                .disableCertificateCheck()
                .connectTimeout(Duration.ofSeconds(10))
                .build();
        for (int i = 0; i < MIGRATIONS; i++) {
            CompletableFuture<HttpResponse<String>> open = book(client, uri, "r" + i);
            ScriptedUpstream.Got forwarded = upstream.next();
            relay.rebind(); // the next request shows the new path
            CompletableFuture<HttpResponse<String>> next = book(client, uri, "n" + i);
            ScriptedUpstream.Got second = upstream.next();
            assertEquals("r" + i, forwarded.header("req-id"));
            assertEquals("n" + i, second.header("req-id"));
            forwarded.answer(200, "", "done");
            second.answer(200, "", "done");
            for (CompletableFuture<HttpResponse<String>> answer : List.of(open, next)) {
                HttpResponse<String> response = answer.get(20, TimeUnit.SECONDS);
                assertEquals("200 done", response.statusCode() + " " + response.body());
            }
        }
        assertTrue(upstream.isEmpty());
        assertEquals(MIGRATIONS, relay.counts()[1]);
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
    void interruptedPathDelaysTheResponseWithoutDuplicates() throws Exception {
        Http3TestClient client = startBehindRelay(RelayScript.Faults.NONE);
        Http3TestClient.Got response = client.book("r1");
        ScriptedUpstream.Got forwarded = upstream.next();
        relay.hole(UdpRelay.Hole.TO_CLIENT);
        forwarded.answer(200, "", "done");
        Http3TestClient.Got other = client.book("r2"); // still arrives, and is not answered to its client
        upstream.next().answer(200, "", "ok");
        assertTrue(!response.ended.isDone());
        relay.hole(UdpRelay.Hole.NONE);
        assertEquals("200 done", response.end());
        assertEquals("200 ok", other.end());
        assertTrue(upstream.isEmpty());
    }

    @Test
    void lossDuplicationReorderingAndCorruptionCauseNoDuplicates() throws Exception {
        Http3TestClient client = startBehindRelay(new RelayScript.Faults(0.05, 0.1, 0.2, 0.02, 3_000));
        List<Http3TestClient.Got> responses = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            responses.add(client.send(Http3TestClient.head("POST", "book", "r" + i), "seat".repeat(500), true));
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            ScriptedUpstream.Got forwarded = upstream.next();
            ids.add(forwarded.header("req-id"));
            assertEquals(2_000, forwarded.body().length);
            forwarded.answer(200, "", forwarded.header("req-id"));
        }
        assertEquals(60, ids.stream().distinct().count());
        for (int i = 0; i < 60; i++) {
            assertEquals("200 r" + i, responses.get(i).end());
            assertEquals(1, responses.get(i).heads);
        }
        assertTrue(upstream.isEmpty());
    }

    @Test
    void sameSeedGivesTheSameFaults() {
        relay = new UdpRelay(group.next(), null, null);
        RelayScript.Faults faults = new RelayScript.Faults(0.1, 0.2, 0.3, 0.4, 1_000);
        RelayScript first = new RelayScript(3, faults);
        RelayScript sameSeed = new RelayScript(3, faults);
        RelayScript otherSeed = new RelayScript(4, faults);
        List<RelayScript.Fate> faultsOfFirst = new ArrayList<>();
        List<RelayScript.Fate> faultsOfSameSeed = new ArrayList<>();
        List<RelayScript.Fate> faultsOfOtherSeed = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            faultsOfFirst.add(first.next(100));
            faultsOfSameSeed.add(sameSeed.next(100));
            faultsOfOtherSeed.add(otherSeed.next(100));
        }
        assertEquals(faultsOfFirst, faultsOfSameSeed);
        assertNotEquals(faultsOfFirst, faultsOfOtherSeed);
        assertEquals(100, faultsOfFirst.stream().filter(f -> f.copies() == 0).count(), 40);
    }
}
