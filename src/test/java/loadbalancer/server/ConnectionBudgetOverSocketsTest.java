package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What clients see of the connection budget, over sockets: 32 connections in all with a limit of 64 descriptors. */
class ConnectionBudgetOverSocketsTest extends ServerFixture {
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    private final List<Client> openClients = new ArrayList<>();

    @AfterEach
    void closeAll() throws IOException {
        for (Client client : openClients) {
            client.close();
        }
    }

    private Client client() throws IOException {
        Client client = new Client(at);
        openClients.add(client);
        return client;
    }

    private static boolean announcesClose(String head) {
        return head.toLowerCase(Locale.ROOT).contains("connection: close");
    }

    // Clients that send one request and keep their connection, which makes capacity expensive.
    private void openSingleRequestClients() throws IOException {
        openSingleRequestClients(60);
    }

    private void openSingleRequestClients(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            assertTrue(client().send(READY).answer().startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void clientsThatKeepTheirConnectionsLockNobodyOut() throws IOException, InterruptedException {
        start(Map.of(), 64);
        int announced = 0;
        for (int i = 0; i < 300; i++) { // 9 times the limit; the clients close none of them
            Client once = client();
            String head = once.send(SAFE.replace("r1", "c" + i)).answerAfter(upstream);
            assertTrue(head.startsWith("HTTP/1.1 200"), i + ": " + head);
            announced += announcesClose(head) ? 1 : 0;
        }
        assertTrue(announced > 100, "closes are announced: " + announced);
    }

    @Test
    void manyReadinessRequestsLeaveCapacityForOthers() throws IOException, InterruptedException {
        start(Map.of(), 64);
        for (int i = 0; i < 50; i++) {
            openSingleRequestClients(5);
            Client usual = client();
            assertTrue(usual.send(SAFE.replace("r1", "u" + i))
                    .answerAfter(upstream)
                    .startsWith("HTTP/1.1 200"));
        }
    }

    /** The event loop stalls at the limit, while all kept connections send a request and new clients connect. */
    @Test
    @Timeout(120)
    void requestOnAKeptConnectionIsAnsweredAfterAnEventLoopStall() throws IOException, InterruptedException {
        start(Map.of(), 20);
        CountDownLatch stallEnds = new CountDownLatch(1);
        List<Client> keptClients = fill(0);
        block(stallEnds);
        // Those whose idle timeout passed before, on a slow machine.
        keptClients.removeIf(ConnectionBudgetOverSocketsTest::isClosed);
        assertFalse(keptClients.isEmpty(), "some are kept");
        for (int i = 0; i < 32; i++) {
            client().send(READY); // accepted by the kernel
        }
        for (Client client : keptClients) {
            client.send(READY);
        }
        TimeUnit.MILLISECONDS.sleep(400); // the time itself is what has to pass
        stallEnds.countDown();
        for (Client client : keptClients) {
            client.socket.setSoTimeout(20_000);
            String head = client.answer();
            assertTrue(head != null && head.startsWith("HTTP/1.1 200"), keptClients.size() + " kept: " + head);
        }
    }

    // Opens as many connections as stay open, and three with pending requests: one more client reaches the limit.
    private List<Client> fill(int attempts) throws IOException, InterruptedException {
        List<Client> keptClients = new ArrayList<>();
        Client next = client();
        while (!announcesClose(next.send(READY).answer())) {
            keptClients.add(next);
            next = client();
        }
        next.close();
        for (int i = 0; i < 3 && attempts == 0; i++) {
            client().send(SAFE.replace("r1", "h" + i));
            upstream.next();
        }
        keptClients.removeIf(ConnectionBudgetOverSocketsTest::isClosed);
        return keptClients.isEmpty() && attempts < 20 ? fill(attempts + 1) : keptClients;
    }

    private static boolean isClosed(Client client) {
        try {
            client.socket.setSoTimeout(1);
            return client.in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false; // nothing was sent
        } catch (IOException e) {
            return true;
        }
    }

    /** All requests that were read are answered, and the close is announced with the last response. */
    @Test
    void pipelinedRequestsAreAnsweredBeforeTheirConnectionIsClosed() throws IOException, InterruptedException {
        start(Map.of(), 64);
        openSingleRequestClients();
        boolean closeAnnounced = false;
        for (int i = 0; i < 20 && !closeAnnounced; i++) {
            Client pipelining = client();
            pipelining.send(READY + SAFE.replace("r1", "a" + i) + READY);
            assertFalse(announcesClose(pipelining.answer()), "two more are pending");
            assertFalse(announcesClose(pipelining.answerAfter(upstream)), "one more is pending");
            closeAnnounced = announcesClose(pipelining.answer());
        }
        assertTrue(closeAnnounced, "with nothing pending the connection is too expensive");
    }

    /** A request that crosses an announced close is not read: its client sees the close, upstreams see nothing. */
    @Test
    void requestSentAfterTheLastResponseIsNotReadAndResetsNothing() throws IOException, InterruptedException {
        start(Map.of(), 64);
        openSingleRequestClients();
        Client crossing = null;
        for (int i = 0; i < 20 && crossing == null; i++) {
            Client next = client();
            next.send(SAFE.replace("r1", "x" + i));
            ScriptedUpstream.Got got = upstream.next();
            got.answer(200, "", "complete");
            String head = next.answer();
            crossing = announcesClose(head) ? next : null;
        }
        assertEquals("complete", new String(crossing.body));
        crossing.send(SAFE.replace("r1", "late"));
        assertNull(crossing.answer(), "end of stream, and no reset");
        assertTrue(upstream.isEmpty());
    }

    /** No connection is left for upstreams: the attempt ends at once, and does not count against the upstream. */
    @Test
    void requestWithoutCapacityForAnUpstreamConnectionFailsAtOnceAsNotSent() throws IOException, InterruptedException {
        start(Map.of(), 8); // 4 in all: 1 for clients, 3 for upstreams at most
        List<Client> busyClients = new ArrayList<>();
        List<ScriptedUpstream.Got> pending = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Client client = client().send(SAFE.replace("r1", "b" + i));
            busyClients.add(client);
            pending.add(upstream.next());
        }
        onLoop(() -> {
            module.actions.probe("s1");
            module.actions.probe("s1");
            module.actions.probe("s1");
        });
        List<String> probes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            probes.add(module.next());
        }
        assertTrue(probes.contains("probed NOT_SENT -"), probes.toString());
        for (int i = 0; i < 2; i++) {
            pending.get(i).answer(200, "", "ok");
            assertEquals(200, busyClients.get(i).status());
        }
    }
}
