package loadbalancer.downstream.http1;

import loadbalancer.downstream.http1.ConnectionTimeouts.ReceiveState;

/** How much of the request that a client is sending at present has arrived. On the event loop. */
final class ReceiveProgress {
    private ReceiveState state = ReceiveState.IDLE;
    private ReceiveState stateOfNextBytes = ReceiveState.HEAD;

    ReceiveState state() {
        return state;
    }

    /** Whether part of a request has arrived, and not the rest. */
    boolean isReceiving() {
        return state != ReceiveState.IDLE;
    }

    /** The first bytes of a request have arrived, or further ones behind a malformed one. */
    void receiveStarted() {
        state = stateOfNextBytes;
    }

    /** The head is complete. */
    void headReceived() {
        state = ReceiveState.BODY;
    }

    /** The request is complete, or its body is streamed from here on. */
    void requestReceived() {
        state = ReceiveState.IDLE;
    }

    /**
     * The request is malformed, and nothing behind it is read as a request. What arrives then still belongs to it:
     * to its body, and has the time of a body, where its head was complete.
     */
    void malformed() {
        if (state != ReceiveState.IDLE) {
            stateOfNextBytes = state;
        }
        state = ReceiveState.IDLE;
    }
}
