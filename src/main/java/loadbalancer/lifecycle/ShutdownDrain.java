package loadbalancer.lifecycle;

/**
 * The last phase of a graceful shutdown: decides when the listener is closed, until when requests that are received are
 * forwarded, and when the process may end.
 *
 * <p>Elapsed time alone does not show that all requests have been read: after a stall of the process, its timers are
 * due while connections and requests that the kernel accepted during the stall are still unread. The caller therefore
 * makes repeated observations, each after a pass of the event loop over its sockets, and the drain advances only after
 * passes that found nothing new. The limits are numbers of observations, so that a stall does not use them up; where
 * passes are long, as beside a crowd, fewer suffice once the time for which the limit stands has been spent in passes.
 *
 * <p>Requests that have been received in part are awaited while there is time to forward them. From {@link
 * Step#STOP_FORWARDING} on nothing is forwarded: what is complete later is rejected and the rest is refused, so that no
 * request is under way at an upstream when the process ends.
 *
 * <p>Does no I/O and uses no clock. Not thread-safe.
 */
public final class ShutdownDrain {
    /** The action that the caller has to take after an observation. */
    public enum Step {
        /** Make another observation. */
        CONTINUE,
        /** Close the listener, then make another observation. */
        CLOSE_LISTENER,
        /** Forward nothing from now on, and refuse partial requests before each further observation. */
        STOP_FORWARDING,
        /** The process may end. */
        EXIT
    }

    /**
     * The state of the client connections after one pass over the sockets.
     *
     * @param acceptedConnections connections accepted since the start
     * @param reads reads from client connections since the start
     * @param pendingResponses final responses that have not been passed to their connections
     * @param partialRequests open connections that have sent part of a request, whether or not it has been refused
     * @param idleConnections open connections that may still send a request
     * @param unsentResponses open connections whose responses have not been written completely
     * @param atNanos when the observation was made, by a monotonic clock
     */
    public record Observation(
            long acceptedConnections,
            long reads,
            int pendingResponses,
            int partialRequests,
            int idleConnections,
            int unsentResponses,
            long atNanos) {}

    private enum Phase {
        ACCEPTING,
        LISTENER_CLOSED,
        FORWARDING_STOPPED
    }

    /** Number of consecutive unchanged observations that end a phase. */
    private static final int UNCHANGED_OBSERVATIONS = 2;
    /**
     * Number of observations after which changes are not waited for any longer: the listener is closed even if new
     * connections are still accepted, and forwarding stops even if clients go on sending after their last response.
     */
    private static final int MAX_CHANGED_OBSERVATIONS = 80;
    /** The time for which changes are waited for in a phase, where requests have long deadlines. */
    private static final long MAX_CHANGED_NANOS = 400_000_000;
    /** The number of them that suffices when that time has elapsed. */
    private static final int MIN_LONG_OBSERVATIONS = 16;
    /** Time between two observations that counts as a pass over the sockets; what exceeds it is a stall. */
    private static final long MAX_PASS_NANOS = 50_000_000;
    /** Part of the longest deadline that is left for the last responses and the end of the process. */
    private static final long EXIT_NANOS = 100_000_000;
    /** The number of phases that share the rest of the longest deadline. */
    private static final int WAITING_PHASES = 2;
    /** Number of observations in a phase after which the time for forwarding may end it: what came has been read. */
    private static final int MIN_OBSERVATIONS = 2;
    /** How long refused clients may take to read their responses before the process ends. */
    private static final long MAX_REFUSED_NANOS = 100_000_000;
    /**
     * Number of observations for which the write of unsent responses is awaited. They are made at intervals of at least
     * 5 ms, so this is longer than a client may go without reading: its connection is closed before.
     */
    private static final int MAX_UNSENT_RESPONSE_OBSERVATIONS = 3_600;

    private final long forwardingEndsAtNanos;
    private final long maxChangedNanos; // in a phase
    private Phase phase = Phase.ACCEPTING;
    private Observation previous;
    private int observations; // in this phase
    private int unchangedObservations; // in a row, in this phase
    private long phaseBeganNanos;
    private long passNanos; // of all passes in this phase

    /**
     * Creates a drain in its first phase. Its phases wait for changes no longer than requests may take, as the process
     * is killed the sooner, the shorter their deadlines are.
     *
     * @param forwardingEndsAtNanos until when requests may be forwarded, by the clock of the observations
     * @param longestDeadlineNanos the longest deadline of a request
     */
    public ShutdownDrain(long forwardingEndsAtNanos, long longestDeadlineNanos) {
        this.forwardingEndsAtNanos = forwardingEndsAtNanos;
        long drainNanos = longestDeadlineNanos - EXIT_NANOS;
        maxChangedNanos = Math.min(MAX_CHANGED_NANOS, drainNanos / WAITING_PHASES);
    }

    /** Processes an observation made after a pass over the sockets; no call may follow {@link Step#EXIT}. */
    public Step observe(Observation current) {
        unchangedObservations = isUnchanged(current) ? unchangedObservations + 1 : 0;
        if (observations++ == 0) {
            phaseBeganNanos = current.atNanos();
        } else {
            passNanos += Math.min(MAX_PASS_NANOS, current.atNanos() - previous.atNanos());
        }
        previous = current;
        return switch (phase) {
            case ACCEPTING -> isSettled() ? enter(Phase.LISTENER_CLOSED, Step.CLOSE_LISTENER) : Step.CONTINUE;
            case LISTENER_CLOSED ->
                mayStopForwarding(current) ? enter(Phase.FORWARDING_STOPPED, Step.STOP_FORWARDING) : Step.CONTINUE;
            case FORWARDING_STOPPED -> mayExit(current) ? Step.EXIT : Step.CONTINUE;
        };
    }

    private Step enter(Phase next, Step step) {
        phase = next;
        observations = 0;
        unchangedObservations = 0;
        passNanos = 0;
        return step;
    }

    private boolean isUnchanged(Observation current) {
        return previous != null
                && previous.acceptedConnections() == current.acceptedConnections()
                && previous.reads() == current.reads();
    }

    /** Whether nothing has changed for a while, or changes are not waited for any longer in this phase. */
    private boolean isSettled() {
        return unchangedObservations >= UNCHANGED_OBSERVATIONS
                || observations >= MAX_CHANGED_OBSERVATIONS
                || (observations >= MIN_LONG_OBSERVATIONS && passNanos >= maxChangedNanos);
    }

    private boolean isForwardingOver(Observation current) {
        return observations >= MIN_OBSERVATIONS && current.atNanos() - forwardingEndsAtNanos >= 0;
    }

    private boolean mayStopForwarding(Observation current) {
        boolean drained =
                current.pendingResponses() == 0 && current.idleConnections() == 0 && current.partialRequests() == 0;
        return (drained && isSettled()) || isForwardingOver(current);
    }

    private boolean mayExit(Observation current) {
        boolean refused = current.partialRequests() == 0 || current.atNanos() - phaseBeganNanos >= MAX_REFUSED_NANOS;
        return observations >= MIN_OBSERVATIONS
                && current.pendingResponses() == 0
                && current.idleConnections() == 0
                && refused
                && (current.unsentResponses() == 0 || observations >= MAX_UNSENT_RESPONSE_OBSERVATIONS);
    }
}
