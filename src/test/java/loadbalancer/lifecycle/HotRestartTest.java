package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.lifecycle.HotRestart.Step;
import org.junit.jupiter.api.Test;

/** Which step follows from what the other processes say. */
class HotRestartTest {
    private final HotRestart hotRestart = new HotRestart();

    @Test
    void oneThatDiesBeforeItIsReadyChangesNothing() {
        assertEquals(Step.SHARE, hotRestart.received("b", "hello 1"));
        assertTrue(hotRestart.hasPeer());
        assertEquals(Step.ALONE, hotRestart.disconnected("b"));
        assertFalse(hotRestart.hasPeer());
    }

    @Test
    void oneThatDiesAfterItWasReadyGivesTheClientsBack() {
        hotRestart.received("b", "hello 1");
        assertEquals(Step.HAND_OVER, hotRestart.received("b", "ready"));
        assertEquals(Step.NOTHING, hotRestart.received("b", "ready"));
        assertEquals(Step.TAKE_BACK, hotRestart.disconnected("b"));
    }

    @Test
    void twoAtOnceAndTheFirstThatIsReadyTakesTheClients() {
        hotRestart.received("b", "hello 1");
        assertEquals(Step.NOTHING, hotRestart.received("c", "hello 1"));
        assertEquals(Step.HAND_OVER, hotRestart.received("c", "ready"));
        assertEquals(Step.NOTHING, hotRestart.disconnected("b"));
        assertTrue(hotRestart.hasPeer());
    }

    @Test
    void strangersAndOtherVersionsSayNothing() {
        assertEquals(Step.NOTHING, hotRestart.received("x", "ready"));
        assertEquals(Step.NOTHING, hotRestart.received("x", "GET / HTTP/1.1"));
        assertEquals(Step.NOTHING, hotRestart.disconnected("x"));
        assertEquals(Step.SHARE, hotRestart.received("b", "hello 7 and more"));
        assertEquals(Step.NOTHING, hotRestart.received("b", "state {}"));
    }
}
