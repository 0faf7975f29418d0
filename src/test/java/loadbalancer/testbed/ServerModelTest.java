package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerModelTest implements ServerModel.Listener {
    private static final Scenario.SlowStart SLOW_START = new Scenario.SlowStart(0.5, 1_000_000, 3, 100_000, 1);
    private final List<String> events = new ArrayList<>();
    private final ServerModel model =
            new ServerModel(new Scenario.ServerGroup("b", 1, 2, 2.0, 1, "a", "m", 1), SLOW_START, 0);

    @Override
    public void started(ServerModel.Job job, long at) {
        events.add(at + " " + job.requestId + " begun");
    }

    @Override
    public void completed(ServerModel.Job job, long at) {
        events.add(at + " " + job.requestId + " done");
    }

    private ServerModel.Job job(String request, long work) {
        return new ServerModel.Job(request, work, null);
    }

    @Test
    void aJobBeyondTheCoresWaitsAndOneBeyondTheQueueIsDeclined() {
        assertTrue(model.arrive(job("a", 2_000), 0, this));
        assertTrue(model.arrive(job("b", 4_000), 0, this));
        assertTrue(model.arrive(job("c", 1_000), 0, this));
        assertFalse(model.arrive(job("d", 1_000), 0, this));
        assertEquals(1_000, model.next());
        model.advance(10_000, this);
        assertEquals(
                List.of("0 a begun", "0 b begun", "1000 a done", "1000 c begun", "1500 c done", "2000 b done"), events);
        assertEquals(Long.MAX_VALUE, model.next());
    }

    @Test
    void aCancelledWaitingJobNeverStarts() {
        model.arrive(job("a", 2_000), 0, this);
        model.arrive(job("b", 2_000), 0, this);
        ServerModel.Job waiting = job("c", 1_000);
        model.arrive(waiting, 0, this);
        model.cancel(waiting);
        model.advance(10_000, this);
        assertEquals(List.of("0 a begun", "0 b begun", "1000 a done", "1000 b done"), events);
    }

    @Test
    void aStalledServerAcceptsJobsAndCompletesNoneUntilItContinues() {
        model.arrive(job("a", 2_000), 0, this);
        model.stall(true, 500, this);
        model.arrive(job("b", 2_000), 600, this);
        model.advance(50_000, this);
        assertEquals(List.of("0 a begun"), events);
        model.stall(false, 50_000, this);
        model.advance(60_000, this);
        assertEquals(List.of("0 a begun", "50000 b begun", "50500 a done", "51000 b done"), events);
    }

    @Test
    void slowStartLowersTheSpeedAndTooMuchLoadOverloads() {
        model.start(0);
        assertEquals(0.5, model.warmth(0));
        assertEquals(0.75, model.warmth(500_000));
        model.arrive(job("a", 2_000), 0, this);
        model.advance(10_000, this);
        assertEquals(List.of("0 a begun", "2000 a done"), events);
        // It may get 3 times 2 cores at speed 2 and warmth 0.5 for 0.1 s, and a quarter more for chance.
        for (int i = 0; i < 74; i++) {
            model.arrive(job("x", 10_000), 10_000, this);
        }
        assertFalse(model.isOverloadedWhileWarmingUp(10_000));
        for (int i = 0; i < 5; i++) {
            model.arrive(job("x", 10_000), 10_000, this);
        }
        assertTrue(model.isOverloadedWhileWarmingUp(10_000));
        assertFalse(model.isOverloadedWhileWarmingUp(2_000_000));
        assertEquals(3, model.kill().size());
        assertEquals(0, model.inFlight());
    }

    @Test
    void aKeyIsRememberedWithinItsTimeToLiveOnly() {
        IdempotencyKeys keys = new IdempotencyKeys();
        assertTrue(keys.firstUse("k", 1_000, 0, 0));
        assertFalse(keys.firstUse("k", 1_000, 999, 999));
        assertTrue(keys.firstUse("k", 1_000, 1_000, 1_000));
    }
}
