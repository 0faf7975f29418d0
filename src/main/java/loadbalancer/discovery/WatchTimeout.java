package loadbalancer.discovery;

/**
 * How long a silent discovery service is waited for, when a lost watch is replaced, and since when an update that
 * arrives late may count as notified. The platform sets the times: a watch sends a line every 2 s; an update that a
 * silent watch misses counts as notified 6 s after the last line, whether it arrived or not. Where lists are pushed,
 * an agent on this machine responds at once, and its list counts as notified whether a watch is open or not. Decides
 * without I/O; for one thread; times in ms of one clock.
 */
final class WatchTimeout {
    /** Why a call to the discovery service ended before it was complete. */
    enum EndCause {
        /** Nothing was received for {@link #maxSilenceMillis}. */
        SILENCE,
        /** The connection failed or was closed, or a list could not be used. */
        DISCONNECT
    }

    /** Of {@link #nextWatchDelayMillis}: reported as a failure, and the policy decides when to try again. */
    static final long REPORT_FAILURE = -1;

    // Two lines are missing. What is left of the 6 s is for the next watch to bring what this one missed.
    private static final long MAX_SILENCE_MILLIS = 4_500;
    private static final long MAX_RESPONSE_DELAY_MILLIS = 5_000; // may queue at a service that all balancers call
    private static final long MAX_AGENT_RESPONSE_DELAY_MILLIS = 700;
    private static final long MISSED_UPDATE_NOTIFIED_MILLIS = 6_000;
    private static final long MIN_IMMEDIATE_RESTART_INTERVAL_MILLIS = 1_000;
    private static final long RESTART_BACKOFF_MILLIS = 500;
    private static final long RESTART_SPREAD_MILLIS = 1_000; // over which all balancers reconnect to one service

    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long NO_MISSED_UPDATE = -1;

    private final boolean pushed;
    private final long restartOffsetMillis;
    private long lastImmediateRestartAtMillis = NEVER;
    /** The earliest time at which a missed update counted as notified. */
    private long missedNotifiedAtMillis = NO_MISSED_UPDATE;

    /**
     * The timeouts of one load balancer of a fleet.
     *
     * @param pushed whether lists are pushed by an agent on this machine
     * @param rank the number of this load balancer among {@code balancers}, from 0: where one service serves all and
     *     falls silent for all, they reconnect one after the other
     */
    WatchTimeout(boolean pushed, int rank, int balancers) {
        this.pushed = pushed;
        this.restartOffsetMillis = pushed ? 0 : RESTART_SPREAD_MILLIS * rank / balancers;
    }

    /**
     * How long nothing may be received on a call.
     *
     * @param answered whether it has brought a list
     */
    long maxSilenceMillis(boolean answered) {
        if (answered) {
            return MAX_SILENCE_MILLIS;
        }
        return pushed ? MAX_AGENT_RESPONSE_DELAY_MILLIS : MAX_RESPONSE_DELAY_MILLIS;
    }

    /** Whether a watch without a response after so long stays open while another one is opened. */
    boolean keepsUnansweredWatch(long ageMillis) {
        return pushed && ageMillis < MAX_RESPONSE_DELAY_MILLIS;
    }

    /** A watch that had brought a list has ended; something was last received on it at {@code lastReceivedAtMillis}. */
    void watchEnded(long nowMillis, long lastReceivedAtMillis, EndCause cause) {
        boolean silent = cause == EndCause.SILENCE;
        if (missedNotifiedAtMillis < 0 && (pushed || silent)) {
            missedNotifiedAtMillis = silent ? lastReceivedAtMillis + MISSED_UPDATE_NOTIFIED_MILLIS : nowMillis;
        }
    }

    /**
     * In how many ms the next watch begins after one has ended, or {@link #REPORT_FAILURE}. A watch that fell silent
     * after a list is no failure of its request, and there are updates to catch up with; where lists are pushed the
     * policy has requested nothing.
     *
     * @param answered whether the watch had brought a list
     */
    long nextWatchDelayMillis(long nowMillis, boolean answered, EndCause cause) {
        boolean restarts = pushed || (answered && cause == EndCause.SILENCE);
        return restarts ? restartDelayMillis(nowMillis, answered) : REPORT_FAILURE;
    }

    /** In how many ms a watch is replaced that had brought a list, or had not; at once only now and then. */
    long restartDelayMillis(long nowMillis, boolean answered) {
        if (answered && nowMillis - lastImmediateRestartAtMillis >= MIN_IMMEDIATE_RESTART_INTERVAL_MILLIS) {
            lastImmediateRestartAtMillis = nowMillis;
            return restartOffsetMillis;
        }
        return RESTART_BACKOFF_MILLIS;
    }

    /** A watch has brought its first list: for how long it may have counted as notified. Later calls return 0. */
    long takeNotifiedForMillis(long nowMillis) {
        long notifiedAtMillis = missedNotifiedAtMillis;
        missedNotifiedAtMillis = NO_MISSED_UPDATE;
        return notifiedAtMillis < 0 ? 0 : Math.max(0, nowMillis - notifiedAtMillis);
    }
}
