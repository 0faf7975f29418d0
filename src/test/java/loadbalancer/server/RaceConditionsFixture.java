package loadbalancer.server;

import java.io.IOException;
import java.util.Map;

/** A balancer whose peers hold connections back and act in the order that a test gives. */
abstract class RaceConditionsFixture extends ServerFixture {
    static final String EMPTY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    static String request(String kind, String id) {
        return switch (kind) {
            case "read" -> SAFE.replace("r1", id);
            case "pay" ->
                post("pay", "Idempotency-Key: k\r\nReq-Deadline-Ms: 20000\r\n", "x")
                        .replace("r1", id);
            default -> post("book", "Req-Deadline-Ms: 20000\r\n", "x").replace("r1", id);
        };
    }

    void startHeld(UnacceptingListener held, boolean cancels) throws IOException, InterruptedException {
        endpoint = held.address();
        module.cancels = cancels;
        start(Map.of("DialTimeout", 30_000_000, "Cancel", cancels), 1024);
    }
}
