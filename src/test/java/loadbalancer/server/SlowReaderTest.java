package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Clients that pause for seconds within a response and read on. The failure guarded against: a response counted as sent
 * when it had been passed to the network library, and what had not been written to the socket was dropped with the
 * connection.
 */
@Timeout(90)
class SlowReaderTest extends ServerFixture {
    private static final int ANSWER_BYTES = 60_000; // buffered, not streamed
    private static final int LENGTHS = 24;
    private static final int SHORTER_LENGTHS = 16; // than what the socket seems to take
    private static final int LENGTH_STEP_BYTES = 30_000;

    /** What ends the connection. */
    private enum End {
        /** The client has asked for it. */
        CONNECTION_CLOSE,
        /** The process is stopped. */
        SHUTDOWN
    }

    private static String request(int number, String fields) {
        return SAFE.replace("r1", "r" + number).replace("Host:", fields + "Host:");
    }

    /** Sends requests until the balancer holds back, since no response is read; returns how many. */
    private int fill(Client client) throws IOException, InterruptedException {
        for (int requests = 1; ; requests++) {
            client.send(request(requests, ""));
            if (module.requests.poll(1, TimeUnit.SECONDS) == null) {
                return requests; // the last one waits
            }
            upstream.next().answer(200, "", new byte[ANSWER_BYTES]);
            assertEquals("OK closed", module.next());
        }
    }

    /** Longer than the 5 s after which such a client was cut off. */
    @Test
    void aClientThatReadsOnAfterSecondsGetsAllOfItsResponses() throws Exception {
        start();
        try (Client client = new Client(at)) {
            int requests = fill(client);
            TimeUnit.MILLISECONDS.sleep(6_500);
            for (int i = 1; i < requests; i++) {
                assertEquals(200, client.status(), "response " + i + " of " + requests);
                assertEquals(ANSWER_BYTES, client.body.length);
            }
            assertEquals(200, Integer.parseInt(client.answerAfter(upstream).split(" ")[1]));
        }
    }

    /** Of several lengths some end where the socket takes no more bytes, whatever the kernel's buffers are. */
    @ParameterizedTest
    @EnumSource
    void theEndOfALongResponseIsSentHoweverTheConnectionEnds(End end) throws Exception {
        start();
        int socketBytes;
        try (Client client = new Client(at)) {
            socketBytes = (fill(client) - 2) * ANSWER_BYTES;
        }
        module.events.clear();
        List<Client> clients = new ArrayList<>();
        List<Integer> lengths = new ArrayList<>();
        for (int i = 0; i < LENGTHS; i++) {
            int length = socketBytes + (i - SHORTER_LENGTHS) * LENGTH_STEP_BYTES;
            lengths.add(length);
            Client client = new Client(at)
                    .send(request(10_000 + i, end == End.CONNECTION_CLOSE ? "Connection: close\r\n" : ""));
            clients.add(client);
            answerAside(upstream.next(), length);
            assertTrue(ScriptedUpstream.head(client.in).startsWith("HTTP/1.1 200"));
        }
        Thread stopping = new Thread(() -> node.stop());
        if (end == End.SHUTDOWN) {
            stopping.start();
        }
        TimeUnit.MILLISECONDS.sleep(4_000);
        for (int i = 0; i < LENGTHS; i++) {
            assertEquals(lengths.get(i), readUpTo(clients.get(i), lengths.get(i)), "response " + i);
            clients.get(i).close();
        }
        stopping.join(TimeUnit.SECONDS.toMillis(20));
    }

    private static void answerAside(ScriptedUpstream.Got got, int length) throws InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        Thread answering = new Thread(() -> {
            started.countDown();
            try {
                got.raw("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
                byte[] piece = new byte[LENGTH_STEP_BYTES];
                for (int written = 0; written < length; written += piece.length) {
                    got.socket().getOutputStream().write(piece, 0, Math.min(piece.length, length - written));
                }
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the client's side fails the test
            }
        });
        answering.setDaemon(true);
        answering.start();
        started.await();
    }

    private static int readUpTo(Client client, int length) {
        int count = 0;
        byte[] buffer = new byte[64 << 10];
        try {
            while (count < length) {
                int read = client.in.read(buffer, 0, Math.min(buffer.length, length - count));
                if (read < 0) {
                    return count;
                }
                count += read;
            }
        } catch (IOException e) {
            return count; // the connection has been reset
        }
        return count;
    }
}
