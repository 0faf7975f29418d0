package loadbalancer.discovery;

/**
 * Decides when a silent watch is considered lost, when a lost watch is replaced, and since when an update that arrives
 * late may count as notified. The platform defines the times: a watch receives a line every 2 s, and the platform
 * considers a balancer as notified of an update 6 s after the last line of a silent watch, even if the update was not
 * received. If lists are pushed, an agent on the same machine responds immediately, and its list counts as notified
 * whether or not a watch is open. Does no I/O; not thread-safe; times are in ms of one clock.
 */
final class WatchTimeout {
    /** The reason for which a call to the discovery service ended before it was complete. */
    enum EndCause {
        /** Nothing was received within {@link #maxSilenceMillis}. */
        SILENCE,
        /** The connection failed or was closed, or a list could not be used. */
        DISCONNECT
    }

    /** Result of {@link #nextWatchDelayMillis}: report a failure, and let the policy decide when to retry. */
    static final long REPORT_FAILURE = -1;

    // By now two lines are missing. The remainder of the 6 s is left for the next watch to receive missed updates.
    private static final long MAX_SILENCE_MILLIS = 4_500;
    private static final long MAX_RESPONSE_DELAY_MILLIS = 5_000; // requests of all balancers may queue at one service
    private static final long MAX_AGENT_RESPONSE_DELAY_MILLIS = 700;
    private static final long MISSED_UPDATE_NOTIFIED_MILLIS = 6_000;
    private static final long MIN_IMMEDIATE_RESTART_INTERVAL_MILLIS = 1_000;
    private static final long RESTART_BACKOFF_MILLIS = 500;
    private static final long RESTART_SPREAD_MILLIS = 1_000; // over which all balancers reconnect to a shared service

    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long NO_MISSED_UPDATE = -1;

    private final boolean pushed;
    private final long restartOffsetMillis;
    private long lastImmediateRestartAtMillis = NEVER;
    /** The earliest time at which a missed update counted as notified. */
    private long missedNotifiedAtMillis = NO_MISSED_UPDATE;

    /**
     * Creates the timeouts of one load balancer of a fleet.
     *
     * @param pushed whether lists are pushed by an agent on the same machine
     * @param rank the rank of this load balancer among {@code balancers}, from 0: if a service that is shared by all
     *     balancers becomes silent, they reconnect one after the other in the order of their ranks
     */
    WatchTimeout(boolean pushed, int rank, int balancers) {
        this.pushed = pushed;
        this.restartOffsetMillis = pushed ? 0 : RESTART_SPREAD_MILLIS * rank / balancers;
    }

    /**
     * Returns how long a call may receive nothing before it is considered lost.
     *
     * @param answered whether the call has received a list
     */
    long maxSilenceMillis(boolean answered) {
        if (answered) {
            return MAX_SILENCE_MILLIS;
        }
        return pushed ? MAX_AGENT_RESPONSE_DELAY_MILLIS : MAX_RESPONSE_DELAY_MILLIS;
    }

    /** Returns whether an unanswered watch of age {@code ageMillis} stays open while another one is opened. */
    boolean keepsUnansweredWatch(long ageMillis) {
        return pushed && ageMillis < MAX_RESPONSE_DELAY_MILLIS;
    }

    /** Records the end of a watch that had received a list, and data last at {@code lastReceivedAtMillis}. */
    void watchEnded(long nowMillis, long lastReceivedAtMillis, EndCause cause) {
        boolean silent = cause == EndCause.SILENCE;
        if (missedNotifiedAtMillis < 0 && (pushed || silent)) {
            missedNotifiedAtMillis = silent ? lastReceivedAtMillis + MISSED_UPDATE_NOTIFIED_MILLIS : nowMillis;
        }
    }

    /**
     * Returns the delay until the next watch after one has ended, or {@link #REPORT_FAILURE}. The request of a watch
     * that became silent after a list did not fail, and missed updates have to be received; if lists are pushed, the
     * policy has made no request that could fail.
     *
     * @param answered whether the watch had received a list
     */
    long nextWatchDelayMillis(long nowMillis, boolean answered, EndCause cause) {
        boolean restarts = pushed || (answered && cause == EndCause.SILENCE);
        return restarts ? restartDelayMillis(nowMillis, answered) : REPORT_FAILURE;
    }

    /**
     * Returns the delay until a watch is replaced. The backoff is omitted for a watch that had received a list, but at
     * most once per {@link #MIN_IMMEDIATE_RESTART_INTERVAL_MILLIS}.
     *
     * @param answered whether the watch had received a list
     */
    long restartDelayMillis(long nowMillis, boolean answered) {
        if (answered && nowMillis - lastImmediateRestartAtMillis >= MIN_IMMEDIATE_RESTART_INTERVAL_MILLIS) {
            lastImmediateRestartAtMillis = nowMillis;
            return restartOffsetMillis;
        }
        return RESTART_BACKOFF_MILLIS;
    }

    /** Returns for how long the first list of a watch may have counted as notified; further calls return 0. */
    long takeNotifiedForMillis(long nowMillis) {
        long notifiedAtMillis = missedNotifiedAtMillis;
        missedNotifiedAtMillis = NO_MISSED_UPDATE;
        return notifiedAtMillis < 0 ? 0 : Math.max(0, nowMillis - notifiedAtMillis);
    }
}
