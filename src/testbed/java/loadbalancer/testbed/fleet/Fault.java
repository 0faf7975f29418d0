package loadbalancer.testbed.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A fault of some of a fleet's balancers; times in µs, {@code atMicros} from the beginning of the load. Does no
 * I/O.
 *
 * @param share of the balancers that it affects, above 0; one at least
 * @param durationMicros until a stalled one continues, or one that has ended is restarted
 */
public record Fault(long atMicros, Kind kind, double share, long durationMicros) {
    /** The kinds of faults. */
    public enum Kind {
        /** It is stalled: SIGSTOP, then SIGCONT. */
        STALL,
        /** It is killed: SIGKILL. */
        KILL,
        /** It is shut down gracefully: SIGTERM. */
        STOP
    }

    /** The places of the balancers that it affects among so many, drawn from the seed, its time and its kind. */
    @SuppressWarnings("EnumOrdinal") // part of the seed: the same plan affects the same members
    public List<Integer> affected(int balancers, long seed) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < balancers; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(seed * 31 + atMicros * 7 + kind.ordinal()));
        List<Integer> affected =
                new ArrayList<>(all.subList(0, Math.max(1, Math.min(balancers, (int) Math.round(share * balancers)))));
        Collections.sort(affected);
        return affected;
    }
}
