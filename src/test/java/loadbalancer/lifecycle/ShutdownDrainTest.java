package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.lifecycle.ShutdownDrain.Step;
import org.junit.jupiter.api.Test;

/** When the listener closes and when the process may end, also behind a stall of the process. */
class ShutdownDrainTest {
    private static ShutdownDrain.Observation observation(
            long accepted, long reads, int pendingResponses, int partialRequests, int idle, int unsent) {
        return new ShutdownDrain.Observation(accepted, reads, pendingResponses, partialRequests, idle, unsent);
    }

    @Test
    void theListenerIsOpenUntilTwoPassesHaveFoundNothing() {
        ShutdownDrain drain = new ShutdownDrain();
        assertEquals(Step.GO_ON, drain.observe(observation(4, 0, 0, 0, 0, 0)));
        assertEquals(Step.GO_ON, drain.observe(observation(8, 4, 4, 0, 0, 0)), "four a pass wait to be accepted");
        assertEquals(Step.GO_ON, drain.observe(observation(8, 8, 8, 0, 0, 0)), "what came last is being read");
        assertEquals(Step.GO_ON, drain.observe(observation(8, 8, 8, 0, 0, 0)));
        assertEquals(Step.CLOSE_LISTENER, drain.observe(observation(8, 8, 8, 0, 0, 0)));
    }

    @Test
    void clientsThatKeepConnectingDoNotKeepTheListenerOpen() {
        ShutdownDrain drain = new ShutdownDrain();
        int observations = 1;
        while (drain.observe(observation(observations, observations, 0, 0, 0, 0)) == Step.GO_ON) {
            observations++;
        }
        assertEquals(80, observations);
    }

    @Test
    void itEndsOnceNothingIsPendingIdleOrPartial() {
        ShutdownDrain drain = new ShutdownDrain();
        ShutdownDrain.Observation begin = observation(8, 8, 1, 1, 1, 1);
        for (Step step = Step.GO_ON; step != Step.CLOSE_LISTENER; ) {
            step = drain.observe(begin);
        }
        for (ShutdownDrain.Observation open : List.of(
                observation(8, 8, 1, 0, 0, 0),
                observation(8, 8, 0, 1, 0, 0),
                observation(8, 8, 0, 0, 1, 0),
                observation(8, 8, 0, 0, 0, 1))) {
            for (int i = 0; i < 10; i++) {
                assertEquals(Step.GO_ON, drain.observe(open), open.toString());
            }
        }
        assertEquals(Step.GO_ON, drain.observe(observation(8, 9, 0, 0, 0, 0)), "something has just been read");
        assertEquals(Step.GO_ON, drain.observe(observation(8, 9, 0, 0, 0, 0)));
        assertEquals(Step.END, drain.observe(observation(8, 9, 0, 0, 0, 0)));
    }

    @Test
    void aRequestThatStaysPartialAndAResponseThatNobodyReadsAreGivenUp() {
        ShutdownDrain drain = new ShutdownDrain();
        ShutdownDrain.Observation stuck = observation(1, 1, 0, 1, 0, 1);
        int observations = 1;
        while (drain.observe(stuck) != Step.END) {
            observations++;
        }
        assertEquals(403, observations);
    }

    /** A balancer's machine, its loop and its clients, with a stall of the process at any point. */
    private static final class Machine {
        private static final int ACCEPTS = 4; // a pass
        private final SplittableRandom random;
        private int backlog; // accepted by the machine, each with a request in it
        private int unread; // connections that the loop holds with a request in them
        private int partialRequests;
        private int idleConnections = 3;
        private int pendingResponses;
        private int unsentResponses;
        private long acceptedConnections;
        private long reads;
        private boolean open = true;
        private int lost;

        Machine(long seed) {
            random = new SplittableRandom(seed);
        }

        void clients(int times) {
            for (int i = 0; i < times; i++) {
                if (open && random.nextInt(3) == 0) {
                    backlog++;
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

        void pass() {
            int accepted = Math.min(ACCEPTS, backlog);
            pendingResponses += unread; // of connections that it held before
            reads += unread;
            unread = accepted;
            backlog -= accepted;
            acceptedConnections += accepted;
            if (partialRequests == 0 && accepted > 0 && random.nextInt(4) == 0) {
                unread--;
                partialRequests++; // part of it has arrived
                reads++;
            }
            int answered = pendingResponses == 0 ? 0 : random.nextInt(pendingResponses + 1);
            pendingResponses -= answered;
            unsentResponses = answered;
        }

        ShutdownDrain.Observation observation() {
            return new ShutdownDrain.Observation(
                    acceptedConnections, reads, pendingResponses, partialRequests, idleConnections, unsentResponses);
        }
    }

    /** Whatever its machine accepted is answered, wherever the stall comes; the end comes all the same. */
    @Test
    void nothingIsLostWhereverTheProcessIsStalled() {
        for (int seed = 0; seed < 2_000; seed++) {
            Machine machine = new Machine(seed);
            ShutdownDrain drain = new ShutdownDrain();
            int stallAt = new SplittableRandom(seed).nextInt(40);
            Step step = Step.GO_ON;
            int observations = 0;
            List<String> history = new ArrayList<>();
            while (step != Step.END) {
                assertTrue(observations++ < 600, "no end");
                machine.clients(observations < 20 ? 1 : 0);
                if (observations == stallAt) {
                    machine.clients(200); // the process is stalled, then its timers are due
                }
                machine.pass();
                step = drain.observe(machine.observation());
                history.add(step + " " + machine.observation());
                if (step == Step.CLOSE_LISTENER) {
                    machine.open = false;
                    machine.lost += machine.backlog;
                    machine.idleConnections = 0; // closed, with nothing in them
                }
            }
            machine.lost += machine.unread + machine.pendingResponses + machine.unsentResponses;
            assertEquals(0, machine.lost, () -> String.join("\n", history));
        }
    }
}
