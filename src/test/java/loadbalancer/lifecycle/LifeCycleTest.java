package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.lifecycle.LifeCycle.CommandResult;
import loadbalancer.lifecycle.LifeCycle.State;
import org.junit.jupiter.api.Test;

/** Tests the states of a process and the behaviour that follows from each state. */
class LifeCycleTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static LifeCycle readyLifeCycle() {
        LifeCycle lifeCycle = new LifeCycle(0);
        lifeCycle.markPrepared(0);
        return lifeCycle;
    }

    @Test
    void evacuationEndsReadinessAtOnceAndClosesIdleConnectionsLater() {
        LifeCycle lifeCycle = readyLifeCycle();
        assertTrue(lifeCycle.isReady() && lifeCycle.keepsConnectionsOpen());
        assertEquals(CommandResult.DONE, lifeCycle.evacuate(0));
        assertEquals(CommandResult.NO_CHANGE, lifeCycle.evacuate(NANOS_PER_MILLI));
        assertFalse(lifeCycle.isReady() || lifeCycle.keepsConnectionsOpen());
        assertTrue(lifeCycle.acceptsConnections(false), "clients may still be routed to this process");
        assertEquals(Long.MAX_VALUE, lifeCycle.maxIdleNanos(300 * NANOS_PER_MILLI));
        assertEquals(500 * NANOS_PER_MILLI, lifeCycle.maxIdleNanos(700 * NANOS_PER_MILLI));
        assertEquals(0, lifeCycle.maxIdleNanos(1_700 * NANOS_PER_MILLI));
        assertFalse(lifeCycle.advance(1_500 * NANOS_PER_MILLI));
        assertTrue(lifeCycle.advance(1_700 * NANOS_PER_MILLI));
        assertEquals(State.EVACUATED, lifeCycle.state());
        assertTrue(
                lifeCycle.maxIdleNanos(9_000 * NANOS_PER_MILLI) <= 300 * NANOS_PER_MILLI,
                "connections that are opened after the evacuation time out early");
        assertEquals(CommandResult.DONE, lifeCycle.rejoin(9_000 * NANOS_PER_MILLI));
        assertTrue(lifeCycle.isReady() && lifeCycle.keepsConnectionsOpen());
        assertEquals(CommandResult.NO_CHANGE, lifeCycle.rejoin(9_000 * NANOS_PER_MILLI));
    }

    @Test
    void processEvacuatedWhileStartingBecomesReadyOnlyAfterRejoin() {
        LifeCycle lifeCycle = new LifeCycle(0);
        assertEquals(CommandResult.DONE, lifeCycle.evacuate(0));
        assertFalse(lifeCycle.markPrepared(1));
        assertFalse(lifeCycle.isReady());
        lifeCycle.rejoin(2);
        assertTrue(lifeCycle.isReady());
        LifeCycle notPrepared = new LifeCycle(0);
        notPrepared.evacuate(0);
        notPrepared.rejoin(1);
        assertFalse(notPrepared.isReady(), "the process can't serve yet");
        assertTrue(notPrepared.markPrepared(2));
    }

    @Test
    void processResumesAfterHandOverWhenTheSuccessorEnds() {
        LifeCycle lifeCycle = readyLifeCycle();
        assertTrue(lifeCycle.handOver(0));
        assertFalse(lifeCycle.acceptsConnections(true) || lifeCycle.isReady() || lifeCycle.keepsConnectionsOpen());
        assertEquals(CommandResult.NOT_POSSIBLE, lifeCycle.rejoin(1));
        assertTrue(lifeCycle.resume(2));
        assertTrue(lifeCycle.acceptsConnections(true) && lifeCycle.isReady());
        lifeCycle.handOver(4);
        lifeCycle.stop(5);
        assertFalse(lifeCycle.resume(6));
        assertFalse(lifeCycle.acceptsConnections(true));
        assertEquals(State.STOPPING, lifeCycle.state());
    }

    @Test
    void sharedListenerAcceptsNothingBeforeReady() {
        LifeCycle lifeCycle = new LifeCycle(0);
        assertFalse(lifeCycle.acceptsConnections(true));
        assertTrue(lifeCycle.acceptsConnections(false));
        lifeCycle.markPrepared(0);
        assertTrue(lifeCycle.acceptsConnections(true));
    }

    @Test
    void stoppingProcessAcceptsUntilTheListenerIsClosedAndStaysStopping() {
        LifeCycle lifeCycle = readyLifeCycle();
        lifeCycle.evacuate(0);
        lifeCycle.stop(100 * NANOS_PER_MILLI);
        assertEquals(CommandResult.NOT_POSSIBLE, lifeCycle.evacuate(101 * NANOS_PER_MILLI));
        assertEquals(CommandResult.NOT_POSSIBLE, lifeCycle.rejoin(101 * NANOS_PER_MILLI));
        assertTrue(lifeCycle.acceptsConnections(false));
        assertEquals(
                Long.MAX_VALUE,
                lifeCycle.maxIdleNanos(9_000 * NANOS_PER_MILLI),
                "elapsed time does not show whether all requests have been read");
        lifeCycle.markListenerClosed();
        assertFalse(lifeCycle.acceptsConnections(false));
        assertEquals(0, lifeCycle.maxIdleNanos(701 * NANOS_PER_MILLI));
    }

    /** For any order of calls: a draining process is not ready and keeps no connections open. */
    @Test
    void propertiesMatchTheStateOverRandomHistories() {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 300; run++) {
            LifeCycle lifeCycle = new LifeCycle(0);
            List<String> history = new ArrayList<>();
            boolean stopped = false;
            for (long nowNanos = 0;
                    nowNanos < 6_000 * NANOS_PER_MILLI;
                    nowNanos += random.nextLong(700 * NANOS_PER_MILLI)) {
                int operation = random.nextInt(7);
                history.add(nowNanos / NANOS_PER_MILLI + ":" + operation);
                switch (operation) {
                    case 0 -> lifeCycle.markPrepared(nowNanos);
                    case 1 -> lifeCycle.evacuate(nowNanos);
                    case 2 -> lifeCycle.rejoin(nowNanos);
                    case 3 -> lifeCycle.handOver(nowNanos);
                    case 4 -> lifeCycle.resume(nowNanos);
                    case 5 -> {
                        if (random.nextInt(8) == 0) {
                            lifeCycle.stop(nowNanos);
                            lifeCycle.markListenerClosed();
                            stopped = true;
                        }
                    }
                    default -> lifeCycle.advance(nowNanos);
                }
                boolean draining = lifeCycle.state().ordinal() >= State.EVACUATING.ordinal();
                String description = history + " " + lifeCycle.state();
                assertFalse(draining && (lifeCycle.isReady() || lifeCycle.keepsConnectionsOpen()), description);
                assertFalse(lifeCycle.isReady() && !lifeCycle.acceptsConnections(true), description);
                assertEquals(
                        !draining,
                        lifeCycle.maxIdleNanos(nowNanos + 700 * NANOS_PER_MILLI) == Long.MAX_VALUE,
                        description);
                assertEquals(stopped, lifeCycle.state() == State.STOPPING, description);
            }
        }
    }
}
