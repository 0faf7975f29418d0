package loadbalancer.discovery;

/**
 * How long discovery is waited for, and since when its news may count as told. The clock is the platform's: a
 * watch holds a line every 2 s; what a silent one misses counts as told 6 s after it fell silent, whether it
 * arrived or not; where lists are pushed an agent on this machine answers at once, and what it has counts as
 * told whether a watch is open or not. Decides without I/O; times in ms of one clock.
 */
final class WatchTimeout {
    // Two lines are missing. The new watch has the rest of the 6 s to bring what the old one missed.
    private static final long MISSING = 4_500;
    private static final long UNANSWERED = 5_000; // a call that waits its turn at a discovery that is asked
    private static final long AT_ONCE = 700; // an agent does not keep anybody waiting
    private static final long TOLD = 6_000;
    private static final long NOT_AGAIN = 1_000; // between watches that are begun anew at once
    private static final long PAUSE = 500;
    /** Of {@link #next}: it is told as a failure, and whoever asked decides when to ask again. */
    static final long TELL = -1;

    private static final long SPREAD = 1_000; // over which all balancers begin anew at one discovery

    private final boolean pushed;
    private final long turn;
    private long againAt = Long.MIN_VALUE / 2; // when one was begun anew at once last
    private long blindSince = -1; // from when on something may have been told unheard

    /**
     * One of a fleet's.
     *
     * @param pushed lists come from an agent on this machine
     * @param rank its balancer's number among {@code balancers}, from 0: where one discovery is asked by all
     *     and falls silent for all, they take turns
     */
    WatchTimeout(boolean pushed, int rank, int balancers) {
        this.pushed = pushed;
        this.turn = pushed ? 0 : SPREAD * rank / balancers;
    }

    /** How long a call may say nothing; {@code answered}: it has brought what it was made for. */
    long most(boolean answered) {
        return answered ? MISSING : pushed ? AT_ONCE : UNANSWERED;
    }

    /** Whether a call that has said nothing for so long stays open beside the next one. */
    boolean patient(long age) {
        return pushed && age < UNANSWERED;
    }

    /** The watch has ended at {@code now}, of its silence or otherwise; heard last at {@code heard}. */
    void broke(long now, long heard, boolean silent) {
        if (blindSince < 0 && (pushed || silent)) {
            blindSince = silent ? heard + TOLD : now;
        }
    }

    /**
     * A watch has ended: in how many ms the next one begins, or {@link #TELL}. A silent one that is asked for
     * is no failure of its call, and there is a list to catch up with; where lists are pushed nobody asks.
     *
     * @param answered it had brought what it was made for
     */
    long next(long now, boolean answered, boolean silent) {
        return pushed || answered && silent ? pause(now, answered) : TELL;
    }

    /** In how many ms a watch is begun anew, where one has ended that had been {@code answered}. */
    long pause(long now, boolean answered) {
        if (answered && now - againAt >= NOT_AGAIN) {
            againAt = now;
            return turn;
        }
        return PAUSE;
    }

    /** A watch has brought its first list: for how long that may have counted as told. */
    long toldFor(long now) {
        long since = blindSince;
        blindSince = -1;
        return since < 0 ? 0 : Math.max(0, now - since);
    }
}
