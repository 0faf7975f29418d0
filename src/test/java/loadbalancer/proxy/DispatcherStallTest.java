package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy;
import org.junit.jupiter.api.Test;

/** The effects of an event loop stall on requests, endpoint updates and attempts. */
class DispatcherStallTest extends DispatcherFixture {
    /** A wake-up of the policy is 40 ms overdue, so the event loop has not polled its sockets for 40 ms. */
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
        assertEquals(List.of("failed"), client.responses, "6 ms before the client's deadline");
        dispatch(); // the wake-up has run: no data was unread
        assertEquals(50_000, transport.started.get(1).responseTimeoutMicros);
    }

    /** Requests and two updates are unread, and the requests are read first: they must see the last update. */
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
        assertEquals(
                scheduler.now() - 500_000,
                transport.lastAnnouncedAtMicros,
                "the update may have been announced 500 ms ago");
        assertEquals(List.of(), policy.events);
        scheduler.advance(0);
        assertEquals(List.of("list of 0", "list of 1", "request", "request"), policy.events);
        policy.events.clear();
        dispatchFor(900_000); // the loop is not stalled: handled immediately
        assertEquals(List.of("request"), policy.events);
    }

    /** The thread stalls within the heartbeat, before or after each read of the clock; updates may be unread then. */
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
                String where = (before ? "before clock read " : "after clock read ") + clockRead;
                if (stalled) {
                    assertTrue(stallingDispatcher.mayHaveUnreadUpdates(), where);
                    stallingScheduler.advance(0); // polls the sockets
                    // The next heartbeat may have been scheduled after the stall.
                    stallingScheduler.advance(EventLoopStallDetector.HEARTBEAT_MICROS);
                } else {
                    assertTrue(clockRead > 1, "the heartbeat reads the clock at least once");
                }
                assertFalse(stallingDispatcher.mayHaveUnreadUpdates(), where);
            }
        }
    }

    /** After a stall, and on a loop that is late in each iteration, attempts that waited for a poll may be sent. */
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
                    "the last poll is longer ago than the drain grace");
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

    /** The policy would count the attempt as in flight for ever, since an attempt that never starts never ends. */
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
        assertEquals(List.of(), policy.events, "no event after stopPolicyEvents()");
    }

    /** Without a pending wake-up of the policy, the heartbeat tells for how long the sockets have not been polled. */
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
        scheduler.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 730_000); // right after the first: not logged
        scheduler.advance(0);
        assertEquals(
                List.of("event=event_loop_stalled duration_ms=730"),
                log.stream()
                        .filter(line -> line.startsWith("event=event_loop_stalled"))
                        .toList());
    }
}
