package loadbalancer.deployed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Connections to an upstream that come up a second late. The failure guarded against: a keyed request ran at a second
 * upstream while its first attempt waited for a connection, and that attempt was sent when its group had forgotten the
 * key: it ran twice.
 */
@Timeout(120)
class LateConnectionsTest extends DeployedFixture {
    private static final int CELL = 3;
    private static final int WORK_MILLIS = 30;
    private static final int LONG_WORK_MILLIS = 1_200; // longer than the late connections need
    private static final int WARM_UP_REQUESTS = 30;
    private static final int CLIENTS = 3;
    private static final int ROUNDS = 3;
    private static final int TOLERANCE_MILLIS = 50; // of all limits of time

    private final List<Integer> toldMillis = Collections.synchronizedList(new ArrayList<>()); // by Req-Deadline-Ms
    private volatile long sentAtNanos;
    private final List<String> answers = Collections.synchronizedList(new ArrayList<>());

    LateConnectionsTest() throws IOException {}

    private static void handle(RawUpstream.Exchange exchange) throws IOException, InterruptedException {
        exchange.receive();
        TimeUnit.MILLISECONDS.sleep(exchange.id().startsWith("long") ? LONG_WORK_MILLIS : WORK_MILLIS);
        exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    private String pay(String id, int bodyBytes) {
        return "POST /api/k1 HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: pay\r\nReq-Deadline-Ms: "
                + keyedDeadlineMillis + "\r\nIdempotency-Key: k" + id + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                + "p".repeat(bodyBytes);
    }

    private void send(String id, int bodyBytes) {
        try (RawClient client = new RawClient(balancer.address())) {
            answers.add(
                    id + " " + client.send(pay(id, bodyBytes)).receive(10_000).status());
        } catch (IOException e) {
            answers.add(id + " " + e);
        }
    }

    private static Thread start(Runnable client) {
        Thread thread = new Thread(client, "client");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // Within the window, and within the tolerance behind it, the group drops a repeat.
    private boolean ranTwice(String id, RawUpstream... group) {
        List<Long> times = Stream.of(group)
                .flatMap(upstream -> upstream.runTimes(id).stream())
                .sorted()
                .toList();
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(keyTtlMillis + TOLERANCE_MILLIS);
        return times.size() > 1 && times.get(times.size() - 1) - times.get(0) > windowNanos;
    }

    /** Starts a balancer whose only upstream has a full queue of connections, and sends it one request. */
    private RawUpstream sendOverLateConnection(String kind, String id, int timeMillis, int bodyBytes) throws Exception {
        connectMillis = 1_500;
        deadlineMillis = 2_500;
        keyedObjectiveMillis = 1_500;
        keyedDeadlineMillis = 2_500;
        RawUpstream late = open(RawUpstream.late(exchange -> {
            toldMillis.add(Integer.parseInt(
                    exchange.head().split("(?i)req-deadline-ms: ")[1].split("\r\n")[0]));
            handle(exchange);
        }));
        start(late);
        Thread client = start(() -> {
            try (RawClient connection = new RawClient(balancer.address())) {
                String head = "POST /api/k1 HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                        + (kind.equals("pay") ? "\r\nIdempotency-Key: k" : "") + "\r\nReq-Deadline-Ms: " + timeMillis
                        + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
                sentAtNanos = System.nanoTime();
                connection.send(head + "p".repeat(bodyBytes));
                answers.add(id + " " + connection.receive(10_000).status());
            } catch (IOException e) {
                answers.add(id + " " + e);
            }
        });
        TimeUnit.MILLISECONDS.sleep(900);
        late.acceptLate();
        client.join();
        TimeUnit.MILLISECONDS.sleep(200);
        return late;
    }

    /**
     * The failure guarded against: a long upload whose connection came up late was run behind its time. The time of an
     * upload counts from when its last byte came, not from when an upstream took it.
     */
    @ParameterizedTest
    @CsvSource({"100000, 700", "100000, 1000", "100000, 1030", "300000, 1000", "1000, 1000"})
    void anUploadIsNotRunBehindItsTime(int bodyBytes, int timeMillis) throws Exception {
        RawUpstream late = sendOverLateConnection("book", "upload", timeMillis, bodyBytes);
        for (long runAtNanos : late.runTimes("upload")) {
            long afterMillis = TimeUnit.NANOSECONDS.toMillis(runAtNanos - sentAtNanos);
            assertTrue(afterMillis <= timeMillis, "run after " + afterMillis + " ms: " + balancer.linesOf("upload"));
        }
        assertEquals(1, answers.size());
        assertTrue(answers.get(0).matches("upload (200|502|503)"), answers.toString());
    }

    /** The failure guarded against: an upstream was told the time that was left when it was chosen, a second before. */
    @ParameterizedTest
    @CsvSource({"1500, 2", "2500, 2", "2000, 60000"})
    void anUpstreamIsToldTheTimeThatIsLeftWhenTheRequestIsSent(int timeMillis, int bodyBytes) throws Exception {
        RawUpstream late = sendOverLateConnection("pay", "told", timeMillis, bodyBytes);
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(late.runTimes("told").get(0) - sentAtNanos);
        long slackMillis = 150; // that the operators allow
        assertTrue(
                toldMillis.get(0) <= timeMillis - elapsedMillis + slackMillis,
                "told " + toldMillis + " after " + elapsedMillis + " ms");
    }

    /** The failure guarded against: the second attempt of a long upload was sent without its body, and hung. */
    @ParameterizedTest
    @CsvSource({"70000", "100000"})
    void aLongUploadThatIsHedgedIsSentOnce(int bodyBytes) throws Exception {
        keyedObjectiveMillis = 1_500;
        keyedDeadlineMillis = 2_500;
        keyTtlMillis = 2_000;
        connectMillis = 1_500;
        RawUpstream prompt = open(new RawUpstream(LateConnectionsTest::handle));
        discovery.set("s0", prompt.target("s0", CELL, "in_service"));
        start();
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            send("warm" + i, 2);
        }
        RawUpstream late = open(RawUpstream.late(LateConnectionsTest::handle));
        discovery.set("late", late.target("late", CELL, "in_service"));
        TimeUnit.MILLISECONDS.sleep(300);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "long" + i;
            clients.add(start(() -> send(id, bodyBytes)));
            TimeUnit.MILLISECONDS.sleep(5);
        }
        TimeUnit.MILLISECONDS.sleep(900);
        late.acceptLate();
        for (Thread client : clients) {
            client.join();
        }
        assertTrue(balancer.log().stream().noneMatch(line -> line.contains("already has a subscriber")));
        for (int i = 0; i < CLIENTS; i++) {
            assertTrue(prompt.runs("long" + i) + late.runs("long" + i) <= 1, answers.toString());
        }
    }

    @ParameterizedTest
    @CsvSource({"200, 0", "300, 2", "500, 2", "500, 60000", "700, 2"})
    void aKeyedRequestIsNotSentAgainBehindItsWindow(int windowMillis, int bodyBytes) throws Exception {
        keyTtlMillis = windowMillis;
        keyedObjectiveMillis = 1_500;
        keyedDeadlineMillis = 2_500;
        connectMillis = 1_500;
        RawUpstream prompt = open(new RawUpstream(LateConnectionsTest::handle));
        discovery.set("s0", prompt.target("s0", CELL, "in_service"));
        start();
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            send("warm" + i, 2);
        }
        int lateRuns = 0;
        for (int round = 0; round < ROUNDS; round++) {
            RawUpstream late = open(RawUpstream.late(LateConnectionsTest::handle));
            discovery.set("late" + round, late.target("late" + round, CELL, "in_service"));
            TimeUnit.MILLISECONDS.sleep(300);
            List<Thread> clients = new ArrayList<>();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String id = "long" + round + i;
                ids.add(id);
                clients.add(start(() -> send(id, bodyBytes)));
                TimeUnit.MILLISECONDS.sleep(5);
            }
            TimeUnit.MILLISECONDS.sleep(900);
            late.acceptLate();
            for (Thread client : clients) {
                client.join();
            }
            TimeUnit.MILLISECONDS.sleep(200);
            for (String id : ids) {
                assertTrue(
                        !ranTwice(id, prompt, late),
                        () -> id + " ran " + prompt.runTimes(id) + " and " + late.runTimes(id) + ", "
                                + balancer.linesOf(id));
                lateRuns += balancer.linesOf(id).stream().anyMatch(line -> line.contains("late")) ? 1 : 0;
            }
            discovery.set("late" + round, late.target("late" + round, CELL, "terminated"));
        }
        assertTrue(lateRuns > 0, "no attempt waited for a late connection: " + answers);
        // An attempt that was sent late may time out, and its request may have run then: 502, never 503.
        assertEquals(
                List.of(),
                answers.stream()
                        .filter(answer -> !answer.endsWith(" 200") && !answer.endsWith(" 502"))
                        .map(answer -> answer + ": " + balancer.linesOf(answer.split(" ")[0]))
                        .toList());
    }
}
