package loadbalancer.downstream.http1;

import java.util.ArrayDeque;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.BodyStream;

/**
 * The requests of one connection that have been received and not answered: the request that is being served, and the
 * pipelined requests after it (RFC 9112, section 9.3.2). Reserves and releases the memory of their bodies, and counts
 * that of their heads. Must be used on the event loop.
 */
final class RequestQueue {
    private static final int MAX_PIPELINED = 16;
    private static final int MAX_REJECTED = 256; // pipelined requests that are not held and will be rejected

    private final BodyMemoryBudget bodyMemory;
    private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>();
    private int rejectedCount; // among the pipelined requests
    private int pipelinedHeadBytes;
    private int servedHeadBytes;
    private int servedBodyBytes; // reserved for the body of the request that is being served
    private BodyStream servedBody; // the streamed body of the request that is being served, or null

    RequestQueue(BodyMemoryBudget bodyMemory) {
        this.bodyMemory = bodyMemory;
    }

    /** Whether no request is pipelined. */
    boolean isEmpty() {
        return pipelined.isEmpty();
    }

    /** Whether the limit of pipelined requests is reached. */
    boolean isFull() {
        return pipelined.size() - rejectedCount >= MAX_PIPELINED || rejectedCount >= MAX_REJECTED;
    }

    /** The bytes of heap that the heads of all requests take. */
    int headBytes() {
        return pipelinedHeadBytes + servedHeadBytes;
    }

    /** Reserves the memory for the body of a request that is added, served or released next. */
    void reserve(ReceivedRequest request) {
        bodyMemory.tryReserve(request.body().length);
    }

    void add(ReceivedRequest request) {
        pipelined.add(request);
        count(request, 1);
    }

    private void count(ReceivedRequest request, int change) {
        pipelinedHeadBytes += change * request.headBytes();
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

    /** Marks the request as the one that is being served. */
    void startServing(ReceivedRequest request) {
        servedHeadBytes = request.headBytes();
        servedBodyBytes = request.body().length;
        servedBody = request.bodyStream();
    }

    /** Releases the body of the request that was being served. */
    void releaseServed() {
        bodyMemory.release(servedBodyBytes);
        servedBodyBytes = 0;
        servedHeadBytes = 0;
        cancelUnstarted(servedBody);
        servedBody = null;
    }

    /** Releases the body of a request that will not be served. */
    void release(ReceivedRequest unserved) {
        bodyMemory.release(unserved.body().length);
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
