package loadbalancer.deployed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A request whose only upstream has a full queue of connections: its connection comes up a second late. That of repeats
 * is {@link LateRepeatsTest}.
 */
@Timeout(120)
class LateConnectionsTest extends DeployedFixture {
    private static final int WORK_MILLIS = 30;

    private final List<Integer> toldMillis = Collections.synchronizedList(new ArrayList<>()); // by Req-Deadline-Ms
    private volatile long sentAtNanos;
    private final List<String> answers = Collections.synchronizedList(new ArrayList<>());

    LateConnectionsTest() throws IOException {}

    private static void handle(RawUpstream.Exchange exchange) throws IOException, InterruptedException {
        exchange.receive();
        TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
        exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    private static Thread start(Runnable client) {
        Thread thread = new Thread(client, "client");
        thread.setDaemon(true);
        thread.start();
        return thread;
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
        assertTrue(late.awaitConnections(1), "the connection did not come up");
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
}
