package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/** The seams without sockets: a carrier that does what the test says, in virtual time. */
class DispatcherTest {
    private static final class Started implements AttemptTransport.Attempt {
        final AttemptTransport.Listener listener;
        final long wait;
        final long before;
        boolean dialling;
        AttemptTransport.AttemptEffect fate = AttemptTransport.AttemptEffect.MAY_HAVE_RUN;
        boolean givenUp;

        Started(AttemptTransport.Listener listener, long wait, long before) {
            this.before = before;
            this.listener = listener;
            this.wait = wait;
        }

        @Override
        public AttemptTransport.AttemptEffect cancel() {
            givenUp = true;
            return fate;
        }

        @Override
        public boolean withdraw() {
            givenUp |= dialling;
            return dialling;
        }
    }

    private static final class FakeCarrier implements AttemptTransport {
        final List<Started> started = new ArrayList<>();
        final List<ProxyRequest> orders = new ArrayList<>();
        boolean atOnce; // fails within send
        long heard; // of the list last

        @Override
        public void updateEndpoints(EndpointUpdate targets, long now) {
            heard = now;
        }

        @Override
        public Attempt send(String server, ProxyRequest order, long wait, long before, Listener listener) {
            Started next = new Started(listener, wait, before);
            started.add(next);
            orders.add(order);
            if (atOnce) {
                listener.ended(Outcome.NOT_SENT, null, null);
            }
            return next;
        }

        @Override
        public void probe(String server, boolean report, Listener listener) {}

        @Override
        public void closeIdle(String server) {}
    }

    /** Sends each request once, and fails it when the attempt has ended otherwise than well. */
    private static class OneTry implements Policy {
        final List<String> told = new ArrayList<>();
        final List<String> seen = new ArrayList<>(); // lists and requests
        boolean silent;
        boolean mayNotCancel;
        int copies = 1;
        long within = Long.MAX_VALUE;

        @Override
        public void reload(
                long now, Settings settings, List<Integer> formerClasses, List<Integer> formerTenants, Actions out) {}

        @Override
        public void updateEndpoints(long now, ListKind kind, List<Server> servers, Actions out) {
            seen.add("list of " + servers.size());
        }

        @Override
        public void request(
                long now,
                String request,
                int requestClass,
                int tenant,
                String key,
                long timeLeft,
                long work,
                boolean resubmission,
                Actions out) {
            seen.add("request");
            for (int i = 0; i < copies; i++) {
                out.send(request, "s", 50_000, within);
            }
        }

        @Override
        public void outcome(
                long now,
                String request,
                int attempt,
                Outcome outcome,
                long latency,
                boolean closed,
                Load load,
                Actions out) {
            told.add(outcome + (closed ? " closed" : ""));
            if (!closed && !silent) {
                out.fail(request);
            }
        }

        @Override
        public void streamStarted(long now, String request, int attempt, Actions out) {}

        @Override
        public void clientDisconnected(long now, String request, Actions out) {
            told.add("gone");
            if (!mayNotCancel) {
                out.cancel(request, 0);
            }
        }

        @Override
        public void probeCompleted(long now, String server, Outcome outcome, long latency, Load load, Actions out) {}

        @Override
        public void wake(long now, Actions out) {}
    }

    private static final class Answers implements ResponseWriter {
        final List<String> given = new ArrayList<>();
        Runnable unread = () -> {}; // what lies in its connection

        @Override
        public void readConnection() {
            unread.run();
        }

        @Override
        public void serve(UpstreamResponse answer) {
            given.add("served");
        }

        @Override
        public void reject(long retryAfter) {
            given.add("refused");
        }

        @Override
        public void fail() {
            given.add("failed");
        }
    }

    private final VirtualTimeScheduler loop = new VirtualTimeScheduler();
    private final FakeCarrier carrier = new FakeCarrier();
    private final OneTry policy = new OneTry();
    private final Answers answers = new Answers();
    private final List<String> log = new ArrayList<>();
    private final Dispatcher dispatcher = new Dispatcher(loop, loop, boot(), policy, log::add);

    private static SettingsReader.Boot boot() {
        return boot("safe");
    }

    private static SettingsReader.Boot boot(String idempotency) {
        Map<String, String> values = new HashMap<>(Map.of(
                "Balancers",
                "1",
                "Quantum",
                "1000",
                "MembershipMode",
                "push",
                "Classes.count",
                "1",
                "Classes.0.Name",
                "read",
                "Classes.0.Idempotency",
                idempotency,
                "Classes.0.GoalTime",
                "20000",
                "Classes.0.GiveUp",
                "100000",
                "Classes.0.Gain",
                "4",
                "Classes.0.LateShare",
                "0.25"));
        values.putAll(Map.of(
                "Limits.TryLimit",
                "3",
                "Limits.MayDuplicate",
                "true",
                "Limits.Cancel",
                "true",
                "Limits.Probes",
                "false",
                "Rules.AnswerSlack",
                "8000",
                "Rules.DrainGrace",
                "1000000",
                "Rules.ColdFrom",
                "0.3",
                "Rules.RampTime",
                "1",
                "Rules.OverloadFactor",
                "3",
                "Rules.Fall",
                "1"));
        return SettingsReader.read(values, (path, what) -> new IllegalArgumentException(path + what));
    }

    DispatcherTest() {
        dispatcher.attach(carrier, EndpointSource.NONE);
    }

    private Runnable takeFor(long time) {
        return dispatcher.dispatch(
                new ProxyRequest("r1", "GET", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", time, -1, false),
                answers);
    }

    private Runnable take() {
        return dispatcher.dispatch(
                new ProxyRequest("r1", "GET", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", 100_000, -1, false),
                answers);
    }

    private static UpstreamResponse ok() {
        return new UpstreamResponse(200, HeaderFields.NONE, new byte[0]);
    }

    @Test
    void anAnswerInTimeEarnsItsWorthAndALateOneItsShare() {
        take();
        loop.pass(20_000);
        carrier.started.get(0).listener.ended(Outcome.OK, ok(), null);
        take();
        loop.pass(20_001);
        carrier.started.get(1).listener.ended(Outcome.OK, ok(), null);
        assertEquals(List.of("served", "served"), answers.given);
        RequestMetrics.Line all = dispatcher.metrics().all();
        assertEquals(2, all.taken());
        assertEquals(1, all.inTime());
        assertEquals(1, all.late());
        assertEquals(8.0, all.asked());
        assertEquals(5.0, all.earned());
        assertEquals(5.0, dispatcher.metrics().ofClass(0).earned());
        assertEquals(Map.of(Outcome.OK, 2L), dispatcher.metrics().attempts());
    }

    @Test
    void thatAnAttemptNeverRanIsTheCarriersWord() {
        take();
        loop.pass(50_000);
        take();
        carrier.started.get(1).fate = AttemptTransport.AttemptEffect.NEVER_RAN;
        loop.pass(50_000);
        assertEquals(List.of("TIMEOUT", "NOT_SENT"), policy.told);
        assertTrue(carrier.started.get(0).givenUp && carrier.started.get(1).givenUp);
        assertEquals(List.of("failed", "failed"), answers.given);
    }

    @Test
    void aSecondEndOfOneAttemptIsNotTold() {
        take();
        AttemptTransport.Listener listener = carrier.started.get(0).listener;
        listener.ended(Outcome.RESET, null, null);
        listener.ended(Outcome.OK, ok(), null);
        assertEquals(List.of("RESET"), policy.told);
        assertEquals(List.of("failed"), answers.given);
    }

    @Test
    void anAttemptThatEndsWithinItsSendIsToldAfterwards() {
        carrier.atOnce = true;
        take();
        loop.pass(200_000);
        assertEquals(List.of("NOT_SENT"), policy.told);
        assertEquals(List.of("failed"), answers.given);
        assertFalse(dispatcher.isOpen("r1"));
    }

    @Test
    void whereTheModuleIsSilentTheLastResortAnswersInTimeAndNothingIsSentAfterIt() {
        policy.silent = true;
        take();
        loop.pass(100_000 - RequestDeadlines.LAST_RESORT_LEAD_MICROS);
        assertEquals(List.of("failed"), answers.given);
        assertEquals(List.of("last-resort answers: 1"), log);
        assertFalse(dispatcher.isOpen("r1"));
        loop.pass(1_000_000);
        assertEquals(1, answers.given.size());
        assertEquals(1, dispatcher.metrics().failures());
    }

    @Test
    void aClientsCloseThatLiesUnreadIsReadBeforeTheFirstByte() {
        policy.mayNotCancel = true;
        answers.unread = take();
        Started attempt = carrier.started.get(0);
        attempt.dialling = true;
        assertEquals(SendGuard.NOBODY, attempt.listener.awaitedUntil());
        assertTrue(attempt.givenUp);
        assertEquals(List.of("gone", "NOT_SENT closed"), policy.told);
    }

    @Test
    void anAttemptMayBeginForAsLongAsItsClientsCloseWouldBeWithinItsGrace() {
        take();
        long now = loop.now();
        long until = carrier.started.get(0).listener.awaitedUntil();
        assertTrue(until > now && until < now + SendGuard.CLOSE_GRACE);
    }

    @Test
    void aRequestThatMustNotRunTwiceIsNotBegunAgainWhileItMayRun() {
        Dispatcher unsafe = new Dispatcher(loop, loop, boot("unsafe"), policy, log::add);
        unsafe.attach(carrier, EndpointSource.NONE);
        policy.copies = 2;
        unsafe.dispatch(
                new ProxyRequest("r1", "POST", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", 100_000, -1, false),
                answers);
        assertEquals(SendGuard.NOBODY, carrier.started.get(1).listener.awaitedUntil());
        assertEquals(1, unsafe.invariants().count(Invariants.Violation.SECOND_RUN));
        assertEquals(List.of("invariant violated: second_run r1, 1 so far"), log);
        policy.silent = true;
        carrier.started.get(0).listener.ended(Outcome.CONNECT_FAILED, null, null);
        assertTrue(carrier.started.get(1).listener.awaitedUntil() > loop.now(), "the first one never ran");
    }

    @Test
    void whatHasNotBegunIsTakenBackWithItsClientAndWhatHasIsLeftToTheModule() {
        policy.mayNotCancel = true;
        policy.copies = 2;
        Runnable left = take();
        carrier.started.get(0).dialling = true;
        left.run();
        assertTrue(carrier.started.get(0).givenUp, "nothing is sent on for a client that has left");
        assertFalse(carrier.started.get(1).givenUp, "it may be at work, and cancelling is not allowed");
        assertEquals(List.of("gone", "NOT_SENT closed"), policy.told);
        assertTrue(dispatcher.isOpen("r1"), "an attempt of it is out");
        carrier.started.get(1).listener.ended(Outcome.OK, ok(), null);
        assertEquals(List.of("gone", "NOT_SENT closed", "OK closed"), policy.told);
        assertFalse(dispatcher.isOpen("r1"));
        assertEquals(List.of(), answers.given);
    }

    @Test
    void aCopyThatStillDialsIsTakenBackWithTheAnswerOfTheOther() {
        policy.mayNotCancel = true;
        policy.copies = 2;
        take();
        carrier.started.get(1).dialling = true;
        carrier.started.get(0).listener.ended(Outcome.OK, ok(), null);
        assertTrue(carrier.started.get(1).givenUp, "nothing is sent on after the final answer");
        assertEquals(List.of("OK closed", "NOT_SENT closed"), policy.told);
        assertEquals(List.of("served"), answers.given);
        assertFalse(dispatcher.isOpen("r1"));
    }

    @Test
    void anAttemptIsBegunOnlyWhileItMayRunAndIsWaitedFor() {
        policy.within = 30_000;
        take();
        assertEquals(loop.now() + 30_000, carrier.started.get(0).before);
        policy.within = Long.MAX_VALUE;
        take();
        assertEquals(loop.now() + 50_000, carrier.started.get(1).before, "its time-out");
        policy.within = 0;
        take();
        assertEquals(2, carrier.started.size(), "too late at once");
        assertEquals(List.of("NOT_SENT"), policy.told);
    }

    @Test
    void whatIsTakenBehindTheWordToEndIsAnsweredBeforeTheProcessMayBeKilled() {
        dispatcher.beginShutdown(600_000); // the longest deadline is 100 ms
        loop.pass(650_000);
        takeFor(5_000_000);
        assertEquals(
                50_000 - RequestDeadlines.LAST_RESORT_LEAD_MICROS - RequestDeadlines.LAST_ATTEMPT_LEAD_MICROS,
                carrier.started.get(0).wait);
        policy.silent = true;
        loop.pass(50_000 - RequestDeadlines.LAST_RESORT_LEAD_MICROS);
        assertEquals(List.of("failed"), answers.given);
    }

    /** A wake that should have come 40 ms ago: the loop has not looked at its sockets for so long. */
    @Test
    void whatMayHaveLainUnreadIsAnsweredSooner() {
        policy.silent = true;
        dispatcher.wakeAfter(5_000);
        loop.stall(45_000);
        take();
        assertEquals(48_000, carrier.started.get(0).wait);
        loop.pass(53_999);
        assertEquals(List.of(), answers.given);
        loop.pass(1);
        assertEquals(List.of("failed"), answers.given, "6 ms before its client's time is over");
        take(); // the wake has come: nothing has lain unread
        assertEquals(50_000, carrier.started.get(1).wait);
    }

    /** Requests and two lists lay unread, and the requests are read first: they go by the last list. */
    @Test
    void behindAStandstillNewsOfTheListComesFirst() {
        dispatcher.startStallDetection();
        loop.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 500_000);
        takeFor(900_000);
        takeFor(900_000);
        dispatcher.updateEndpoints(Policy.ListKind.PARTIAL, new EndpointUpdate(2, false, List.of()));
        dispatcher.updateEndpoints(
                Policy.ListKind.PARTIAL,
                new EndpointUpdate(
                        3,
                        false,
                        List.of(new EndpointUpdate.Endpoint(
                                new Policy.Server("s", Policy.State.DRAINING, 0, 1, 0, 0, 0), null))));
        assertEquals(loop.now() - 500_000, carrier.heard, "it was told as long ago");
        assertEquals(List.of(), policy.seen);
        loop.pass(0);
        assertEquals(List.of("list of 0", "list of 1", "request", "request"), policy.seen);
        policy.seen.clear();
        takeFor(900_000); // it keeps up again: at once
        assertEquals(List.of("request"), policy.seen);
    }

    /** The thread stands still within the beat, before or behind each look at the clock: news lies unread. */
    @Test
    void aBeatThatStandsStillItselfHidesNothing() {
        for (int look = 1; look <= 4; look++) {
            for (boolean before : new boolean[] {true, false}) {
                int[] left = {Integer.MAX_VALUE};
                VirtualTimeScheduler still = new VirtualTimeScheduler();
                Dispatcher stands = new Dispatcher(
                        still,
                        () -> {
                            boolean now = --left[0] == 0;
                            still.stall(now && before ? 1_300_000 : 0);
                            long read = still.now();
                            still.stall(now && !before ? 1_300_000 : 0);
                            return read;
                        },
                        boot(),
                        new OneTry(),
                        line -> {});
                stands.attach(new FakeCarrier(), EndpointSource.NONE);
                stands.startStallDetection();
                left[0] = look;
                still.pass(EventLoopStallDetector.HEARTBEAT_MICROS);
                boolean stood = left[0] <= 0;
                left[0] = Integer.MAX_VALUE;
                String where = (before ? "before look " : "behind look ") + look;
                if (stood) {
                    assertTrue(stands.mayHaveUnread(), where);
                    still.pass(0); // behind passes over the sockets
                    still.pass(
                            EventLoopStallDetector.HEARTBEAT_MICROS); // its next one may have been asked for behind it
                } else {
                    assertTrue(look > 1, "it looks");
                }
                assertFalse(stands.mayHaveUnread(), where);
            }
        }
    }

    /** Behind a standstill, and on a loop that is late in each turn, what has waited for a pass may leave. */
    @Test
    void whatCameBehindAPassIsNotHeldBackAgain() {
        for (long turn : new long[] {1_000, 150_000, 700_000}) {
            VirtualTimeScheduler late = new VirtualTimeScheduler();
            Dispatcher slow = new Dispatcher(late, late, boot(), new OneTry(), line -> {});
            slow.attach(new FakeCarrier(), EndpointSource.NONE);
            slow.startStallDetection();
            late.stall(1_300_000);
            assertTrue(late.now() >= slow.graceHolds(), "nothing has been looked at for longer than a grace");
            List<Boolean> over = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                slow.afterUpdates(() -> over.add(late.now() >= slow.graceHolds()));
                late.stall(turn);
                late.pass(0);
            }
            late.pass(EventLoopStallDetector.HEARTBEAT_MICROS);
            assertEquals(20, over.size());
            assertFalse(over.contains(true), turn + ": " + over);
            late.stall(1_300_000);
            assertTrue(late.now() >= slow.graceHolds());
        }
    }

    /** The module would count its attempt as out for ever: nobody tells it of one that was never begun. */
    @Test
    void whoeverLeavesBeforeTheModuleHeardOfItIsNotToldToIt() {
        dispatcher.startStallDetection();
        loop.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 500_000);
        takeFor(900_000).run();
        loop.pass(0);
        assertEquals(List.of(), policy.seen);
        assertEquals(List.of(), policy.told);
        assertFalse(dispatcher.isOpen("r1"));
        assertEquals(0, dispatcher.pendingResponses());
        loop.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 500_000);
        takeFor(900_000);
        dispatcher.retire();
        loop.pass(0);
        assertEquals(List.of(), policy.seen, "nor is anything after its retirement");
    }

    /** With no wake of the module's outstanding: the loop's own beat tells for how long it has not looked. */
    @Test
    void whatMayHaveLainUnreadIsKnownWithoutTheModulesWakes() {
        policy.silent = true;
        dispatcher.startStallDetection();
        loop.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 40_000);
        take();
        assertEquals(48_000, carrier.started.get(0).wait);
        loop.pass(0); // the beat has come
        take();
        assertEquals(50_000, carrier.started.get(1).wait);
        assertEquals(List.of(), log);
        loop.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 730_000);
        loop.pass(0);
        loop.stall(EventLoopStallDetector.HEARTBEAT_MICROS + 730_000); // right after that: no second line
        loop.pass(0);
        assertEquals(
                List.of("stood still for 730 ms: what came meanwhile lay unread"),
                log.stream().filter(line -> line.startsWith("stood")).toList());
    }

    @Test
    void aClientThatLeavesIsOwedNothingAndItsAttemptIsGivenUp() {
        Runnable leave = take();
        leave.run();
        assertEquals(List.of("gone", "CANCELLED closed"), policy.told);
        assertTrue(carrier.started.get(0).givenUp);
        loop.pass(1_000_000);
        assertEquals(List.of(), answers.given);
        assertEquals(1, dispatcher.metrics().departures());
        boolean[] idle = new boolean[1];
        dispatcher.whenIdle(() -> idle[0] = true);
        loop.pass(0);
        assertTrue(idle[0]);
    }

    @Test
    void noAttemptOutlivesTheTimeOfItsClient() {
        take();
        assertEquals(50_000, carrier.started.get(0).wait);
        loop.pass(200_000);
        take();
        loop.pass(1);
        assertEquals(2, carrier.started.size());
    }

    /** A long body, of which the test says when it has come. */
    private static final class Body implements BodyStream {
        private Taker taker;

        @Override
        public boolean started() {
            return taker != null;
        }

        @Override
        public void subscribe(Taker to) {
            taker = to;
        }

        @Override
        public void setReady(boolean room) {}

        @Override
        public void cancel() {}
    }

    private ProxyRequest upload(Body body) {
        return new ProxyRequest("u", "POST", "/k", HeaderFields.NONE, new byte[0], 0, 0, null, 400_000, -1, false)
                .withBodyStream(body, 300_000);
    }

    private static final class Nowhere implements BodyStream.Taker {
        @Override
        public void onData(byte[] bytes) {}

        @Override
        public void onComplete() {}

        @Override
        public void onError() {}
    }

    @Test
    void anUploadsTimeCountsFromItsLastByte() {
        Body body = new Body();
        Answers given = new Answers();
        dispatcher.dispatch(upload(body), given);
        carrier.orders.get(0).rest().subscribe(new Nowhere());
        loop.pass(5_000_000);
        assertEquals(List.of(), given.given);
        assertFalse(carrier.started.get(0).givenUp);
        body.taker.onComplete();
        loop.pass(49_000);
        assertFalse(carrier.started.get(0).givenUp);
        loop.pass(2_000);
        assertTrue(carrier.started.get(0).givenUp);
        assertEquals(List.of("failed"), given.given);
    }

    /** The module keeps silent, and so would the guard, if it began with the last byte only. */
    @Test
    void anUploadThatNobodySendsIsAnsweredAllTheSame() {
        Answers given = new Answers();
        carrier.atOnce = true;
        policy.silent = true;
        dispatcher.dispatch(upload(new Body()), given);
        loop.pass(400_000);
        assertEquals(List.of("failed"), given.given);
    }

    @Test
    void anUpstreamThatTakesNoMoreOfAnUploadIsGivenUp() {
        Body body = new Body();
        Answers given = new Answers();
        dispatcher.dispatch(upload(body), given);
        BodyStream rest = carrier.orders.get(0).rest();
        rest.subscribe(new Nowhere());
        carrier.started.get(0).fate = AttemptTransport.AttemptEffect.NEVER_RAN;
        rest.setReady(false);
        loop.pass(9_000_000);
        rest.setReady(true);
        loop.pass(9_000_000);
        assertEquals(List.of(), given.given);
        rest.setReady(false);
        loop.pass(11_000_000);
        assertTrue(carrier.started.get(0).givenUp);
        assertEquals(List.of("NOT_SENT"), policy.told);
        assertEquals(List.of("failed"), given.given);
    }
}
