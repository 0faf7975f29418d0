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
    private static final long HEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);
    private static final long BODY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000); // one that is buffered
    private static final long UNREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);
    private static final long STALLED_NANOS = TimeUnit.MILLISECONDS.toNanos(15_000);

    private long receivingSince = System.nanoTime();
    private long progress; // of long bodies, at the last check
    private long progressAt;
    private long unreadSince; // 0: responses leave

    /** The time for the present head, or for the body behind it, begins. */
    void receiving(long now) {
        receivingSince = now;
    }

    /** A long body, of a request or a response, begins. */
    void streaming(long now) {
        progressAt = now;
    }

    /** Whether the present request takes too long to arrive. */
    boolean isReceiptOverdue(ReceiveState state, long now) {
        return state != ReceiveState.IDLE
                && now - receivingSince > (state == ReceiveState.BODY ? BODY_NANOS : HEAD_NANOS);
    }

    /**
     * Whether the long bodies of a connection have made no progress for too long.
     *
     * @param bytes a number that changes with each progress
     * @param paused whether this side does not read at present: the client is not to blame then
     */
    boolean isStalled(long bytes, boolean paused, long now) {
        unreadSince = 0;
        if (bytes != progress || paused) {
            progress = bytes;
            progressAt = now;
            return false;
        }
        return now - progressAt > STALLED_NANOS;
    }

    /** Whether the client has not read responses for too long; {@code writable}: it reads at present. */
    boolean isUnread(boolean writable, long now) {
        if (writable) {
            unreadSince = 0;
            return false;
        }
        if (unreadSince == 0) {
            unreadSince = now;
            return false;
        }
        return now - unreadSince > UNREAD_NANOS;
    }
}
