package loadbalancer.deployed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Keyed requests at two upstreams of a group, of which one has a full queue of connections, so that connections to it
 * come up a second late. Each round has a new late upstream, which counts the connections that it accepts: a round
 * without one shows nothing and fails. The failure guarded against: a keyed request ran at one upstream while its first
 * attempt waited for a connection, and that attempt was sent when the group had forgotten the key: it ran twice.
 */
@Timeout(120)
class LateRepeatsTest extends DeployedFixture {
    private static final int CELL = 3;
    private static final int WORK_MILLIS = 30;
    private static final int WARM_UP_REQUESTS = 30;
    private static final int CLIENTS = 3;
    private static final int RESET_AFTER_MILLIS = 300;
    private static final int ROUNDS = 3;
    private static final int TOLERANCE_MILLIS = 50; // of all limits of time
    private static final int ACCEPT_AFTER_MILLIS = 900; // before the system's second try, which comes after a second
    private static final int PATIENCE_MILLIS = 10_000;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final Map<String, String> answers = new ConcurrentHashMap<>(); // by request id
    private final Map<String, Long> answeredAtNanos = new ConcurrentHashMap<>();
    private RawUpstream prompt;
    private int longWorkMillis = 1_200; // longer than late connections need

    LateRepeatsTest() throws IOException {}

    /** A late upstream, and the requests that were sent while connections to it were awaited. */
    private record Round(RawUpstream late, List<String> ids, List<Thread> clients) {}

    private void handle(RawUpstream.Exchange exchange) throws IOException, InterruptedException {
        exchange.receive();
        TimeUnit.MILLISECONDS.sleep(exchange.id().startsWith("long") ? longWorkMillis : WORK_MILLIS);
        exchange.write(OK);
    }

    private void startWithPromptUpstream(int windowMillis, RawUpstream.Handler handler) throws Exception {
        keyTtlMillis = windowMillis;
        keyedDeadlineMillis = 2_500;
        keyedObjectiveMillis = 2_400;
        connectMillis = 1_500;
        prompt = open(new RawUpstream(handler));
        discovery.set("s0", prompt.target("s0", CELL, "in_service"));
        start();
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            send("warm" + i, 2);
        }
    }

    private String pay(String id, int bodyBytes) {
        return "POST /api/k1 HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: pay\r\nReq-Deadline-Ms: "
                + keyedDeadlineMillis + "\r\nIdempotency-Key: k" + id + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                + "p".repeat(bodyBytes);
    }

    private void send(String id, int bodyBytes) {
        try (RawClient client = new RawClient(balancer.address())) {
            int status =
                    client.send(pay(id, bodyBytes)).receive(PATIENCE_MILLIS).status();
            answeredAtNanos.put(id, System.nanoTime());
            answers.put(id, Integer.toString(status));
        } catch (IOException e) {
            answers.put(id, e.toString());
        }
    }

    private static Thread start(Runnable client) {
        Thread thread = new Thread(client, "client");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends requests while a new upstream accepts no connections; it accepts those that are late when this returns. */
    private Round sendBesideLateUpstream(int number, int bodyBytes) throws Exception {
        RawUpstream late = open(RawUpstream.late(this::handle));
        String name = "late" + number;
        discovery.set(name, late.target(name, CELL, "in_service"));
        TimeUnit.MILLISECONDS.sleep(300);
        Round round = new Round(late, new ArrayList<>(), new ArrayList<>());
        for (int i = 0; i < CLIENTS; i++) {
            String id = "long" + number + i;
            round.ids().add(id);
            round.clients().add(start(() -> send(id, bodyBytes)));
            TimeUnit.MILLISECONDS.sleep(5);
        }
        TimeUnit.MILLISECONDS.sleep(ACCEPT_AFTER_MILLIS);
        late.acceptLate();
        return round;
    }

    /** Waits for the responses and for the late connections. */
    private void finish(Round round) throws InterruptedException {
        for (Thread client : round.clients()) {
            client.join();
        }
        assertTrue(round.late().awaitConnections(1), () -> "no connection came up late: " + linesOf(round));
        TimeUnit.MILLISECONDS.sleep(300); // for the last of them
    }

    private String linesOf(Round round) {
        return round.ids().stream().map(balancer::linesOf).toList().toString();
    }

    // The balancer forgets the long requests over short ones, and hedges as early in the next round.
    private void end(int number, Round round) throws IOException {
        discovery.set("late" + number, round.late().target("late" + number, CELL, "terminated"));
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            send("between" + number + "-" + i, 2);
        }
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

    private void assertNoneRanTwice(Round round) {
        for (String id : round.ids()) {
            assertTrue(
                    !ranTwice(id, prompt, round.late()),
                    () -> id + " ran " + prompt.runTimes(id) + " and "
                            + round.late().runTimes(id) + ", " + balancer.linesOf(id));
        }
    }

    /** How many requests of the round ran at both upstreams. */
    private long repeats(Round round) {
        return round.ids().stream()
                .filter(id -> prompt.runs(id) > 0 && round.late().runs(id) > 0)
                .count();
    }

    // An attempt that was sent may time out, and its request may have run then: 502, never 503.
    private void assertAnswered(Round round) {
        for (String id : round.ids()) {
            assertTrue(answers.get(id).matches("200|502"), () -> id + " " + answers.get(id) + linesOf(round));
        }
    }

    /** The windows end before the connections come up, so that none of these may carry a repeat. */
    @ParameterizedTest
    @CsvSource({"200, 0", "300, 2", "500, 2", "500, 60000"})
    void aKeyedRequestIsNotSentAgainBehindItsWindow(int windowMillis, int bodyBytes) throws Exception {
        startWithPromptUpstream(windowMillis, this::handle);
        for (int number = 0; number < ROUNDS; number++) {
            Round round = sendBesideLateUpstream(number, bodyBytes);
            finish(round);
            assertNoneRanTwice(round);
            assertEquals(0, repeats(round), () -> linesOf(round));
            assertAnswered(round);
            end(number, round);
        }
    }

    /** The windows end about when the connections come up: some may carry a repeat, and none behind the window. */
    @ParameterizedTest
    @CsvSource({"700, 2", "900, 2", "1100, 2"})
    void aKeyedRequestIsNotSentAgainBehindAWindowThatEndsMeanwhile(int windowMillis, int bodyBytes) throws Exception {
        startWithPromptUpstream(windowMillis, this::handle);
        for (int number = 0; number < ROUNDS; number++) {
            Round round = sendBesideLateUpstream(number, bodyBytes);
            finish(round);
            assertNoneRanTwice(round);
            assertAnswered(round);
            end(number, round);
        }
    }

    /** The window is longer than the connections are late: each of them carries its request, which the group drops. */
    @ParameterizedTest
    @CsvSource({"2300, 2", "2300, 60000"})
    void aKeyedRequestIsSentAgainWithinItsWindow(int windowMillis, int bodyBytes) throws Exception {
        longWorkMillis = 1_700;
        startWithPromptUpstream(windowMillis, this::handle);
        for (int number = 0; number < ROUNDS; number++) {
            Round round = sendBesideLateUpstream(number, bodyBytes);
            finish(round);
            assertEquals(round.late().acceptTimes().size(), round.late().usedConnections(), () -> linesOf(round));
            assertTrue(repeats(round) > 0, () -> linesOf(round));
            assertNoneRanTwice(round);
            assertAnswered(round);
            end(number, round);
        }
    }

    /** A connection that comes up when its attempt may not be sent any more carries a later request. */
    @Test
    void aConnectionThatComesUpTooLateCarriesALaterRequest() throws Exception {
        startWithPromptUpstream(300, this::handle);
        Round round = sendBesideLateUpstream(0, 2);
        finish(round);
        int connections = round.late().acceptTimes().size();
        discovery.set("s0", prompt.target("s0", CELL, "terminated")); // the late upstream is left
        TimeUnit.MILLISECONDS.sleep(300);
        send("later", 2);
        assertEquals("200", answers.get("later"));
        assertEquals(1, round.late().usedConnections(), "the request was not sent over a late connection");
        assertEquals(connections, round.late().acceptTimes().size(), "a connection was made for it");
    }

    /**
     * The failure guarded against: the client waited for a late connection when its request could not be sent over it
     * any more, and no other attempt was left.
     */
    @Test
    void aRequestThatCanNotBeSentAgainIsAnsweredBeforeTheLateConnectionComesUp() throws Exception {
        startWithPromptUpstream(500, exchange -> {
            if (!exchange.id().startsWith("long")) {
                handle(exchange);
                return;
            }
            exchange.receive();
            TimeUnit.MILLISECONDS.sleep(RESET_AFTER_MILLIS);
            throw new IOException("closes without a response");
        });
        Round round = sendBesideLateUpstream(0, 2);
        finish(round);
        long firstAcceptNanos = round.late().acceptTimes().get(0);
        for (String id : round.ids()) {
            assertEquals("502", answers.get(id), () -> linesOf(round));
            assertTrue(answeredAtNanos.get(id) < firstAcceptNanos, () -> id + " waited: " + balancer.linesOf(id));
        }
        assertNoneRanTwice(round);
    }

    /**
     * The failure guarded against: an attempt was reset while another one waited for a late connection, and no further
     * one was tried although the group still dropped repeats and an upstream of it was there.
     */
    @Test
    void aRequestWhoseAttemptIsResetIsRetriedBesideTheOneThatWaits() throws Exception {
        startWithPromptUpstream(1_000, exchange -> {
            exchange.receive();
            boolean first = exchange.upstream().runs(exchange.id()) == 1;
            TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
            if (exchange.id().startsWith("long") && first) {
                TimeUnit.MILLISECONDS.sleep(RESET_AFTER_MILLIS);
                throw new IOException("closes without a response");
            }
            exchange.write(OK);
        });
        Round round = sendBesideLateUpstream(0, 2);
        finish(round);
        long firstAcceptNanos = round.late().acceptTimes().get(0);
        for (String id : round.ids()) {
            assertEquals("200", answers.get(id), () -> linesOf(round));
            assertEquals(2, prompt.runs(id), () -> "the first attempt was not reset: " + linesOf(round));
            assertTrue(answeredAtNanos.get(id) < firstAcceptNanos, () -> id + " waited: " + balancer.linesOf(id));
        }
        assertNoneRanTwice(round);
    }

    /**
     * A process that is told to stop while attempts wait for late connections serves their requests, and does not wait
     * for the connections.
     */
    @ParameterizedTest
    @CsvSource({"300", "2300"})
    void aProcessThatStopsMeanwhileAnswersOnceAndRunsNothingTwice(int windowMillis) throws Exception {
        startWithPromptUpstream(windowMillis, this::handle);
        Thread stop = start(() -> {
            try {
                assertTrue(balancer.awaitLog("late0", PATIENCE_MILLIS));
                TimeUnit.MILLISECONDS.sleep(300);
                balancer.terminate();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Round round = sendBesideLateUpstream(0, 2);
        finish(round);
        stop.join();
        assertEquals(0, balancer.awaitEnd(PATIENCE_MILLIS), balancer.events());
        assertNoneRanTwice(round);
        for (String id : round.ids()) {
            assertEquals("200", answers.get(id), () -> linesOf(round) + balancer.events());
        }
    }

    /** The failure guarded against: the second attempt of a long upload was sent without its body, and hung. */
    @ParameterizedTest
    @CsvSource({"70000", "100000"})
    void aLongUploadThatIsHedgedIsSentOnce(int bodyBytes) throws Exception {
        startWithPromptUpstream(2_000, this::handle);
        Round round = sendBesideLateUpstream(0, bodyBytes);
        finish(round);
        assertTrue(balancer.log().stream().noneMatch(line -> line.contains("already has a subscriber")));
        for (String id : round.ids()) {
            assertEquals(1, prompt.runs(id) + round.late().runs(id), () -> id + " " + linesOf(round));
        }
    }
}
