package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.lifecycle.HotRestart.Step;
import org.junit.jupiter.api.Test;

/** Tests which step follows from the messages and disconnects of other processes. */
class HotRestartTest {
    private final HotRestart hotRestart = new HotRestart();

    @Test
    void successorThatEndsBeforeItIsReadyCausesNoHandOver() {
        assertEquals(Step.SHARE_RESOURCES, hotRestart.received("b", "hello 1"));
        assertTrue(hotRestart.hasPeer());
        assertEquals(Step.NO_PEER_LEFT, hotRestart.disconnected("b"));
        assertFalse(hotRestart.hasPeer());
    }

    @Test
    void successorThatEndsAfterItWasReadyCausesResume() {
        hotRestart.received("b", "hello 1");
        assertEquals(Step.HAND_OVER, hotRestart.received("b", "ready"));
        assertEquals(Step.NO_ACTION, hotRestart.received("b", "ready"));
        assertEquals(Step.RESUME, hotRestart.disconnected("b"));
    }

    @Test
    void firstReadyOfTwoSuccessorsCausesHandOver() {
        hotRestart.received("b", "hello 1");
        assertEquals(Step.NO_ACTION, hotRestart.received("c", "hello 1"));
        assertEquals(Step.HAND_OVER, hotRestart.received("c", "ready"));
        assertEquals(Step.NO_ACTION, hotRestart.disconnected("b"));
        assertTrue(hotRestart.hasPeer());
    }

    @Test
    void unknownPeersAndMessagesAreIgnored() {
        assertEquals(Step.NO_ACTION, hotRestart.received("x", "ready"));
        assertEquals(Step.NO_ACTION, hotRestart.received("x", "GET / HTTP/1.1"));
        assertEquals(Step.NO_ACTION, hotRestart.disconnected("x"));
        assertEquals(Step.SHARE_RESOURCES, hotRestart.received("b", "hello 7 and more"));
        assertEquals(Step.NO_ACTION, hotRestart.received("b", "state {}"));
    }
}
