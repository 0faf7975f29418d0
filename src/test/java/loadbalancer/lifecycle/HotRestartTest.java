package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.lifecycle.HotRestart.Step;
import org.junit.jupiter.api.Test;

class HotRestartTest {
    private final HotRestart succession = new HotRestart();

    @Test
    void oneThatDiesBeforeItIsReadyChangesNothing() {
        assertEquals(Step.SHARE, succession.received("b", "hello 1"));
        assertTrue(succession.hasPeer());
        assertEquals(Step.ALONE, succession.disconnected("b"));
        assertFalse(succession.hasPeer());
    }

    @Test
    void oneThatDiesAfterItWasReadyGivesTheClientsBack() {
        succession.received("b", "hello 1");
        assertEquals(Step.HAND_OVER, succession.received("b", "ready"));
        assertEquals(Step.NOTHING, succession.received("b", "ready"));
        assertEquals(Step.TAKE_BACK, succession.disconnected("b"));
    }

    @Test
    void twoAtOnceAndTheFirstThatIsReadyTakesTheClients() {
        succession.received("b", "hello 1");
        assertEquals(Step.NOTHING, succession.received("c", "hello 1"));
        assertEquals(Step.HAND_OVER, succession.received("c", "ready"));
        assertEquals(Step.NOTHING, succession.disconnected("b"));
        assertTrue(succession.hasPeer());
    }

    @Test
    void strangersAndOtherVersionsSayNothing() {
        assertEquals(Step.NOTHING, succession.received("x", "ready"));
        assertEquals(Step.NOTHING, succession.received("x", "GET / HTTP/1.1"));
        assertEquals(Step.NOTHING, succession.disconnected("x"));
        assertEquals(Step.SHARE, succession.received("b", "hello 7 and more"));
        assertEquals(Step.NOTHING, succession.received("b", "state {}"));
    }
}
