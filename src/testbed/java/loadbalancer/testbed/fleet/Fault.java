package loadbalancer.testbed.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Something that befalls part of a fleet's balancers; times in µs, {@code at} from the beginning of the load.
 * No I/O.
 *
 * @param share of the balancers, above 0; one at least
 * @param lasting until a stalled one goes on, or one that has ended is started again
 */
public record Fault(long at, What what, double share, long lasting) {
    /** What may befall a balancer. */
    public enum What {
        /** It stands still: SIGSTOP, then SIGCONT. */
        STALL,
        /** It dies: SIGKILL. */
        KILL,
        /** It ends in order: SIGTERM. */
        STOP
    }

    /** Whom it strikes among so many, in order: drawn by the seed, and by its own time and kind. */
    public List<Integer> struck(int balancers, long seed) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < balancers; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(seed * 31 + at * 7 + what.ordinal()));
        List<Integer> struck =
                new ArrayList<>(all.subList(0, Math.max(1, Math.min(balancers, (int) Math.round(share * balancers)))));
        Collections.sort(struck);
        return struck;
    }
}
