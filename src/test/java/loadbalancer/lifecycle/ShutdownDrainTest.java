package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.lifecycle.ShutdownDrain.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when the listener is closed and when the process may end, including after a stall of the process. */
class ShutdownDrainTest {
    private static final long LONGEST_DEADLINE_NANOS = 3_000_000_000L;
    private static final long INTERVAL_NANOS = 5_000_000; // of observations, at least
    private static final long FORWARDING_NANOS = LONGEST_DEADLINE_NANOS - 200_000_000; // from the first observation

    private static ShutdownDrain drain() {
        return new ShutdownDrain(FORWARDING_NANOS, LONGEST_DEADLINE_NANOS);
    }

    private static ShutdownDrain.Observation observation(
            long accepted, long reads, int pendingResponses, int partialRequests, int idle, int unsent) {
        return new ShutdownDrain.Observation(accepted, reads, pendingResponses, partialRequests, idle, unsent, 0);
    }

    @Test
    void listenerClosesAfterTwoUnchangedObservations() {
        ShutdownDrain drain = drain();
        assertEquals(Step.CONTINUE, drain.observe(observation(4, 0, 0, 0, 0, 0)));
        assertEquals(
                Step.CONTINUE,
                drain.observe(observation(8, 4, 4, 0, 0, 0)),
                "new connections were accepted, four per pass");
        assertEquals(
                Step.CONTINUE,
                drain.observe(observation(8, 8, 8, 0, 0, 0)),
                "the requests of the last connections have just been read");
        assertEquals(Step.CONTINUE, drain.observe(observation(8, 8, 8, 0, 0, 0)));
        assertEquals(Step.CLOSE_LISTENER, drain.observe(observation(8, 8, 8, 0, 0, 0)));
    }

    @Test
    void continuousNewConnectionsDoNotKeepTheListenerOpen() {
        ShutdownDrain drain = drain();
        int observations = 1;
        while (drain.observe(observation(observations, observations, 0, 0, 0, 0)) == Step.CONTINUE) {
            observations++;
        }
        assertEquals(80, observations);
    }

    @Test
    void forwardingStopsOnceNothingIsPendingIdleOrPartial() {
        ShutdownDrain drain = drain();
        ShutdownDrain.Observation busy = observation(8, 8, 1, 1, 1, 1);
        for (Step step = Step.CONTINUE; step != Step.CLOSE_LISTENER; ) {
            step = drain.observe(busy);
        }
        for (ShutdownDrain.Observation open :
                List.of(observation(8, 8, 1, 0, 0, 0), observation(8, 8, 0, 1, 0, 0), observation(8, 8, 0, 0, 1, 0))) {
            for (int i = 0; i < 10; i++) {
                assertEquals(Step.CONTINUE, drain.observe(open), open.toString());
            }
        }
        assertEquals(Step.CONTINUE, drain.observe(observation(8, 9, 0, 0, 0, 0)), "something has just been read");
        assertEquals(Step.CONTINUE, drain.observe(observation(8, 9, 0, 0, 0, 0)));
        assertEquals(Step.STOP_FORWARDING, drain.observe(observation(8, 9, 0, 0, 0, 0)));
    }

    @Test
    void theProcessEndsOnceNothingIsPendingIdlePartialOrUnsent() {
        ShutdownDrain drain = drain();
        for (Step step = Step.CONTINUE; step != Step.STOP_FORWARDING; ) {
            step = drain.observe(observation(8, 8, 0, 0, 0, 0));
        }
        for (ShutdownDrain.Observation open : List.of(
                observation(8, 8, 1, 0, 0, 0),
                observation(8, 8, 0, 1, 0, 0),
                observation(8, 8, 0, 0, 1, 0),
                observation(8, 8, 0, 0, 0, 1))) {
            for (int i = 0; i < 10; i++) {
                assertEquals(Step.CONTINUE, drain.observe(open), open.toString());
            }
        }
        assertEquals(Step.EXIT, drain.observe(observation(8, 9, 0, 0, 0, 0)));
    }

    @Test
    void drainEndsDespiteAStuckPartialRequestAndAnUnreadResponse() {
        ShutdownDrain drain = drain();
        int observations = 1;
        while (drain.observe(new ShutdownDrain.Observation(1, 1, 0, 1, 0, 1, observations * INTERVAL_NANOS))
                != Step.EXIT) {
            observations++;
        }
        // 3 until the listener closes, then until 2.8 s have passed, then those for which an unsent response is
        // awaited.
        assertEquals(560 + 3_600, observations);
    }

    /**
     * The failure guarded against: a crowd that went on sending kept the process until it was killed. Beside a crowd a
     * pass over the sockets takes tens of milliseconds.
     */
    @ParameterizedTest
    @ValueSource(longs = {5, 13, 30, 60})
    void clientsThatGoOnSendingPartsOfRequestsDoNotKeepTheProcess(long passMillis) {
        ShutdownDrain drain = drain();
        long nowNanos = 0;
        for (int reads = 1; step(drain, reads, nowNanos) != Step.EXIT; reads++) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(passMillis);
            assertTrue(nowNanos <= LONGEST_DEADLINE_NANOS, "the drain does not end");
        }
    }

    /**
     * The failure guarded against: the process ended while clients were writing their requests, 1.7 s and more before
     * it would have been killed, and forwarded the last of them without answering them.
     */
    @ParameterizedTest
    @ValueSource(longs = {500, 800, 1_500, 2_500, 3_000})
    void partialRequestsAreAwaitedWhileThereIsTimeToForwardThem(long deadlineMillis) {
        long deadlineNanos = TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
        long forwardingNanos = deadlineNanos - TimeUnit.MILLISECONDS.toNanos(200);
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long completeAtNanos = random.nextLong(deadlineNanos);
            long passNanos = INTERVAL_NANOS + random.nextLong(20_000_000);
            ShutdownDrain drain = new ShutdownDrain(forwardingNanos, deadlineNanos);
            long stoppedAtNanos = -1;
            long nowNanos = 0;
            for (Step step = Step.CONTINUE; step != Step.STOP_FORWARDING; nowNanos += passNanos) {
                int partial = nowNanos < completeAtNanos ? 1 : 0;
                step = drain.observe(new ShutdownDrain.Observation(1, 1, 0, partial, 0, 0, nowNanos));
                stoppedAtNanos = nowNanos;
            }
            assertTrue(
                    stoppedAtNanos >= Math.min(completeAtNanos, forwardingNanos),
                    "seed " + seed + ": stopped after " + stoppedAtNanos + " ns");
            assertTrue(
                    stoppedAtNanos <= Math.max(forwardingNanos, completeAtNanos) + 5 * passNanos
                            && stoppedAtNanos <= forwardingNanos + 5 * passNanos,
                    "seed " + seed + ": goes on until " + stoppedAtNanos + " ns");
        }
    }

    /** The platform kills the process the sooner, the shorter the deadlines are. */
    @ParameterizedTest
    @ValueSource(longs = {500, 600, 800, 3_000})
    void theDrainEndsBeforeTheLongestDeadlineHasElapsed(long deadlineMillis) {
        long deadlineNanos = TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
        long maxNanos = deadlineNanos - TimeUnit.MILLISECONDS.toNanos(80);
        ShutdownDrain drain = new ShutdownDrain(deadlineNanos - TimeUnit.MILLISECONDS.toNanos(200), deadlineNanos);
        long nowNanos = 0;
        for (int reads = 1; step(drain, reads, nowNanos) != Step.EXIT; reads++) {
            assertTrue(nowNanos <= maxNanos, "the drain does not end");
            nowNanos += INTERVAL_NANOS;
        }
    }

    private static Step step(ShutdownDrain drain, long reads, long nowNanos) {
        return drain.observe(new ShutdownDrain.Observation(1, reads, 0, 3, 0, 0, nowNanos));
    }

    /** Simulates the kernel and the event loop of a balancer, and its clients. */
    private static final class SimulatedBalancer {
        private static final int ACCEPTS_PER_PASS = 4;
        private final SplittableRandom random;
        private int acceptBacklog; // connections that the kernel has accepted, with one unread request each
        private int unread; // connections that the loop has accepted, with one unread request each
        private int partialRequests;
        private int idleConnections = 3;
        private int pendingResponses;
        private int unsentResponses;
        private long acceptedConnections;
        private long reads;
        private boolean listening = true;
        private boolean forwarding = true;
        private int underWay; // requests that have been forwarded and not answered
        private long nowNanos;
        private int lostRequests;

        SimulatedBalancer(long seed) {
            random = new SplittableRandom(seed);
        }

        void simulateClients(int rounds) {
            for (int i = 0; i < rounds; i++) {
                if (listening && random.nextInt(3) == 0) {
                    acceptBacklog++;
                }
                if (idleConnections > 0 && random.nextInt(4) == 0) {
                    idleConnections--;
                    unread++;
                }
                if (partialRequests > 0 && random.nextInt(4) == 0) {
                    partialRequests--;
                    unread++;
                }
            }
        }

        void runLoopPass() {
            int accepted = Math.min(ACCEPTS_PER_PASS, acceptBacklog);
            pendingResponses += unread; // on connections that were accepted in earlier passes
            reads += unread;
            unread = accepted;
            acceptBacklog -= accepted;
            acceptedConnections += accepted;
            if (partialRequests == 0 && accepted > 0 && random.nextInt(4) == 0) {
                unread--;
                partialRequests++; // only part of the request has arrived
                reads++;
            }
            int answered = pendingResponses == 0 ? 0 : random.nextInt(pendingResponses + 1);
            pendingResponses -= answered;
            unsentResponses = answered;
            underWay = forwarding ? pendingResponses : Math.min(underWay, pendingResponses);
            nowNanos += INTERVAL_NANOS;
        }

        void stopForwarding() {
            forwarding = false;
        }

        // Refused clients read their responses and close.
        void refusePartialRequests() {
            if (!forwarding) {
                partialRequests = 0;
            }
        }

        ShutdownDrain.Observation observation() {
            return new ShutdownDrain.Observation(
                    acceptedConnections,
                    reads,
                    pendingResponses,
                    partialRequests,
                    idleConnections,
                    unsentResponses,
                    nowNanos);
        }
    }

    /**
     * Every request that the kernel has accepted is answered, regardless of when the process stalls, and the shutdown
     * ends. The failure guarded against: after a stall, timers are due before the requests that arrived have been read.
     */
    @Test
    void noRequestIsLostWhereverTheProcessStalls() {
        for (int seed = 0; seed < 2_000; seed++) {
            SimulatedBalancer balancer = new SimulatedBalancer(seed);
            ShutdownDrain drain = drain();
            int stalledObservation = new SplittableRandom(seed).nextInt(40);
            Step step = Step.CONTINUE;
            int observations = 0;
            List<String> history = new ArrayList<>();
            while (step != Step.EXIT) {
                assertTrue(observations++ < 600, "the drain does not end");
                balancer.simulateClients(observations < 20 ? 1 : 0);
                if (observations == stalledObservation) {
                    balancer.simulateClients(200); // the process stalls while clients go on, then its timers are due
                    balancer.nowNanos += TimeUnit.MILLISECONDS.toNanos(new SplittableRandom(seed).nextInt(4_000));
                }
                balancer.runLoopPass();
                balancer.refusePartialRequests();
                step = drain.observe(balancer.observation());
                history.add(step + " " + balancer.observation());
                if (step == Step.CLOSE_LISTENER) {
                    balancer.listening = false;
                    balancer.lostRequests += balancer.acceptBacklog;
                    balancer.idleConnections = 0; // closed by the balancer, without unread requests
                } else if (step == Step.STOP_FORWARDING) {
                    balancer.stopForwarding();
                }
            }
            balancer.lostRequests += balancer.unread + balancer.pendingResponses + balancer.unsentResponses;
            assertEquals(0, balancer.underWay, () -> String.join("\n", history));
            assertEquals(0, balancer.lostRequests, () -> String.join("\n", history));
        }
    }
}
