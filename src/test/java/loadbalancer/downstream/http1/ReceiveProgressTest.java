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

    /** They counted as a new head, and so for 2.4 s in place of 2 s as a request that has come in part. */
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

    /** A second time for the same request: as at the end of its time. */
    @Test
    void aMalformedBodyMayBeReportedTwice() {
        progress.receiveStarted();
        progress.headReceived();
        progress.malformed();
        progress.malformed();
        progress.receiveStarted();
        assertEquals(ReceiveState.BODY, progress.state());
    }

    /** A whole request that is one too many: what follows it would have been a head. */
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
