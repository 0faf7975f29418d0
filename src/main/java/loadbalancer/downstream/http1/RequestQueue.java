package loadbalancer.downstream.http1;

import java.util.ArrayDeque;
import loadbalancer.proxy.BodyStream;

/**
 * The requests of one connection that have been received and not answered: the request that is being served, and the
 * pipelined requests after it (RFC 9112, section 9.3.2). Counts the memory of their heads and bodies. Must be used on
 * the event loop.
 */
final class RequestQueue {
    private static final int MAX_PIPELINED = 16;
    private static final int MAX_REJECTED = 256; // pipelined requests that are not held and will be rejected

    private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>();
    private int rejectedCount; // among the pipelined requests
    private int pipelinedBytes; // of their heads and bodies
    private int servedBytes;
    private int undecodedAdmitted; // requests
    private BodyStream servedBody; // the streamed body of the request that is being served, or null

    /** Whether no request is pipelined. */
    boolean isEmpty() {
        return pipelined.isEmpty();
    }

    /** Whether the limit of pipelined requests is reached. */
    boolean isFull() {
        return pipelined.size() - rejectedCount >= MAX_PIPELINED || rejectedCount >= MAX_REJECTED;
    }

    /**
     * Admits a request that has been read but not decoded, although its connection ends. No more than a client may
     * pipeline are admitted, so that one that sends for ever does not keep its connection.
     */
    boolean admitUndecoded() {
        return undecodedAdmitted++ < MAX_PIPELINED;
    }

    /** The bytes of heap that the heads and bodies of all requests take. */
    int heldBytes() {
        return pipelinedBytes + servedBytes;
    }

    void add(ReceivedRequest request) {
        pipelined.add(request);
        count(request, 1);
    }

    private void count(ReceivedRequest request, int change) {
        pipelinedBytes += change * heldBytes(request);
        rejectedCount += request.isRejected() ? change : 0;
    }

    /** Removes and returns the pipelined request to serve next; null if there is none. */
    ReceivedRequest poll() {
        ReceivedRequest next = pipelined.poll();
        if (next != null) {
            count(next, -1);
        }
        return next;
    }

    private static int heldBytes(ReceivedRequest request) {
        return request.headBytes() + request.body().length;
    }

    /** Marks the request as the one that is being served. */
    void startServing(ReceivedRequest request) {
        servedBytes = heldBytes(request);
        servedBody = request.bodyStream();
    }

    /** Releases the body of the request that was being served. */
    void releaseServed() {
        servedBytes = 0;
        cancelUnstarted(servedBody);
        servedBody = null;
    }

    /** Cancels the body of a request that will not be served. */
    static void release(ReceivedRequest unserved) {
        cancelUnstarted(unserved.bodyStream());
    }

    /** Removes and releases the pipelined request that was received last. */
    void releaseLast() {
        ReceivedRequest last = pipelined.removeLast();
        count(last, -1);
        release(last);
    }

    /** Removes and releases all pipelined requests. */
    void releasePipelined() {
        while (!pipelined.isEmpty()) {
            release(poll());
        }
    }

    /** Cancels a streamed body without a subscriber; does nothing for null. */
    static void cancelUnstarted(BodyStream body) {
        if (body != null && !body.hasSubscriber()) {
            body.cancel();
        }
    }
}
