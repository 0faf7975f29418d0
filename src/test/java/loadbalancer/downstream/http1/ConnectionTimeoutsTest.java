package loadbalancer.downstream.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loadbalancer.downstream.http1.ConnectionTimeouts.ReceiveState;
import org.junit.jupiter.api.Test;

/** Tests the timeouts of a client connection without a real connection. */
class ConnectionTimeoutsTest {
    private static final long START_NANOS = 1_000;

    private final ConnectionTimeouts timeouts = new ConnectionTimeouts();

    private static long nanosAfterStart(long millis) {
        return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void headAndBodyHaveTheirOwnLimits() {
        timeouts.receiveStarted(START_NANOS);
        assertFalse(timeouts.isReceiveOverdue(ReceiveState.HEAD, nanosAfterStart(2_400)));
        assertTrue(timeouts.isReceiveOverdue(ReceiveState.HEAD, nanosAfterStart(2_400) + 1));
        assertFalse(timeouts.isReceiveOverdue(ReceiveState.BODY, nanosAfterStart(2_000)));
        assertTrue(timeouts.isReceiveOverdue(ReceiveState.BODY, nanosAfterStart(2_000) + 1));
    }

    @Test
    void idleConnectionIsNeverOverdue() {
        timeouts.receiveStarted(START_NANOS);
        assertFalse(timeouts.isReceiveOverdue(ReceiveState.IDLE, nanosAfterStart(100_000)));
    }

    @Test
    void longBodyWithoutProgressStalls() {
        timeouts.streamStarted(START_NANOS);
        assertFalse(timeouts.isStalled(10, false, nanosAfterStart(1_000)), "the first bytes are progress");
        assertFalse(timeouts.isStalled(10, false, nanosAfterStart(16_000)));
        assertTrue(timeouts.isStalled(10, false, nanosAfterStart(16_000) + 1));
        assertFalse(timeouts.isStalled(11, false, nanosAfterStart(17_000)), "one more byte is progress");
    }

    @Test
    void longBodyThatIsNotReadHereDoesNotStall() {
        timeouts.streamStarted(START_NANOS);
        assertFalse(timeouts.isStalled(0, true, nanosAfterStart(100_000)));
        assertFalse(timeouts.isStalled(0, false, nanosAfterStart(115_000)));
        assertTrue(timeouts.isStalled(0, false, nanosAfterStart(115_000) + 1));
    }

    /** A client that takes seconds to read its responses is not cut off; one that stops reading is. */
    @Test
    void unsentResponsesTimeOutUnlessSomeBytesLeave() {
        timeouts.streamStarted(START_NANOS);
        assertFalse(timeouts.isStalled(-70_000, false, START_NANOS));
        assertFalse(timeouts.isStalled(-70_000, false, nanosAfterStart(7_000)), "a pause of seconds");
        assertFalse(timeouts.isStalled(-70_000, false, nanosAfterStart(15_000)));
        assertTrue(timeouts.isStalled(-70_000, false, nanosAfterStart(15_000) + 1));
        assertFalse(timeouts.isStalled(-69_999, false, nanosAfterStart(16_000)), "one byte has left");
        assertFalse(timeouts.isStalled(-69_999, false, nanosAfterStart(31_000)));
        assertTrue(timeouts.isStalled(-69_999, false, nanosAfterStart(31_000) + 1));
    }

    /** The number of an earlier response says nothing about the progress of this one. */
    @Test
    void timeoutOfEachResponseStartsAnew() {
        timeouts.streamStarted(START_NANOS);
        assertFalse(timeouts.isStalled(-500, false, START_NANOS));
        timeouts.streamStarted(nanosAfterStart(60_000));
        assertFalse(timeouts.isStalled(-500, false, nanosAfterStart(75_000)));
        assertTrue(timeouts.isStalled(-500, false, nanosAfterStart(75_000) + 1));
    }
}
