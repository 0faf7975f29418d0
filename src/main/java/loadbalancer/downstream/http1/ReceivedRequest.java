package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.HttpRequest;
import loadbalancer.proxy.BodyStream;

/** A well-formed request that has been received completely, or up to a part of its body. */
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

    /** Creates a request that has been received completely; {@code body} must not be modified. */
    static ReceivedRequest complete(HttpRequest head, byte[] body) {
        return new ReceivedRequest(head, body, null, body.length);
    }

    /**
     * Creates a request whose body is still being received.
     *
     * @param firstBytes the bytes of the body received so far; must not be modified
     * @param bodyStream the rest of the body, after {@code firstBytes}
     * @param contentLength bytes of the whole body; -1 if unknown
     */
    static ReceivedRequest streamed(HttpRequest head, byte[] firstBytes, BodyStream bodyStream, long contentLength) {
        return new ReceivedRequest(head, firstBytes, bodyStream, contentLength);
    }

    /** The request line and the header fields. */
    HttpRequest head() {
        return head;
    }

    /** The complete body, or the first bytes of a streamed one. */
    byte[] body() {
        return body;
    }

    /** The rest of the body after {@link #body}; null if that is complete. */
    BodyStream bodyStream() {
        return bodyStream;
    }

    /** Bytes of the whole body; -1 if unknown. */
    long contentLength() {
        return contentLength;
    }
}
