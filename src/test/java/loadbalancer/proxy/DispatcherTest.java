package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

/** Requests and attempts without sockets, in virtual time; the tests control the fake transport. */
class DispatcherTest extends DispatcherFixture {
    @Test
    void aResponseInTimeEarnsItsWorthAndALateOneItsShare() {
        dispatch();
        scheduler.advance(20_000);
        transport.started.get(0).listener.ended(Outcome.OK, ok(), null);
        dispatch();
        scheduler.advance(20_001);
        transport.started.get(1).listener.ended(Outcome.OK, ok(), null);
        assertEquals(List.of("served", "served"), client.responses);
        RequestMetrics.Counts all = dispatcher.metrics().all();
        assertEquals(2, all.accepted());
        assertEquals(1, all.inTime());
        assertEquals(1, all.late());
        assertEquals(8.0, all.offeredWorth());
        assertEquals(5.0, all.earnedWorth());
        assertEquals(5.0, dispatcher.metrics().ofClass(0).earnedWorth());
        assertEquals(Map.of(Outcome.OK, 2L), dispatcher.metrics().attempts());
    }

    @Test
    void whetherAnAttemptNeverRanIsDecidedByTheTransport() {
        dispatch();
        scheduler.advance(50_000);
        dispatch();
        transport.started.get(1).effect = AttemptTransport.AttemptEffect.NEVER_RAN;
        scheduler.advance(50_000);
        assertEquals(List.of("TIMEOUT", "NOT_SENT"), policy.notifications);
        assertTrue(transport.started.get(0).stopped && transport.started.get(1).stopped);
        assertEquals(List.of("failed", "failed"), client.responses);
    }

    @Test
    void aSecondOutcomeOfAnAttemptIsIgnored() {
        dispatch();
        AttemptTransport.Listener listener = transport.started.get(0).listener;
        listener.ended(Outcome.RESET, null, null);
        listener.ended(Outcome.OK, ok(), null);
        assertEquals(List.of("RESET"), policy.notifications);
        assertEquals(List.of("failed"), client.responses);
    }

    @Test
    void anAttemptThatEndsWithinItsSendIsReportedAfterwards() {
        transport.failsWithinSend = true;
        dispatch();
        scheduler.advance(200_000);
        assertEquals(List.of("NOT_SENT"), policy.notifications);
        assertEquals(List.of("failed"), client.responses);
        assertFalse(dispatcher.isOpen("r1"));
    }

    @Test
    void whereThePolicyNeverRespondsTheLastResortFailsTheRequestInTime() {
        policy.neverFails = true;
        dispatch();
        scheduler.advance(100_000 - RequestDeadlines.LAST_RESORT_LEAD_MICROS);
        assertEquals(List.of("failed"), client.responses);
        assertEquals(List.of("event=last_resort_responses count=1"), log);
        assertFalse(dispatcher.isOpen("r1"));
        scheduler.advance(1_000_000);
        assertEquals(1, client.responses.size());
        assertEquals(1, dispatcher.metrics().failures());
    }

    @Test
    void anUnreadClientCloseIsReadBeforeTheFirstByte() {
        policy.ignoresDisconnects = true;
        client.unreadClose = dispatch();
        FakeTransport.StartedAttempt attempt = transport.started.get(0);
        attempt.connecting = true;
        assertEquals(SendGuard.NOT_AWAITED, attempt.listener.awaitedUntilMicros());
        assertTrue(attempt.stopped);
        assertEquals(List.of("disconnected", "NOT_SENT closed"), policy.notifications);
    }

    @Test
    void anAttemptMayBeginWithinTheGraceOfAClientClose() {
        dispatch();
        long now = scheduler.now();
        long until = transport.started.get(0).listener.awaitedUntilMicros();
        assertTrue(until > now && until < now + SendGuard.CLOSE_GRACE_MICROS);
    }

    /** The failure guarded against: an attempt that a drain refuses was logged as sent, before the drain was asked. */
    @Test
    void anAttemptThatTheTransportRefusesDoesNotCountAsSent() {
        dispatcher.setRequestLog(RequestLog.of(Map.of(RequestLog.VARIABLE, "on"), log::add));
        dispatch();
        FakeTransport.StartedAttempt attempt = transport.started.get(0);
        assertTrue(attempt.listener.awaitedUntilMicros() > scheduler.now());
        attempt.listener.ended(Outcome.CONNECT_FAILED, null, null);
        assertTrue(log.stream().noneMatch(line -> line.contains("event=attempt_sent ")), log.toString());
    }

    @Test
    void anUnsafeRequestGetsNoSecondAttemptWhileTheFirstMayRun() {
        Dispatcher unsafe = new Dispatcher(scheduler, scheduler, TestSettings.boot("unsafe"), policy, log::add);
        unsafe.attach(transport, EndpointSource.NONE);
        policy.attemptsPerRequest = 2;
        unsafe.dispatch(
                new ProxyRequest("r1", "POST", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", 100_000, -1, false),
                client);
        assertEquals(SendGuard.NOT_AWAITED, transport.started.get(1).listener.awaitedUntilMicros());
        assertEquals(1, unsafe.invariants().count(Invariants.Violation.SECOND_RUN));
        assertEquals(List.of("event=invariant_violated invariant=second_run subject=r1 count=1"), log);
        policy.neverFails = true;
        transport.started.get(0).listener.ended(Outcome.CONNECT_FAILED, null, null);
        assertTrue(
                transport.started.get(1).listener.awaitedUntilMicros() > scheduler.now(),
                "the first attempt never ran");
    }

    @Test
    void aClientDisconnectWithdrawsUnsentAttemptsOnly() {
        policy.ignoresDisconnects = true;
        policy.attemptsPerRequest = 2;
        Runnable disconnect = dispatch();
        transport.started.get(0).connecting = true;
        disconnect.run();
        assertTrue(transport.started.get(0).stopped, "no attempt is sent for a client that has disconnected");
        assertFalse(
                transport.started.get(1).stopped, "a server may run the attempt, and the policy has not cancelled it");
        assertEquals(List.of("disconnected", "NOT_SENT closed"), policy.notifications);
        assertTrue(dispatcher.isOpen("r1"), "an attempt of the request is in flight");
        transport.started.get(1).listener.ended(Outcome.OK, ok(), null);
        assertEquals(List.of("disconnected", "NOT_SENT closed", "OK closed"), policy.notifications);
        assertFalse(dispatcher.isOpen("r1"));
        assertEquals(List.of(), client.responses);
    }

    @Test
    void aHedgedAttemptThatStillConnectsIsWithdrawnWithTheResponse() {
        policy.ignoresDisconnects = true;
        policy.attemptsPerRequest = 2;
        dispatch();
        transport.started.get(1).connecting = true;
        transport.started.get(0).listener.ended(Outcome.OK, ok(), null);
        assertTrue(transport.started.get(1).stopped, "no attempt is sent after the final response");
        assertEquals(List.of("OK closed", "NOT_SENT closed"), policy.notifications);
        assertEquals(List.of("served"), client.responses);
        assertFalse(dispatcher.isOpen("r1"));
    }

    @Test
    void anAttemptBeginsOnlyWithinItsWindowAndTimeout() {
        policy.startWithinMicros = 30_000;
        dispatch();
        assertEquals(scheduler.now() + 30_000, transport.started.get(0).startDeadlineMicros);
        policy.startWithinMicros = Long.MAX_VALUE;
        dispatch();
        assertEquals(
                scheduler.now() + 50_000,
                transport.started.get(1).startDeadlineMicros,
                "limited by the response time-out");
        policy.startWithinMicros = 0;
        dispatch();
        assertEquals(2, transport.started.size(), "the window is over before the attempt starts");
        assertEquals(List.of("NOT_SENT"), policy.notifications);
    }

    @Test
    void requestsDuringShutdownAreAnsweredBeforeTheProcessMayBeKilled() {
        dispatcher.beginShutdown(600_000); // the longest deadline is 100 ms
        scheduler.advance(650_000);
        dispatchFor(5_000_000);
        assertEquals(
                50_000 - RequestDeadlines.LAST_RESORT_LEAD_MICROS - RequestDeadlines.LAST_ATTEMPT_LEAD_MICROS,
                transport.started.get(0).responseTimeoutMicros);
        policy.neverFails = true;
        scheduler.advance(50_000 - RequestDeadlines.LAST_RESORT_LEAD_MICROS);
        assertEquals(List.of("failed"), client.responses);
    }

    @Test
    void aDisconnectedClientGetsNoResponseAndItsAttemptIsGivenUp() {
        Runnable disconnect = dispatch();
        disconnect.run();
        assertEquals(List.of("disconnected", "CANCELLED closed"), policy.notifications);
        assertTrue(transport.started.get(0).stopped);
        scheduler.advance(1_000_000);
        assertEquals(List.of(), client.responses);
        assertEquals(1, dispatcher.metrics().disconnects());
        boolean[] idle = new boolean[1];
        dispatcher.whenIdle(() -> idle[0] = true);
        scheduler.advance(0);
        assertTrue(idle[0]);
    }

    @Test
    void noAttemptOutlivesItsClientsDeadline() {
        dispatch();
        assertEquals(50_000, transport.started.get(0).responseTimeoutMicros);
        scheduler.advance(200_000);
        dispatch();
        scheduler.advance(1);
        assertEquals(2, transport.started.size());
    }
}
