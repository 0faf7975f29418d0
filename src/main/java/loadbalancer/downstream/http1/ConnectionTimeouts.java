package loadbalancer.downstream.http1;

import java.util.concurrent.TimeUnit;

/**
 * Limits the time that a client may take to send a request, to read responses, and to make progress with streamed
 * bodies. Protects against peers that send nothing or only a byte from time to time. The connection budget decides how
 * long a connection may be idle, and how long it may stay open after its last response. Times are in ns of
 * {@link System#nanoTime}.
 */
final class ConnectionTimeouts {
    /** How much of the current request has been received. */
    enum ReceiveState {
        /** Nothing. */
        IDLE,
        /** Part of the head. */
        HEAD,
        /** The complete head, and possibly part of the body. */
        BODY
    }

    // A client gets an error response or a close within 3 s; the interval between two checks adds to these timeouts.
    private static final long HEAD_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);
    private static final long BODY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000); // of a buffered body
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(15_000);

    private long receivingSinceNanos = System.nanoTime();
    private long lastProgress; // of streamed bodies and unsent responses, at the last check
    private long progressAtNanos;

    /** Starts the timeout of the current head, or of the body after it. */
    void receiveStarted(long nowNanos) {
        receivingSinceNanos = nowNanos;
    }

    /** Starts the timeout of a streamed request body, or of a response until it has been sent. */
    void streamStarted(long nowNanos) {
        progressAtNanos = nowNanos;
    }

    /** Whether the client takes too long to send the current request. */
    boolean isReceiveOverdue(ReceiveState state, long nowNanos) {
        return state != ReceiveState.IDLE
                && nowNanos - receivingSinceNanos
                        > (state == ReceiveState.BODY ? BODY_TIMEOUT_NANOS : HEAD_TIMEOUT_NANOS);
    }

    /**
     * Whether the streamed bodies and the unsent responses of a connection have made no progress for too long. A client
     * that pauses for some seconds and reads on is not stalled.
     *
     * @param progress a number that changes whenever bytes are received or sent
     * @param readingPaused whether this process has paused reading: the client does not cause the delay then
     */
    boolean isStalled(long progress, boolean readingPaused, long nowNanos) {
        if (progress != lastProgress || readingPaused) {
            lastProgress = progress;
            progressAtNanos = nowNanos;
            return false;
        }
        return nowNanos - progressAtNanos > STALL_TIMEOUT_NANOS;
    }
}
