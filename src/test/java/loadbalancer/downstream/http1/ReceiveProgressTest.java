package loadbalancer.downstream.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.downstream.http1.ConnectionTimeouts.ReceiveState;
import org.junit.jupiter.api.Test;

class ReceiveProgressTest {
    private final ReceiveProgress progress = new ReceiveProgress();

    @Test
    void eachRequestBeginsWithItsHead() {
        assertFalse(progress.isReceiving());
        progress.receiveStarted();
        assertEquals(ReceiveState.HEAD, progress.state());
        assertTrue(progress.isReceiving());
        progress.headReceived();
        assertEquals(ReceiveState.BODY, progress.state());
        progress.requestReceived();
        assertFalse(progress.isReceiving());
        progress.receiveStarted();
        assertEquals(ReceiveState.HEAD, progress.state());
    }

    /** Such bytes counted as a new head, and were waited for as a partial request for 2.4 s instead of 2 s. */
    @Test
    void bytesAfterAMalformedBodyGetTheBodyTimeout() {
        progress.receiveStarted();
        progress.headReceived();
        progress.malformed();
        assertFalse(progress.isReceiving());
        progress.receiveStarted();
        assertEquals(ReceiveState.BODY, progress.state());
    }

    @Test
    void bytesAfterAMalformedHeadGetTheHeadTimeout() {
        progress.receiveStarted();
        progress.malformed();
        progress.receiveStarted();
        assertEquals(ReceiveState.HEAD, progress.state());
    }

    /** The second report for the same request occurs, for example, when its timeout expires. */
    @Test
    void aMalformedBodyMayBeReportedTwice() {
        progress.receiveStarted();
        progress.headReceived();
        progress.malformed();
        progress.malformed();
        progress.receiveStarted();
        assertEquals(ReceiveState.BODY, progress.state());
    }

    /** The complete request exceeds the pipelining limit; the bytes after it would have been the next head. */
    @Test
    void bytesAfterACompleteRequestGetTheHeadTimeout() {
        progress.receiveStarted();
        progress.headReceived();
        progress.requestReceived();
        progress.malformed();
        progress.receiveStarted();
        assertEquals(ReceiveState.HEAD, progress.state());
    }
}
