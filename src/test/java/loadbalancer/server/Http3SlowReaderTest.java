package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients over HTTP/3 whose flow-control window is closed for seconds. The failure guarded against: their streams were
 * reset 5 s after the response had been written, read or not, and a shutdown did not wait for them.
 */
@Timeout(60)
class Http3SlowReaderTest extends Http3Fixture {
    private static final int WINDOW_BYTES = 4_096;
    private static final int ANSWER_BYTES = 60_000;

    private Http3TestClient slowClient() throws Exception {
        Http3TestClient client = new Http3TestClient(node.beside(), OURS.getCertificatePath()[0], WINDOW_BYTES);
        open.add(client);
        return client;
    }

    private Http3TestClient.Got unreadResponse() throws Exception {
        Http3TestClient.Got got = slowClient().get("r1");
        got.stream.config().setAutoRead(false);
        upstream.next().answer(200, "", "a".repeat(ANSWER_BYTES));
        assertEquals("OK closed", module.next());
        return got;
    }

    private static void readOn(Http3TestClient.Got got) throws Exception {
        got.stream.config().setAutoRead(true);
        assertEquals("200 " + "a".repeat(ANSWER_BYTES), got.end());
    }

    @Test
    void aClientThatReadsOnAfterSecondsGetsAllOfItsResponse() throws Exception {
        start();
        Http3TestClient.Got got = unreadResponse();
        TimeUnit.MILLISECONDS.sleep(6_500);
        readOn(got);
    }

    @Test
    void aShutdownWaitsForAClientThatReadsOn() throws Exception {
        start();
        Http3TestClient.Got got = unreadResponse();
        Thread stopping = new Thread(() -> node.stop());
        stopping.start();
        TimeUnit.MILLISECONDS.sleep(4_000);
        readOn(got);
        stopping.join(TimeUnit.SECONDS.toMillis(20));
    }
}
