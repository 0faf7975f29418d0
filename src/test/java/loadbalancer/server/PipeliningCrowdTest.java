package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.MessageMemory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Many clients that send many requests at once. The failure guarded against: what had been read of them and had not
 * been decoded used up the direct memory, for which the event loop waits, and their heads the heap; nobody was
 * answered.
 */
@Timeout(60)
class PipeliningCrowdTest extends ServerFixture {
    private static final int HEAD_BYTES = 7_000;
    private static final long MEMORY_BYTES = 600_000;
    private static final long LARGE_MEMORY_BYTES = 4 << 20;

    private static String request(String id) {
        return request(id, "Cookie: " + "c".repeat(HEAD_BYTES) + "\r\n");
    }

    private static String request(String id, String fields) {
        return "POST /api/k1 HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: book\r\nReq-Deadline-Ms: 20000\r\n"
                + fields + "Content-Length: 2\r\n\r\nok";
    }

    private static String requests(String name, int count) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(request(name + "-" + i));
        }
        return requests.toString();
    }

    private List<Client> crowd(int clients, int requests) throws IOException {
        List<Client> crowd = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            Client client = new Client(at);
            crowd.add(client);
            Thread sender = new Thread(() -> {
                try {
                    client.send(requests("crowd" + crowd.indexOf(client), requests));
                } catch (IOException e) {
                    Thread.currentThread().interrupt(); // the test has ended
                }
            });
            sender.setDaemon(true);
            sender.start();
        }
        return crowd;
    }

    private Thread answerAll() {
        Thread answering = new Thread(() -> {
            try {
                while (true) {
                    upstream.next().answer(200, "", "ok");
                }
            } catch (InterruptedException | IOException e) {
                Thread.currentThread().interrupt(); // the test has ended
            }
        });
        answering.setDaemon(true);
        answering.start();
        return answering;
    }

    private static long directBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }

    @Test
    void inputThatWaitsTakesNoDirectMemory() throws Exception {
        start();
        module.server = null; // no request is answered
        long before = directBytes();
        List<Client> crowd = crowd(60, 18);
        for (int i = 0; i < crowd.size(); i++) {
            assertTrue(module.requests.poll(20, TimeUnit.SECONDS) != null);
        }
        TimeUnit.MILLISECONDS.sleep(500); // the rest of their input is read meanwhile
        long taken = directBytes() - before;
        assertTrue(taken < 1 << 20, "direct memory taken: " + taken);
        for (Client client : crowd) {
            client.close();
        }
    }

    /** Each request gets its answer, in order; what can't be held is rejected and not forwarded. */
    @Test
    void everyRequestOfACrowdIsAnsweredWithinTheMemory() throws Exception {
        memory = new MessageMemory(MEMORY_BYTES);
        int clients = 40;
        int requests = 14;
        start();
        Thread answering = answerAll();
        List<Client> crowd = crowd(clients, requests);
        long slowestMillis = 0;
        try (Client sound = new Client(at)) {
            for (int i = 0; i < 20; i++) {
                long sentAt = System.nanoTime();
                assertEquals(200, sound.send(request("sound-" + i, "")).status());
                slowestMillis = Math.max(slowestMillis, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
            }
        }
        assertTrue(slowestMillis < 5_000, "a client with one request at a time waited for ms: " + slowestMillis);
        int served = 0;
        int rejected = 0;
        for (Client client : crowd) {
            for (int i = 0; i < requests; i++) {
                int status = client.status();
                served += status == 200 ? 1 : 0;
                rejected += status == 503 ? 1 : 0;
            }
            client.close();
        }
        assertEquals(clients * requests, served + rejected);
        assertTrue(served >= clients, "served: " + served);
        assertEquals(served + 20, module.requests.size(), "what is rejected for want of memory is not forwarded");
        // Up to its minimum each connection may hold input, a decoded head and a response.
        long maxBytes = MEMORY_BYTES + clients * 2L * MemoryBudget.MIN_ACCOUNT_BYTES;
        assertTrue(
                memory.budget().peakBytes() < maxBytes,
                "peak: " + memory.budget().peakBytes());
        answering.interrupt();
    }

    /** Reading goes on where memory is short: the close would not be noticed otherwise. */
    @Test
    void requestsOfAClientThatLeavesAreNotForwardedWhereMemoryIsShort() throws Exception {
        memory = new MessageMemory(MEMORY_BYTES);
        start();
        onLoop(() -> memory.budget().open(MemoryBudget.Holder.CLIENT).hold(MEMORY_BYTES));
        Client client = new Client(at).send(requests("gone", 14));
        ScriptedUpstream.Got first = upstream.next();
        client.close();
        assertEquals("disconnected", module.next());
        try {
            first.answer(200, "", "ok");
        } catch (IOException e) {
            assertTrue(first.closedByPeer()); // the attempt has been cancelled
        }
        TimeUnit.MILLISECONDS.sleep(300);
        assertEquals(1, module.requests.size());
    }

    /** Many short fields take many times their length of heap once they are decoded. */
    @Test
    void aHeadThatTakesTooMuchMemoryIsRefusedWhereMemoryIsShort() throws Exception {
        memory = new MessageMemory(LARGE_MEMORY_BYTES);
        start();
        try (Client client = new Client(at).send(request("r", "a:b\r\n".repeat(1_400)))) {
            assertEquals(431, client.status(), "so many fields are never accepted");
            assertNull(client.answer());
        }
        String head = request("r", "a:b\r\n".repeat(120));
        try (Client client = new Client(at).send(head)) {
            assertTrue(client.answerAfter(upstream).startsWith("HTTP/1.1 200"), "served where there is memory");
        }
        onLoop(() -> memory.budget().open(MemoryBudget.Holder.CLIENT).hold(LARGE_MEMORY_BYTES));
        try (Client client = new Client(at).send(head.replace("Req-Id: r", "Req-Id: short"))) {
            assertEquals(503, client.status());
            assertNull(client.answer());
        }
        try (Client client = new Client(at).send(request("usual"))) {
            assertTrue(client.answerAfter(upstream).startsWith("HTTP/1.1 200"), "a usual head is always held");
        }
    }

    /** Guards against memory that stays counted: the budget would shrink with each connection, until nothing fits. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void allMemoryIsReleasedHoweverAConnectionEnds(boolean reset) throws Exception {
        start();
        for (int i = 0; i < 10; i++) {
            Client client =
                    new Client(at).send(requests("c" + i, 3) + request("half").substring(0, 5_000));
            ScriptedUpstream.Got got = upstream.next();
            if (reset) {
                client.socket.setSoLinger(true, 0);
            }
            if (i % 2 == 0) {
                got.answer(200, "", new byte[60_000]);
            }
            client.close();
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (memory.budget().heldBytes() > 0 && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(0, memory.budget().heldBytes());
    }

    /** The close follows an error within the handling of a read, and what was read is left undecoded. */
    @Test
    void memoryIsReleasedAfterACloseWithinARead() throws Exception {
        start();
        for (int i = 0; i < 5; i++) {
            try (Client client = new Client(at)) {
                client.send(request("bad", "Content-Length: 7\r\n") + requests("behind", 4));
                assertEquals(400, client.status());
                client.socket.getOutputStream().write(new byte[200_000]); // more than is drained after an error
            } catch (IOException e) {
                continue; // reset, as too much came behind the error
            }
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (memory.budget().heldBytes() > 0 && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(0, memory.budget().heldBytes());
    }

    /** What a client has sent ahead, and the balancer has read, is answered before a shutdown ends the connection. */
    @Test
    void pipelinedRequestsThatHaveBeenReadAreAnsweredAtAShutdown() throws Exception {
        start();
        try (Client client = new Client(at).send(requests("p", 3))) {
            ScriptedUpstream.Got first = upstream.next();
            Thread stopping = new Thread(() -> node.stop());
            stopping.start();
            TimeUnit.MILLISECONDS.sleep(100);
            first.answer(200, "", "ok");
            assertEquals(200, client.status());
            for (int i = 1; i < 3; i++) {
                assertTrue(client.answerAfter(upstream).startsWith("HTTP/1.1 200"), "request " + i);
            }
            assertNull(client.answer());
            stopping.join(TimeUnit.SECONDS.toMillis(20));
        }
    }

    /**
     * The failure guarded against: a response that was given while the requests behind it were being decoded ended the
     * connection, and those got none.
     */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "7, 0", "15, 0", "1, 20", "7, 20", "15, 60"})
    void requestsBehindOneThatIsAnsweredAtOnceAreAnsweredAtAShutdown(int requests, int bytesLater) throws Exception {
        start();
        Thread stopping = new Thread(() -> node.stop());
        stopping.start();
        TimeUnit.MILLISECONDS.sleep(100);
        StringBuilder batch = new StringBuilder("GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n");
        for (int i = 0; i < requests; i++) {
            batch.append(request("p-" + i, ""));
        }
        String sent = batch.toString();
        try (Client client = new Client(at).send(sent.substring(0, sent.length() - bytesLater))) {
            assertEquals(503, client.status());
            for (int i = 0; i < requests; i++) {
                if (i == requests - 1) {
                    client.send(sent.substring(sent.length() - bytesLater));
                }
                assertTrue(client.answerAfter(upstream).startsWith("HTTP/1.1 200"), "request " + i);
            }
            assertNull(client.answer());
        }
        stopping.join(TimeUnit.SECONDS.toMillis(20));
    }

    /** A client that sends for ever more requests that are answered at once does not keep the process. */
    @Test
    @Timeout(20)
    void aClientThatPipelinesForEverDoesNotKeepTheProcess() throws Exception {
        start();
        try (Client client = new Client(at)) {
            Thread sending = new Thread(() -> {
                try {
                    while (true) {
                        client.send("GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n".repeat(1_000));
                    }
                } catch (IOException e) {
                    Thread.currentThread().interrupt(); // the connection has ended
                }
            });
            Thread reading = new Thread(() -> {
                try {
                    client.in.transferTo(java.io.OutputStream.nullOutputStream());
                } catch (IOException e) {
                    Thread.currentThread().interrupt(); // the connection has ended
                }
            });
            sending.start();
            reading.start();
            TimeUnit.MILLISECONDS.sleep(300);
            Thread stopping = new Thread(() -> node.stop());
            stopping.start();
            stopping.join(TimeUnit.SECONDS.toMillis(10));
            assertTrue(!stopping.isAlive(), "the process does not end");
        }
    }

    /** The failure guarded against: the end of the connection lay behind more than was read, and was not noticed. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestIsNotForwardedWhoseClientHasLeftBehindMuchInput(boolean reset) throws Exception {
        start();
        try (Client first = new Client(at).send(request("first", ""))) {
            assertTrue(first.answerAfter(upstream).startsWith("HTTP/1.1 200"));
        }
        awaitRested("s1");
        CountDownLatch goesOn = new CountDownLatch(1);
        block(goesOn);
        Client leaving =
                new Client(at).send(request("left", "") + "GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n".repeat(10_000));
        if (reset) {
            leaving.socket.setSoLinger(true, 0);
        }
        leaving.close();
        goesOn.countDown();
        TimeUnit.MILLISECONDS.sleep(500);
        assertTrue(upstream.isEmpty(), "sent on behind its client's close");
    }
}
