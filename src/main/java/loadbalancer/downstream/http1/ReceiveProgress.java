package loadbalancer.downstream.http1;

import loadbalancer.downstream.http1.ConnectionTimeouts.ReceiveState;

/** Tracks how much of the current request of a client has been received. Must be used on the event loop. */
final class ReceiveProgress {
    private ReceiveState state = ReceiveState.IDLE;
    private ReceiveState stateOfNextBytes = ReceiveState.HEAD;
    private boolean refused;

    ReceiveState state() {
        return state;
    }

    /** Whether a request has been received in part. */
    boolean isReceiving() {
        return state != ReceiveState.IDLE;
    }

    /** Called when a request that has been received in part is refused while its client sends. */
    void refused() {
        refused = true;
    }

    boolean isRefused() {
        return refused;
    }

    /** Called for the first bytes of a request, and for bytes after a malformed request. */
    void receiveStarted() {
        state = stateOfNextBytes;
    }

    /** Called when the head has been received completely. */
    void headReceived() {
        state = ReceiveState.BODY;
    }

    /** Called when the request has been received completely, or when its body is streamed from now on. */
    void requestReceived() {
        state = ReceiveState.IDLE;
    }

    /**
     * Called when the request is malformed; nothing after it is decoded as a request. Further input counts as part of
     * the malformed request: if the head was complete, the input counts as its body and gets the timeout of a body.
     */
    void malformed() {
        if (state != ReceiveState.IDLE) {
            stateOfNextBytes = state;
        }
        state = ReceiveState.IDLE;
    }
}
