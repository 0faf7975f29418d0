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
        assertEquals(Step.SHARE, succession.said("b", "hello 1"));
        assertTrue(succession.shares());
        assertEquals(Step.ALONE, succession.ended("b"));
        assertFalse(succession.shares());
    }

    @Test
    void oneThatDiesAfterItWasReadyGivesTheClientsBack() {
        succession.said("b", "hello 1");
        assertEquals(Step.HAND_OVER, succession.said("b", "ready"));
        assertEquals(Step.NOTHING, succession.said("b", "ready"));
        assertEquals(Step.TAKE_BACK, succession.ended("b"));
    }

    @Test
    void twoAtOnceAndTheFirstThatIsReadyTakesTheClients() {
        succession.said("b", "hello 1");
        assertEquals(Step.NOTHING, succession.said("c", "hello 1"));
        assertEquals(Step.HAND_OVER, succession.said("c", "ready"));
        assertEquals(Step.NOTHING, succession.ended("b"));
        assertTrue(succession.shares());
    }

    @Test
    void strangersAndOtherVersionsSayNothing() {
        assertEquals(Step.NOTHING, succession.said("x", "ready"));
        assertEquals(Step.NOTHING, succession.said("x", "GET / HTTP/1.1"));
        assertEquals(Step.NOTHING, succession.ended("x"));
        assertEquals(Step.SHARE, succession.said("b", "hello 7 and more"));
        assertEquals(Step.NOTHING, succession.said("b", "state {}"));
    }
}
