package loadbalancer.downstream.http1;

import java.util.concurrent.TimeUnit;

/**
 * How long a client may take to send a request, to read responses, and to make progress with long bodies. Guards
 * against peers that send nothing, or a byte now and then. How long a connection may be idle, and stay behind its
 * last response, is decided by the connection budget. Times are in ns of {@link System#nanoTime}.
 */
final class ConnectionTimeouts {
    /** How much of the present request has arrived. */
    enum ReceiveState {
        /** Nothing. */
        IDLE,
        /** Part of the head. */
        HEAD,
        /** The head, and perhaps part of the body. */
        BODY
    }

    // A client gets an error or a close within 3 s: the interval between two checks comes on top of these.
    private static final long HEAD_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);
    private static final long BODY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000); // one that is buffered
    private static final long UNREAD_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(15_000);

    private long receivingSinceNanos = System.nanoTime();
    private long lastProgress; // of long bodies, at the last check
    private long progressAtNanos;
    private long unreadSinceNanos; // 0: responses leave

    /** The time for the present head, or for the body behind it, begins. */
    void receiveStarted(long nowNanos) {
        receivingSinceNanos = nowNanos;
    }

    /** A long body, of a request or a response, begins. */
    void streamStarted(long nowNanos) {
        progressAtNanos = nowNanos;
    }

    /** Whether the present request takes too long to arrive. */
    boolean isReceiveOverdue(ReceiveState state, long nowNanos) {
        return state != ReceiveState.IDLE
                && nowNanos - receivingSinceNanos
                        > (state == ReceiveState.BODY ? BODY_TIMEOUT_NANOS : HEAD_TIMEOUT_NANOS);
    }

    /**
     * Whether the long bodies of a connection have made no progress for too long.
     *
     * @param progress a number that changes with each progress
     * @param readingPaused whether this side does not read at present: the client is not to blame then
     */
    boolean isStalled(long progress, boolean readingPaused, long nowNanos) {
        unreadSinceNanos = 0;
        if (progress != lastProgress || readingPaused) {
            lastProgress = progress;
            progressAtNanos = nowNanos;
            return false;
        }
        return nowNanos - progressAtNanos > STALL_TIMEOUT_NANOS;
    }

    /** Whether the client has not read responses for too long; {@code isWritable}: it reads at present. */
    boolean isReadOverdue(boolean isWritable, long nowNanos) {
        if (isWritable) {
            unreadSinceNanos = 0;
            return false;
        }
        if (unreadSinceNanos == 0) {
            unreadSinceNanos = nowNanos;
            return false;
        }
        return nowNanos - unreadSinceNanos > UNREAD_TIMEOUT_NANOS;
    }
}
