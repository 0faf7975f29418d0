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

/** What clients see of the budget of connections, over sockets: 32 in all where 64 descriptors are told. */
class ConnectionBudgetOverSocketsTest extends ServerFixture {
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    private final List<Client> open = new ArrayList<>();

    @AfterEach
    void closeAll() throws IOException {
        for (Client client : open) {
            client.close();
        }
    }

    private Client client() throws IOException {
        Client client = new Client(at);
        open.add(client);
        return client;
    }

    private static boolean ends(String head) {
        return head.toLowerCase(Locale.ROOT).contains("connection: close");
    }

    // Clients that ask once and keep their connection: room gets dear.
    private void crowd() throws IOException {
        for (int i = 0; i < 60; i++) {
            assertTrue(client().send(READY).answer().startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void aCrowdThatKeepsItsConnectionsShutsNobodyOut() throws IOException, InterruptedException {
        start(Map.of(), 64);
        int told = 0;
        for (int i = 0; i < 300; i++) { // 9 times the limit, none of them closed by the clients
            Client once = client();
            String head = once.send(SAFE.replace("r1", "c" + i)).answerAfter(upstream);
            assertTrue(head.startsWith("HTTP/1.1 200"), i + ": " + head);
            told += ends(head) ? 1 : 0;
        }
        assertTrue(told > 100, "the ends are announced: " + told);
    }

    @Test
    void aFloodOfReadinessCallsLeavesRoomForRequests() throws IOException, InterruptedException {
        start(Map.of(), 64);
        for (int i = 0; i < 50; i++) {
            crowdOf(5);
            Client usual = client();
            assertTrue(usual.send(SAFE.replace("r1", "u" + i))
                    .answerAfter(upstream)
                    .startsWith("HTTP/1.1 200"));
        }
    }

    private void crowdOf(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            assertTrue(client().send(READY).answer().startsWith("HTTP/1.1 200"));
        }
    }

    /** The loop stands still with no room left while all that it keeps ask again, and others come anew. */
    @Test
    @Timeout(120)
    void behindAStandstillNoRequestOfAKeptConnectionIsCutOff() throws IOException, InterruptedException {
        start(Map.of(), 20);
        CountDownLatch goesOn = new CountDownLatch(1);
        List<Client> kept = fill(0);
        block(goesOn);
        kept.removeIf(ConnectionBudgetOverSocketsTest::hasEnded); // of a rest that was over before, on a slow machine
        assertFalse(kept.isEmpty(), "some are kept");
        for (int i = 0; i < 32; i++) {
            client().send(READY); // the machine accepts them
        }
        for (Client client : kept) {
            client.send(READY);
        }
        TimeUnit.MILLISECONDS.sleep(400); // the time itself is what has to pass
        goesOn.countDown();
        for (Client client : kept) {
            client.socket.setSoTimeout(20_000);
            String head = client.answer();
            assertTrue(head != null && head.startsWith("HTTP/1.1 200"), kept.size() + " kept: " + head);
        }
    }

    // As many as stay, and requests that are held: one comer more, and no room is left.
    private List<Client> fill(int tries) throws IOException, InterruptedException {
        List<Client> kept = new ArrayList<>();
        Client next = client();
        while (!ends(next.send(READY).answer())) {
            kept.add(next);
            next = client();
        }
        next.close();
        for (int i = 0; i < 3 && tries == 0; i++) {
            client().send(SAFE.replace("r1", "h" + i));
            upstream.next();
        }
        kept.removeIf(ConnectionBudgetOverSocketsTest::hasEnded);
        return kept.isEmpty() && tries < 20 ? fill(tries + 1) : kept;
    }

    private static boolean hasEnded(Client client) {
        try {
            client.socket.setSoTimeout(1);
            return client.in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false; // nothing came
        } catch (IOException e) {
            return true;
        }
    }

    /** What has been read is answered, also where its connection would end; the end is told with the last. */
    @Test
    void requestsSentAheadAreAnsweredBeforeTheirConnectionEnds() throws IOException, InterruptedException {
        start(Map.of(), 64);
        crowd();
        boolean ended = false;
        for (int i = 0; i < 20 && !ended; i++) {
            Client ahead = client();
            ahead.send(READY + SAFE.replace("r1", "a" + i) + READY);
            assertFalse(ends(ahead.answer()), "two more have come");
            assertFalse(ends(ahead.answerAfter(upstream)), "one more has come");
            ended = ends(ahead.answer());
        }
        assertTrue(ended, "and then the connection is too dear");
    }

    /** A request that crosses the end is not read: its client sees the end, and upstreams never see it. */
    @Test
    void aRequestThatCrossesTheEndIsNeitherReadNorDoesItSpoilTheAnswer() throws IOException, InterruptedException {
        start(Map.of(), 64);
        crowd();
        Client crossing = null;
        for (int i = 0; i < 20 && crossing == null; i++) {
            Client next = client();
            next.send(SAFE.replace("r1", "x" + i));
            ScriptedUpstream.Got got = upstream.next();
            got.answer(200, "", "whole");
            String head = next.answer();
            crossing = ends(head) ? next : null;
        }
        assertEquals("whole", new String(crossing.body));
        crossing.send(SAFE.replace("r1", "late"));
        assertNull(crossing.answer(), "the end of the connection, and no reset");
        assertTrue(upstream.isEmpty());
    }

    /** No connection left for the upstreams' side: an answer at once, and no blame on the upstream. */
    @Test
    void withNoRoomForAnUpstreamsConnectionTheRequestIsAnsweredAtOnce() throws IOException, InterruptedException {
        start(Map.of(), 8); // 4 in all: 1 for clients, 3 for upstreams at most
        List<Client> busy = new ArrayList<>();
        List<ScriptedUpstream.Got> held = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Client client = client().send(SAFE.replace("r1", "b" + i));
            busy.add(client);
            held.add(upstream.next());
        }
        onLoop(() -> {
            module.actions.probe("s1");
            module.actions.probe("s1");
            module.actions.probe("s1");
        });
        List<String> told = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            told.add(module.next());
        }
        assertTrue(told.contains("probed NOT_SENT -"), told.toString());
        for (int i = 0; i < 2; i++) {
            held.get(i).answer(200, "", "ok");
            assertEquals(200, busy.get(i).status());
        }
    }
}
