package loadbalancer.downstream.http1;

import java.util.ArrayDeque;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.BodyStream;

/**
 * The requests of one connection that have been received and not answered: the one that is being served, and those
 * pipelined behind it (RFC 9112, section 9.3.2). Keeps account of the memory of their bodies. On the event loop.
 */
final class RequestQueue {
    private static final int MAX_PIPELINED = 16;

    private final BodyMemoryBudget bodyMemory;
    private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>();
    private int servedBodyBytes; // reserved for the request that is being served
    private BodyStream servedBody; // of the request that is being served, if it is streamed

    RequestQueue(BodyMemoryBudget bodyMemory) {
        this.bodyMemory = bodyMemory;
    }

    /** Whether no request is pipelined. */
    boolean isEmpty() {
        return pipelined.isEmpty();
    }

    /** Whether as many requests are pipelined as are taken. */
    boolean isFull() {
        return pipelined.size() >= MAX_PIPELINED;
    }

    /** Reserves the memory of a request, which is added, served or released next. */
    void reserve(ReceivedRequest request) {
        bodyMemory.tryReserve(request.body().length);
    }

    void add(ReceivedRequest request) {
        pipelined.add(request);
    }

    /** The next pipelined request, which is served next; null if there is none. */
    ReceivedRequest poll() {
        return pipelined.poll();
    }

    /** This request is being served from here on. */
    void startServing(ReceivedRequest request) {
        servedBodyBytes = request.body().length;
        servedBody = request.bodyStream();
    }

    /** Nothing of the request that was served is needed any more. */
    void releaseServed() {
        bodyMemory.release(servedBodyBytes);
        servedBodyBytes = 0;
        cancelUnstarted(servedBody);
        servedBody = null;
    }

    /** Drops a request that will not be served. */
    void release(ReceivedRequest unserved) {
        bodyMemory.release(unserved.body().length);
        cancelUnstarted(unserved.bodyStream());
    }

    /** Drops the pipelined request that was received last. */
    void releaseLast() {
        release(pipelined.removeLast());
    }

    /** Drops all pipelined requests. */
    void releasePipelined() {
        while (!pipelined.isEmpty()) {
            release(pipelined.poll());
        }
    }

    /** Cancels a body that nobody reads; null is none. */
    static void cancelUnstarted(BodyStream body) {
        if (body != null && !body.hasSubscriber()) {
            body.cancel();
        }
    }
}
