package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A graceful shutdown while a client over HTTP/3 writes its request. The failure guarded against: the process ended
 * with requests received in part, and forwarded without a response what was complete in its last moments.
 */
class Http3ShutdownTest extends Http3Fixture {
    private void awaitLog(String text) throws InterruptedException {
        while (true) {
            synchronized (log) {
                if (log.stream().anyMatch(line -> line.contains(text))) {
                    return;
                }
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @ParameterizedTest
    @Timeout(60)
    @ValueSource(ints = {0, 15, 100, 400})
    void aRequestThatIsCompleteAfterTheListenerHasClosedIsServed(int delayMillis) throws Exception {
        start();
        Http3TestClient client = client();
        Http3TestClient.Got response =
                client.send(Http3TestClient.head("POST", "book", "r1").add("content-length", "4"), "se", false);
        client.assertNextIsServed(upstream); // what was sent before has been read
        Thread stopping = new Thread(() -> node.stop());
        stopping.start();
        awaitLog("step=close_listener");
        TimeUnit.MILLISECONDS.sleep(delayMillis);
        response.stream.write(new DefaultHttp3DataFrame(Unpooled.copiedBuffer("at", StandardCharsets.ISO_8859_1)));
        response.stream.flush();
        response.stream.shutdownOutput();
        upstream.next().answer(200, "", "done");
        assertEquals("200 done", response.end());
        stopping.join(TimeUnit.SECONDS.toMillis(20));
        assertTrue(!stopping.isAlive(), "the process does not end");
    }
}
