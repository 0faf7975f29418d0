package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.HttpRequest;
import loadbalancer.proxy.BodyStream;

/** A request that can be served. */
final class ReceivedRequest {
    private final HttpRequest head;
    private final byte[] body;
    private final BodyStream bodyStream;
    private final long contentLength;

    private ReceivedRequest(HttpRequest head, byte[] body, BodyStream bodyStream, long contentLength) {
        this.head = head;
        this.body = body;
        this.bodyStream = bodyStream;
        this.contentLength = contentLength;
    }

    /** A request that has arrived completely; {@code body} must not be changed. */
    static ReceivedRequest complete(HttpRequest head, byte[] body) {
        return new ReceivedRequest(head, body, null, body.length);
    }

    /**
     * A request whose body is still arriving.
     *
     * @param firstBytes what is there of the body; must not be changed
     * @param bodyStream what follows behind {@code firstBytes}
     * @param contentLength bytes of both; -1 if unknown
     */
    static ReceivedRequest streamed(HttpRequest head, byte[] firstBytes, BodyStream bodyStream, long contentLength) {
        return new ReceivedRequest(head, firstBytes, bodyStream, contentLength);
    }

    /** The request line and the fields. */
    HttpRequest head() {
        return head;
    }

    /** The complete body, or the first bytes of a streamed one. */
    byte[] body() {
        return body;
    }

    /** What follows behind {@link #body}; null where that is complete. */
    BodyStream bodyStream() {
        return bodyStream;
    }

    /** Bytes of the complete body; -1 if unknown. */
    long contentLength() {
        return contentLength;
    }
}
