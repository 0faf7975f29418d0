package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerModelTest implements ServerModel.Told {
    private static final Scenario.Cold COLD = new Scenario.Cold(0.5, 1_000_000, 3, 100_000, 1);
    private final List<String> told = new ArrayList<>();
    private final ServerModel box = new ServerModel(new Scenario.Boxes("b", 1, 2, 2.0, 1, "a", "m", 1), COLD, 0);

    @Override
    public void begun(ServerModel.Job job, long at) {
        told.add(at + " " + job.order + " begun");
    }

    @Override
    public void done(ServerModel.Job job, long at) {
        told.add(at + " " + job.order + " done");
    }

    private ServerModel.Job job(String order, long work) {
        return new ServerModel.Job(order, work, null);
    }

    @Test
    void twoRunOneWaitsAndTheNextIsTurnedAway() {
        assertTrue(box.arrive(job("a", 2_000), 0, this));
        assertTrue(box.arrive(job("b", 4_000), 0, this));
        assertTrue(box.arrive(job("c", 1_000), 0, this));
        assertFalse(box.arrive(job("d", 1_000), 0, this));
        assertEquals(1_000, box.next());
        box.advance(10_000, this);
        assertEquals(
                List.of("0 a begun", "0 b begun", "1000 a done", "1000 c begun", "1500 c done", "2000 b done"), told);
        assertEquals(Long.MAX_VALUE, box.next());
    }

    @Test
    void whoGivesUpAWaitingOneKeepsItFromRunningForGood() {
        box.arrive(job("a", 2_000), 0, this);
        box.arrive(job("b", 2_000), 0, this);
        ServerModel.Job waiting = job("c", 1_000);
        box.arrive(waiting, 0, this);
        box.forget(waiting);
        box.advance(10_000, this);
        assertEquals(List.of("0 a begun", "0 b begun", "1000 a done", "1000 b done"), told);
    }

    @Test
    void aStalledBoxTakesInAndFinishesNothingUntilItGoesOn() {
        box.arrive(job("a", 2_000), 0, this);
        box.stall(true, 500, this);
        box.arrive(job("b", 2_000), 600, this);
        box.advance(50_000, this);
        assertEquals(List.of("0 a begun"), told);
        box.stall(false, 50_000, this);
        box.advance(60_000, this);
        assertEquals(List.of("0 a begun", "50000 b begun", "50500 a done", "51000 b done"), told);
    }

    @Test
    void aColdBoxIsSlowAndOnePushedTooHardFalls() {
        box.start(0);
        assertEquals(0.5, box.warmth(0));
        assertEquals(0.75, box.warmth(500_000));
        box.arrive(job("a", 2_000), 0, this);
        box.advance(10_000, this);
        assertEquals(List.of("0 a begun", "2000 a done"), told);
        // It may get 3 times 2 cores at speed 2 and warmth 0.5 for 0.1 s, and a quarter more for chance.
        for (int i = 0; i < 74; i++) {
            box.arrive(job("x", 10_000), 10_000, this);
        }
        assertFalse(box.isPushedOver(10_000));
        for (int i = 0; i < 5; i++) {
            box.arrive(job("x", 10_000), 10_000, this);
        }
        assertTrue(box.isPushedOver(10_000));
        assertFalse(box.isPushedOver(2_000_000));
        assertEquals(3, box.die().size());
        assertEquals(0, box.inFlight());
    }

    @Test
    void aCellDropsARepeatWithinItsWindowOnly() {
        IdempotencyKeys cell = new IdempotencyKeys();
        assertTrue(cell.first("k", 1_000, 0));
        assertFalse(cell.first("k", 1_000, 999));
        assertTrue(cell.first("k", 1_000, 1_000));
    }
}
