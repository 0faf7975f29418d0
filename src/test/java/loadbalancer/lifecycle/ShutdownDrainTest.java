package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.lifecycle.ShutdownDrain.Step;
import org.junit.jupiter.api.Test;

class ShutdownDrainTest {
    private static ShutdownDrain.Observation sight(
            long comers, long reads, int owed, int halves, int resting, int unsent) {
        return new ShutdownDrain.Observation(comers, reads, owed, halves, resting, unsent);
    }

    @Test
    void theListenerIsOpenUntilTwoPassesHaveFoundNothing() {
        ShutdownDrain last = new ShutdownDrain();
        assertEquals(Step.GO_ON, last.observe(sight(4, 0, 0, 0, 0, 0)));
        assertEquals(Step.GO_ON, last.observe(sight(8, 4, 4, 0, 0, 0)), "four a pass wait to be accepted");
        assertEquals(Step.GO_ON, last.observe(sight(8, 8, 8, 0, 0, 0)), "what came last is being read");
        assertEquals(Step.GO_ON, last.observe(sight(8, 8, 8, 0, 0, 0)));
        assertEquals(Step.CLOSE_LISTENER, last.observe(sight(8, 8, 8, 0, 0, 0)));
    }

    @Test
    void whoeverComesWithoutEndDoesNotKeepItOpen() {
        ShutdownDrain last = new ShutdownDrain();
        int looks = 1;
        while (last.observe(sight(looks, looks, 0, 0, 0, 0)) == Step.GO_ON) {
            looks++;
        }
        assertEquals(80, looks);
    }

    @Test
    void itEndsOnceNothingIsOwedAndNothingRestsOrIsHalfThere() {
        ShutdownDrain last = new ShutdownDrain();
        ShutdownDrain.Observation begin = sight(8, 8, 1, 1, 1, 1);
        for (Step step = Step.GO_ON; step != Step.CLOSE_LISTENER; ) {
            step = last.observe(begin);
        }
        for (ShutdownDrain.Observation open : List.of(
                sight(8, 8, 1, 0, 0, 0), sight(8, 8, 0, 1, 0, 0), sight(8, 8, 0, 0, 1, 0), sight(8, 8, 0, 0, 0, 1))) {
            for (int i = 0; i < 10; i++) {
                assertEquals(Step.GO_ON, last.observe(open), open.toString());
            }
        }
        assertEquals(Step.GO_ON, last.observe(sight(8, 9, 0, 0, 0, 0)), "something has just been read");
        assertEquals(Step.GO_ON, last.observe(sight(8, 9, 0, 0, 0, 0)));
        assertEquals(Step.END, last.observe(sight(8, 9, 0, 0, 0, 0)));
    }

    @Test
    void aRequestWhoseRestNeverComesAndAnAnswerThatNobodyReadsEndInTheEnd() {
        ShutdownDrain last = new ShutdownDrain();
        ShutdownDrain.Observation stuck = sight(1, 1, 0, 1, 0, 1);
        int looks = 1;
        while (last.observe(stuck) != Step.END) {
            looks++;
        }
        assertEquals(403, looks);
    }

    /** A balancer's machine, its loop and its clients, with a stall of the process at any point. */
    private static final class Machine {
        private static final int ACCEPTS = 4; // a pass
        private final SplittableRandom random;
        private int backlog; // accepted by the machine, each with a request in it
        private int unread; // connections that the loop holds with a request in them
        private int halves;
        private int resting = 3;
        private int owed;
        private int unsent;
        private long comers;
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
                if (resting > 0 && random.nextInt(4) == 0) {
                    resting--;
                    unread++;
                }
                if (halves > 0 && random.nextInt(4) == 0) {
                    halves--;
                    unread++;
                }
            }
        }

        void pass() {
            int accepted = Math.min(ACCEPTS, backlog);
            owed += unread; // of connections that it held before
            reads += unread;
            unread = accepted;
            backlog -= accepted;
            comers += accepted;
            if (halves == 0 && accepted > 0 && random.nextInt(4) == 0) {
                unread--;
                halves++; // half of it has come
                reads++;
            }
            int answered = owed == 0 ? 0 : random.nextInt(owed + 1);
            owed -= answered;
            unsent = answered;
        }

        ShutdownDrain.Observation sight() {
            return new ShutdownDrain.Observation(comers, reads, owed, halves, resting, unsent);
        }
    }

    /** Whatever its machine accepted is answered, wherever the stall comes; the end comes all the same. */
    @Test
    void nothingIsLostWhereverItStandsStill() {
        for (int seed = 0; seed < 2_000; seed++) {
            Machine machine = new Machine(seed);
            ShutdownDrain last = new ShutdownDrain();
            int stallAt = new SplittableRandom(seed).nextInt(40);
            Step step = Step.GO_ON;
            int looks = 0;
            List<String> history = new ArrayList<>();
            while (step != Step.END) {
                assertTrue(looks++ < 600, "no end");
                machine.clients(looks < 20 ? 1 : 0);
                if (looks == stallAt) {
                    machine.clients(200); // it stands still, then its timers are due
                }
                machine.pass();
                step = last.observe(machine.sight());
                history.add(step + " " + machine.sight());
                if (step == Step.CLOSE_LISTENER) {
                    machine.open = false;
                    machine.lost += machine.backlog;
                    machine.resting = 0; // closed, with nothing in them
                }
            }
            machine.lost += machine.unread + machine.owed + machine.unsent;
            assertEquals(0, machine.lost, () -> String.join("\n", history));
        }
    }
}
