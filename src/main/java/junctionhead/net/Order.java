package junctionhead.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request: what goes on to an upstream unchanged, and what the module is told of it. Times are in
 * µs; {@code id} is the client's; {@code work} is -1 where the client gives no guess.
 */
record Order(String id, HttpMethod method, String uri, HttpHeaders headers, byte[] body, int requestClass,
        int tenant, String key, long timeLeft, long work, boolean resubmission) {
    /** The same for another path. */
    Order to(String other) {
        return new Order(id, method, other, headers, body, requestClass, tenant, key, timeLeft, work,
            resubmission);
    }
}
