package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy;
import org.junit.jupiter.api.Test;

/** What an event loop stall changes for requests, endpoint updates and attempts. */
class DispatcherStallTest extends DispatcherFixture {
    /** A wake is 40 ms overdue: the event loop has not polled its sockets for so long. */
    @Test
    void aRequestThatMayHaveBeenUnreadGetsAnEarlierDeadline() {
        policy.neverFails = true;
        dispatcher.wakeAfter(5_000);
        scheduler.stall(45_000);
        dispatch();
        assertEquals(48_000, transport.started.get(0).responseTimeoutMicros);
        scheduler.advance(53_999);
        assertEquals(List.of(), client.responses);
        scheduler.advance(1);
        assertEquals(List.of("failed"), client.responses, "6 ms before its client's time is over");
        dispatch(); // the wake has run: nothing has lain unread
        assertEquals(50_000, transport.started.get(1).responseTimeoutMicros);
    }

    /** Requests and two updates lay unread, and the requests are read first: the last update holds for them. */
    @Test
    void afterAStallEndpointUpdatesAreHandledFirst() {
        dispatcher.startStallDetection();
        scheduler.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 500_000);
        dispatchFor(900_000);
        dispatchFor(900_000);
        dispatcher.updateEndpoints(Policy.ListKind.PARTIAL, new EndpointUpdate(2, false, List.of()));
        dispatcher.updateEndpoints(
                Policy.ListKind.PARTIAL,
                new EndpointUpdate(
                        3,
                        false,
                        List.of(new EndpointUpdate.Endpoint(
                                new Policy.Server("s", Policy.State.DRAINING, 0, 1, 0, 0, 0), null))));
        assertEquals(scheduler.now() - 500_000, transport.lastAnnouncedAtMicros, "it was announced as long ago");
        assertEquals(List.of(), policy.events);
        scheduler.advance(0);
        assertEquals(List.of("list of 0", "list of 1", "request", "request"), policy.events);
        policy.events.clear();
        dispatchFor(900_000); // the loop keeps up: at once
        assertEquals(List.of("request"), policy.events);
    }

    /** The thread stalls within the heartbeat, before or behind each read of the clock: updates lie unread. */
    @Test
    void aStallWithinTheHeartbeatItselfIsNoticed() {
        for (int clockRead = 1; clockRead <= 4; clockRead++) {
            for (boolean before : new boolean[] {true, false}) {
                int[] readsLeft = {Integer.MAX_VALUE};
                VirtualTimeScheduler stallingScheduler = new VirtualTimeScheduler();
                Dispatcher stallingDispatcher = new Dispatcher(
                        stallingScheduler,
                        () -> {
                            boolean stallsNow = --readsLeft[0] == 0;
                            stallingScheduler.stall(stallsNow && before ? 1_300_000 : 0);
                            long micros = stallingScheduler.now();
                            stallingScheduler.stall(stallsNow && !before ? 1_300_000 : 0);
                            return micros;
                        },
                        TestSettings.boot(),
                        new SingleAttemptPolicy(),
                        line -> {});
                stallingDispatcher.attach(new FakeTransport(), EndpointSource.NONE);
                stallingDispatcher.startStallDetection();
                readsLeft[0] = clockRead;
                stallingScheduler.advance(EventLoopStallDetector.HEARTBEAT_MICROS);
                boolean stalled = readsLeft[0] <= 0;
                readsLeft[0] = Integer.MAX_VALUE;
                String where = (before ? "before clock read " : "behind clock read ") + clockRead;
                if (stalled) {
                    assertTrue(stallingDispatcher.mayHaveUnreadUpdates(), where);
                    stallingScheduler.advance(0); // polls the sockets
                    // Its next heartbeat may have been scheduled behind the stall.
                    stallingScheduler.advance(EventLoopStallDetector.HEARTBEAT_MICROS);
                } else {
                    assertTrue(clockRead > 1, "the clock is read");
                }
                assertFalse(stallingDispatcher.mayHaveUnreadUpdates(), where);
            }
        }
    }

    /** After a stall, and on a loop that is late in each iteration, what has waited for a poll may leave. */
    @Test
    void tasksThatWaitedForAPollAreNotDelayedAgain() {
        for (long iterationMicros : new long[] {1_000, 150_000, 700_000}) {
            VirtualTimeScheduler lateScheduler = new VirtualTimeScheduler();
            Dispatcher slowDispatcher = new Dispatcher(
                    lateScheduler, lateScheduler, TestSettings.boot(), new SingleAttemptPolicy(), line -> {});
            slowDispatcher.attach(new FakeTransport(), EndpointSource.NONE);
            slowDispatcher.startStallDetection();
            lateScheduler.stall(1_300_000);
            assertTrue(
                    lateScheduler.now() >= slowDispatcher.unreadDrainDeadlineMicros(),
                    "nothing has been polled for longer than a grace");
            List<Boolean> deadlinePassed = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                slowDispatcher.runAfterUpdates(
                        () -> deadlinePassed.add(lateScheduler.now() >= slowDispatcher.unreadDrainDeadlineMicros()));
                lateScheduler.stall(iterationMicros);
                lateScheduler.advance(0);
            }
            lateScheduler.advance(EventLoopStallDetector.HEARTBEAT_MICROS);
            assertEquals(20, deadlinePassed.size());
            assertFalse(deadlinePassed.contains(true), iterationMicros + ": " + deadlinePassed);
            lateScheduler.stall(1_300_000);
            assertTrue(lateScheduler.now() >= slowDispatcher.unreadDrainDeadlineMicros());
        }
    }

    /** The policy would count its attempt as in flight for ever: one that never began is never reported. */
    @Test
    void aClientThatDisconnectsBeforeThePolicyIsNotifiedIsNeverReported() {
        dispatcher.startStallDetection();
        scheduler.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 500_000);
        dispatchFor(900_000).run();
        scheduler.advance(0);
        assertEquals(List.of(), policy.events);
        assertEquals(List.of(), policy.notifications);
        assertFalse(dispatcher.isOpen("r1"));
        assertEquals(0, dispatcher.pendingResponses());
        scheduler.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 500_000);
        dispatchFor(900_000);
        dispatcher.stopPolicyEvents();
        scheduler.advance(0);
        assertEquals(List.of(), policy.events, "nor is anything after its retirement");
    }

    /** With no wake of the policy pending the heartbeat shows for how long the sockets have not been polled. */
    @Test
    void aStallIsNoticedWithoutWakesOfThePolicy() {
        policy.neverFails = true;
        dispatcher.startStallDetection();
        scheduler.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 40_000);
        dispatch();
        assertEquals(48_000, transport.started.get(0).responseTimeoutMicros);
        scheduler.advance(0); // the heartbeat has run
        dispatch();
        assertEquals(50_000, transport.started.get(1).responseTimeoutMicros);
        assertEquals(List.of(), log);
        scheduler.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 730_000);
        scheduler.advance(0);
        scheduler.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 730_000); // right after that: no second line
        scheduler.advance(0);
        assertEquals(
                List.of("event=event_loop_stalled duration_ms=730"),
                log.stream()
                        .filter(line -> line.startsWith("event=event_loop_stalled"))
                        .toList());
    }
}
