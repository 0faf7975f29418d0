package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.BodyStream;

/** A well-formed request that has been received completely, or up to a part of its body. */
final class ReceivedRequest {
    private static final ReceivedRequest REJECTED = rejected(HttpVersion.HTTP_1_1);
    private static final ReceivedRequest REJECTED_LAST = rejected(HttpVersion.HTTP_1_0);

    private final HttpRequest head;
    private final byte[] body;
    private final BodyStream bodyStream;
    private final long contentLength;
    private final int headBytes;
    private final boolean rejected;

    private ReceivedRequest(
            HttpRequest head, byte[] body, BodyStream bodyStream, long contentLength, boolean rejected) {
        this.head = head;
        this.headBytes = rejected ? 0 : RequestHeadSize.heapBytes(head);
        this.rejected = rejected;
        this.body = body;
        this.bodyStream = bodyStream;
        this.contentLength = contentLength;
    }

    // HTTP/1.0 ends its connection.
    private static ReceivedRequest rejected(HttpVersion version) {
        return new ReceivedRequest(new DefaultHttpRequest(version, HttpMethod.GET, "/"), new byte[0], null, 0, true);
    }

    /** Creates a request that has been received completely; {@code body} must not be modified. */
    static ReceivedRequest complete(HttpRequest head, byte[] body) {
        return new ReceivedRequest(head, body, null, body.length, false);
    }

    /** Returns a request in place of one that was not held for want of memory, and whose response is a rejection. */
    static ReceivedRequest rejected(boolean keepAlive) {
        return keepAlive ? REJECTED : REJECTED_LAST;
    }

    /**
     * Creates a request whose body is still being received.
     *
     * @param bodyStream the body, of which the bytes received so far wait for a subscriber
     * @param contentLength bytes of the whole body; -1 if unknown
     */
    static ReceivedRequest streamed(HttpRequest head, BodyStream bodyStream, long contentLength) {
        return new ReceivedRequest(head, new byte[0], bodyStream, contentLength, false);
    }

    /** The request line and the header fields. */
    HttpRequest head() {
        return head;
    }

    /** The complete body; empty for a streamed one. */
    byte[] body() {
        return body;
    }

    /** The body if it is streamed, else null. */
    BodyStream bodyStream() {
        return bodyStream;
    }

    /** Bytes of the whole body; -1 if unknown. */
    long contentLength() {
        return contentLength;
    }

    /** The bytes of heap that the head takes. */
    int headBytes() {
        return headBytes;
    }

    /** Whether the request was not held for want of memory. */
    boolean isRejected() {
        return rejected;
    }
}
