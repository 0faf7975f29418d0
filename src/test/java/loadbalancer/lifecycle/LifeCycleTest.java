package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.lifecycle.LifeCycle.State;
import loadbalancer.lifecycle.LifeCycle.Verdict;
import org.junit.jupiter.api.Test;

/** The states of a process and what follows from each. */
class LifeCycleTest {
    private static final long MS = 1_000_000;

    private static LifeCycle ready() {
        LifeCycle life = new LifeCycle(0);
        life.prepared(0);
        return life;
    }

    @Test
    void anEvacuationEndsReadinessAtOnceAndClosesIdleConnectionsLater() {
        LifeCycle life = ready();
        assertTrue(life.ready() && life.keepsConnections());
        assertEquals(Verdict.DONE, life.evacuate(0));
        assertEquals(Verdict.ALREADY, life.evacuate(MS));
        assertFalse(life.ready() || life.keepsConnections());
        assertTrue(life.accepts(false), "the front still sends some");
        assertEquals(Long.MAX_VALUE, life.maxIdleTime(300 * MS));
        assertEquals(500 * MS, life.maxIdleTime(700 * MS));
        assertEquals(0, life.maxIdleTime(1_700 * MS));
        assertFalse(life.advance(1_500 * MS));
        assertTrue(life.advance(1_700 * MS));
        assertEquals(State.EVACUATED, life.state());
        assertTrue(life.maxIdleTime(9_000 * MS) <= 300 * MS, "who comes all the same does not stay");
        assertEquals(Verdict.DONE, life.rejoin(9_000 * MS));
        assertTrue(life.ready() && life.keepsConnections());
        assertEquals(Verdict.ALREADY, life.rejoin(9_000 * MS));
    }

    @Test
    void evacuatedBeforeItWasReadyItBecomesReadyByRejoiningOnly() {
        LifeCycle life = new LifeCycle(0);
        assertEquals(Verdict.DONE, life.evacuate(0));
        assertFalse(life.prepared(1));
        assertFalse(life.ready());
        life.rejoin(2);
        assertTrue(life.ready());
        LifeCycle early = new LifeCycle(0);
        early.evacuate(0);
        early.rejoin(1);
        assertFalse(early.ready(), "it can't serve yet");
        assertTrue(early.prepared(2));
    }

    @Test
    void itHandsOverAndTakesBackWhenTheSuccessorEnds() {
        LifeCycle life = ready();
        assertTrue(life.handOver(0));
        assertFalse(life.accepts(true) || life.ready() || life.keepsConnections());
        assertEquals(Verdict.NOT_POSSIBLE, life.rejoin(1));
        assertTrue(life.takeBack(2));
        assertTrue(life.accepts(true) && life.ready());
        life.handOver(4);
        life.stop(5);
        assertFalse(life.takeBack(6));
        assertFalse(life.accepts(true));
        assertEquals(State.STOPPING, life.state());
    }

    @Test
    void aSharedListenerIsNotReadBeforeItIsReady() {
        LifeCycle life = new LifeCycle(0);
        assertFalse(life.accepts(true));
        assertTrue(life.accepts(false));
        life.prepared(0);
        assertTrue(life.accepts(true));
    }

    @Test
    void aStoppingProcessAcceptsConnectionsForAWhileAndStaysStopping() {
        LifeCycle life = ready();
        life.evacuate(0);
        life.stop(100 * MS);
        assertEquals(Verdict.NOT_POSSIBLE, life.evacuate(101 * MS));
        assertEquals(Verdict.NOT_POSSIBLE, life.rejoin(101 * MS));
        assertTrue(life.accepts(false));
        assertEquals(Long.MAX_VALUE, life.maxIdleTime(9_000 * MS), "time alone does not tell what has come");
        life.listenerClosed();
        assertFalse(life.accepts(false));
        assertEquals(0, life.maxIdleTime(701 * MS));
    }

    /** Whatever is called in whatever order: never ready while it winds down, never kept then. */
    @Test
    void randomHistoriesKeepWhatFollowsTogether() {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 300; run++) {
            LifeCycle life = new LifeCycle(0);
            List<String> history = new ArrayList<>();
            boolean stopped = false;
            for (long now = 0; now < 6_000 * MS; now += random.nextLong(700 * MS)) {
                int call = random.nextInt(7);
                history.add(now / MS + ":" + call);
                switch (call) {
                    case 0 -> life.prepared(now);
                    case 1 -> life.evacuate(now);
                    case 2 -> life.rejoin(now);
                    case 3 -> life.handOver(now);
                    case 4 -> life.takeBack(now);
                    case 5 -> {
                        if (random.nextInt(8) == 0) {
                            life.stop(now);
                            life.listenerClosed();
                            stopped = true;
                        }
                    }
                    default -> life.advance(now);
                }
                boolean winds = life.state().ordinal() >= State.EVACUATING.ordinal();
                String seen = history + " " + life.state();
                assertFalse(winds && (life.ready() || life.keepsConnections()), seen);
                assertFalse(life.ready() && !life.accepts(true), seen);
                assertEquals(!winds, life.maxIdleTime(now + 700 * MS) == Long.MAX_VALUE, seen);
                assertEquals(stopped, life.state() == State.STOPPING, seen);
            }
        }
    }
}
