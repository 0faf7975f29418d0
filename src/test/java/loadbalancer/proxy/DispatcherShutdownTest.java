package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

/**
 * The end of forwarding in a graceful shutdown. The failure guarded against: requests were forwarded when the process
 * had decided to end, ran, and got no response.
 */
class DispatcherShutdownTest extends DispatcherFixture {
    /** Sends another attempt whenever one has ended, for as long as the dispatcher accepts any. */
    private static final class RetryingPolicy extends SingleAttemptPolicy {
        @Override
        public void outcome(
                long now,
                String request,
                int attempt,
                Outcome outcome,
                long latencyMicros,
                boolean closed,
                Load load,
                Actions actions) {
            notifications.add(outcome + (closed ? " closed" : ""));
            if (!closed && attempt < 10) {
                actions.send(request, "s", 50_000);
            }
        }
    }

    private static ProxyRequest request(String id) {
        return new ProxyRequest(id, "GET", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", 100_000, -1, false);
    }

    @Test
    void aRequestThatIsReceivedAfterwardsIsRejectedAndNotForwarded() {
        dispatcher.stopForwarding();
        dispatch();
        assertEquals(List.of("rejected"), client.responses);
        assertEquals(List.of(), transport.started);
        assertEquals(0, dispatcher.pendingResponses());
        assertFalse(dispatcher.isOpen("r1"));
        scheduler.advance(1_000_000);
        assertEquals(1, client.responses.size());
    }

    @Test
    void aRequestThatThePolicyHasQueuedIsRejected() {
        policy.attemptsPerRequest = 0;
        dispatch();
        dispatcher.stopForwarding();
        assertEquals(List.of("rejected"), client.responses);
        assertEquals(List.of("disconnected"), policy.notifications);
    }

    @Test
    void anAttemptThatStillConnectsIsWithdrawnAndItsRequestRejected() {
        dispatch();
        transport.started.get(0).connecting = true;
        dispatcher.stopForwarding();
        assertTrue(transport.started.get(0).stopped);
        assertEquals(List.of("rejected"), client.responses);
        assertEquals(SendGuard.NOT_AWAITED, transport.started.get(0).listener.awaitedUntilMicros());
    }

    @Test
    void anAttemptUnderWayIsAwaitedAndItsResponseServed() {
        dispatch();
        dispatcher.stopForwarding();
        assertEquals(List.of(), client.responses);
        transport.started.get(0).listener.ended(Outcome.OK, ok(), null);
        assertEquals(List.of("served"), client.responses);
    }

    @Test
    void noAttemptIsSentAnymoreWhateverTheTransportHasAccepted() {
        dispatch();
        dispatcher.stopForwarding();
        assertEquals(SendGuard.NOT_AWAITED, transport.started.get(0).listener.awaitedUntilMicros());
    }

    /** Whatever the state of requests at that moment: one response each in time, and no attempt starts afterwards. */
    @Test
    void everyRequestGetsOneResponseAndNothingIsForwarded() {
        for (int seed = 0; seed < 500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FakeTransport attempts = new FakeTransport();
            RetryingPolicy retrying = new RetryingPolicy();
            VirtualTimeScheduler time = new VirtualTimeScheduler();
            Dispatcher stopping = new Dispatcher(time, time, TestSettings.boot(), retrying, line -> {});
            stopping.attach(attempts, EndpointSource.NONE);
            List<RecordingResponseWriter> clients = new ArrayList<>();
            List<String> expected = new ArrayList<>();
            int before = random.nextInt(6);
            for (int i = 0; i < before; i++) {
                retrying.attemptsPerRequest = random.nextInt(3);
                clients.add(new RecordingResponseWriter());
                int first = attempts.started.size();
                stopping.dispatch(request("before" + i), clients.get(i));
                boolean sent = false;
                for (FakeTransport.StartedAttempt attempt : attempts.started.subList(first, attempts.started.size())) {
                    attempt.connecting = random.nextBoolean();
                    sent |= !attempt.connecting;
                }
                expected.add(sent ? "pending" : "rejected");
            }
            stopping.stopForwarding();
            int started = attempts.started.size();
            for (int i = before; i < before + 3; i++) {
                clients.add(new RecordingResponseWriter());
                stopping.dispatch(request("after" + i), clients.get(i));
                expected.add("rejected");
            }
            for (int i = 0; i < clients.size(); i++) {
                List<String> responses = clients.get(i).responses;
                assertEquals(
                        expected.get(i).equals("pending") ? List.of() : List.of("rejected"), responses, "seed " + seed);
            }
            for (FakeTransport.StartedAttempt attempt : attempts.started) {
                if (!attempt.stopped) {
                    Outcome[] outcomes = {Outcome.OK, Outcome.FULL, Outcome.RESET, Outcome.TIMEOUT};
                    Outcome outcome = outcomes[random.nextInt(outcomes.length)];
                    attempt.listener.ended(outcome, outcome == Outcome.OK ? ok() : null, null);
                }
            }
            String seedText = "seed " + seed + ", " + retrying.notifications;
            assertEquals(started, attempts.started.size(), seedText);
            for (RecordingResponseWriter response : clients) {
                assertEquals(1, response.responses.size(), seedText);
            }
            assertEquals(0, stopping.pendingResponses(), seedText);
            assertEquals(0, stopping.invariants().count(Invariants.Violation.ILLEGAL_TRANSITION), seedText);
        }
    }

    /** A request whose attempt may have run must not be rejected as harmless to send again. */
    @Test
    void aRequestThatMayHaveRunFailsWhereItCannotBeSentAgain() {
        for (Outcome outcome : List.of(Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)) {
            Dispatcher unsafe =
                    new Dispatcher(scheduler, scheduler, TestSettings.boot("unsafe"), new RetryingPolicy(), log::add);
            unsafe.attach(transport, EndpointSource.NONE);
            RecordingResponseWriter caller = new RecordingResponseWriter();
            unsafe.dispatch(request("u"), caller);
            unsafe.stopForwarding();
            transport.started.get(transport.started.size() - 1).listener.ended(outcome, null, null);
            assertEquals(List.of("failed"), caller.responses, outcome.toString());
        }
    }
}
