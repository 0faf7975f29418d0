package loadbalancer.downstream.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loadbalancer.downstream.http1.ConnectionTimeouts.ReceiveState;
import org.junit.jupiter.api.Test;

/** The time limits of a client's connection, without a connection. */
class ConnectionTimeoutsTest {
    private static final long START = 1_000;

    private final ConnectionTimeouts timeouts = new ConnectionTimeouts();

    private static long after(long millis) {
        return START + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void headAndBodyHaveTheirOwnLimits() {
        timeouts.receiving(START);
        assertFalse(timeouts.isReceiptOverdue(ReceiveState.HEAD, after(2_400)));
        assertTrue(timeouts.isReceiptOverdue(ReceiveState.HEAD, after(2_400) + 1));
        assertFalse(timeouts.isReceiptOverdue(ReceiveState.BODY, after(2_000)));
        assertTrue(timeouts.isReceiptOverdue(ReceiveState.BODY, after(2_000) + 1));
    }

    @Test
    void idleConnectionIsNeverOverdue() {
        timeouts.receiving(START);
        assertFalse(timeouts.isReceiptOverdue(ReceiveState.IDLE, after(100_000)));
    }

    @Test
    void longBodyWithoutProgressStalls() {
        timeouts.streaming(START);
        assertFalse(timeouts.isStalled(10, false, after(1_000)), "the first bytes");
        assertFalse(timeouts.isStalled(10, false, after(16_000)));
        assertTrue(timeouts.isStalled(10, false, after(16_000) + 1));
        assertFalse(timeouts.isStalled(11, false, after(17_000)), "a byte of progress");
    }

    @Test
    void longBodyThatIsNotReadHereDoesNotStall() {
        timeouts.streaming(START);
        assertFalse(timeouts.isStalled(0, true, after(100_000)));
        assertFalse(timeouts.isStalled(0, false, after(115_000)));
        assertTrue(timeouts.isStalled(0, false, after(115_000) + 1));
    }

    @Test
    void unreadResponsesTimeOutUnlessSomeAreRead() {
        assertFalse(timeouts.isUnread(false, START));
        assertFalse(timeouts.isUnread(false, after(5_000)));
        assertTrue(timeouts.isUnread(false, after(5_000) + 1));
        assertFalse(timeouts.isUnread(true, after(6_000)));
        assertFalse(timeouts.isUnread(false, after(7_000)));
        assertFalse(timeouts.isUnread(false, after(12_000)));
    }
}
