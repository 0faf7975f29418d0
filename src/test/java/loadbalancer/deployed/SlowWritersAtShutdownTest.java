package loadbalancer.deployed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * SIGTERM while clients write their requests slowly. The failure guarded against: requests were forwarded in the last
 * 20 ms of a process, ran, and got no response, and others were cut off although the process had time to serve them.
 */
@Timeout(120)
class SlowWritersAtShutdownTest extends DeployedFixture {
    /** How the end of a request is told, and what of it is written slowly. */
    private enum Framing {
        HEAD,
        LENGTH,
        CHUNKED
    }

    private static final int KILL_MILLIS = 700; // behind SIGTERM and the longest deadline, at the earliest
    private static final int LAST_BEGIN_MILLIS = 350; // behind SIGTERM: new connections go on coming for so long
    private static final int MAX_WRITING_MILLIS = 1_900;
    private static final int PIECES = 15;
    private static final int WORK_MILLIS = 30; // of the upstream: longer than the last moments of a process
    private static final int GAP_MILLIS =
            40; // between the last bytes of two clients: a process that waits for none ends in between
    private static final int BODY_BYTES = 30;

    private final List<String> faults = Collections.synchronizedList(new ArrayList<>());
    private RawUpstream upstream;

    SlowWritersAtShutdownTest() throws IOException {}

    private static String request(Framing framing, String id, int deadlineMillis) {
        String head = bookHead(id, deadlineMillis);
        return switch (framing) {
            case HEAD -> head + "X-Fill: " + "f".repeat(60) + "\r\nContent-Length: 0\r\n\r\n";
            case LENGTH -> head + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "b".repeat(BODY_BYTES);
            case CHUNKED -> head + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nc\r\n".repeat(BODY_BYTES) + "0\r\n\r\n";
        };
    }

    // What is written at once, up to there, before the rest follows piece by piece.
    private static int slowFrom(Framing framing, String request) {
        return framing == Framing.HEAD ? 0 : request.indexOf("\r\n\r\n") + 4;
    }

    private static void sleepUntil(long atNanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, atNanos - System.nanoTime()));
    }

    /** Writes a request whose last byte leaves {@code endMillis} behind SIGTERM, and reads the response. */
    private void write(Framing framing, int endMillis, long stopAtNanos) {
        String id = framing + "-" + endMillis;
        String request = request(framing, id, deadlineMillis);
        int slowFrom = slowFrom(framing, request);
        long beginMillis = Math.min(endMillis - PIECES, LAST_BEGIN_MILLIS);
        beginMillis = Math.max(beginMillis, endMillis - MAX_WRITING_MILLIS);
        String end;
        boolean written = false;
        try {
            sleepUntil(stopAtNanos + TimeUnit.MILLISECONDS.toNanos(beginMillis));
            try (RawClient client = new RawClient(balancer.address())) {
                client.send(request.substring(0, slowFrom));
                for (int piece = 0;
                        piece < PIECES && client.socket().getInputStream().available() == 0;
                        piece++) {
                    sleepUntil(stopAtNanos
                            + TimeUnit.MILLISECONDS.toNanos(
                                    beginMillis + (endMillis - beginMillis) * (piece + 1) / PIECES));
                    int rest = request.length() - slowFrom;
                    client.send(request.substring(
                            slowFrom + rest * piece / PIECES, slowFrom + rest * (piece + 1) / PIECES));
                    written = piece == PIECES - 1;
                }
                end = Integer.toString(client.receive(5_000).status());
            }
        } catch (IOException e) {
            end = e.toString();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            end = e.toString();
        }
        judge(id, endMillis, written, end);
    }

    // Until 0.7 s before the kill at the least, a request is served; later it may be rejected, but has not run then.
    private void judge(String id, int endMillis, boolean written, String end) {
        boolean mustBeServed = endMillis <= deadlineMillis;
        boolean served = end.equals("200");
        boolean refused = end.equals("503") && upstream.runs(id) == 0;
        if (!served && (mustBeServed || !refused)) {
            faults.add(id + (written ? " written whole: " : " written in part: ") + end + ", runs: " + upstream.runs(id)
                    + ", " + balancer.linesOf(id));
        }
    }

    /** Sends a byte of a request from time to time, until the connection ends. */
    private void dripForever(Framing framing) {
        String request = request(framing, "drip-" + framing, deadlineMillis);
        int slowFrom = framing == Framing.HEAD ? request.indexOf("fff") : slowFrom(framing, request);
        try (RawClient client = new RawClient(balancer.address())) {
            client.send(request.substring(0, slowFrom));
            while (true) {
                client.send(framing == Framing.CHUNKED ? "1\r\nd\r\n" : framing == Framing.HEAD ? "f" : "");
                TimeUnit.MILLISECONDS.sleep(50);
            }
        } catch (IOException e) {
            return; // the balancer has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread start(Runnable client) {
        Thread thread = new Thread(null, client, "slow-writer", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @ParameterizedTest
    @CsvSource({"500, HEAD", "500, LENGTH", "500, CHUNKED", "1200, HEAD", "2500, HEAD", "2500, LENGTH", "2500, CHUNKED"
    })
    void requestsThatAreWrittenSlowlyAreServedOrRefused(int longestDeadlineMillis, Framing framing) throws Exception {
        deadlineMillis = longestDeadlineMillis;
        upstream = open(new RawUpstream(exchange -> {
            exchange.receive();
            TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
            exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }));
        start(upstream);
        int lastEndMillis = Math.min(LAST_BEGIN_MILLIS + MAX_WRITING_MILLIS, deadlineMillis + KILL_MILLIS);
        long stopAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WRITING_MILLIS);
        List<Thread> clients = new ArrayList<>();
        for (int endMillis = -100; endMillis < lastEndMillis; endMillis += GAP_MILLIS) {
            int clientEndMillis = endMillis;
            clients.add(start(() -> write(framing, clientEndMillis, stopAtNanos)));
        }
        sleepUntil(stopAtNanos);
        balancer.terminate();
        start(() -> dripForever(framing));
        int code = balancer.awaitEnd(deadlineMillis + KILL_MILLIS);
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), faults, "exit code " + code + ", " + balancer.events());
        assertEquals(0, code, balancer.events()); // -1: it has not ended by the kill
    }
}
