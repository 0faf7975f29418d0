package loadbalancer.downstream.http1;

import java.util.ArrayDeque;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.BodyStream;

/**
 * The requests of one connection that have been received and not answered: the request that is being served, and the
 * pipelined requests after it (RFC 9112, section 9.3.2). Reserves and releases the memory of their bodies. Must be used
 * on the event loop.
 */
final class RequestQueue {
    private static final int MAX_PIPELINED = 16;

    private final BodyMemoryBudget bodyMemory;
    private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>();
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
        return pipelined.size() >= MAX_PIPELINED;
    }

    /** Reserves the memory for the body of a request that is added, served or released next. */
    void reserve(ReceivedRequest request) {
        bodyMemory.tryReserve(request.body().length);
    }

    void add(ReceivedRequest request) {
        pipelined.add(request);
    }

    /** Removes and returns the pipelined request to serve next; null if there is none. */
    ReceivedRequest poll() {
        return pipelined.poll();
    }

    /** Marks the request as the one that is being served. */
    void startServing(ReceivedRequest request) {
        servedBodyBytes = request.body().length;
        servedBody = request.bodyStream();
    }

    /** Releases the body of the request that was being served. */
    void releaseServed() {
        bodyMemory.release(servedBodyBytes);
        servedBodyBytes = 0;
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
        release(pipelined.removeLast());
    }

    /** Removes and releases all pipelined requests. */
    void releasePipelined() {
        while (!pipelined.isEmpty()) {
            release(pipelined.poll());
        }
    }

    /** Cancels a streamed body without a subscriber; does nothing for null. */
    static void cancelUnstarted(BodyStream body) {
        if (body != null && !body.hasSubscriber()) {
            body.cancel();
        }
    }
}
