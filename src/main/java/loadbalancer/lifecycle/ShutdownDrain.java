package loadbalancer.lifecycle;

/**
 * The last part of a graceful shutdown: decides when the listener is closed and when the process may end.
 *
 * <p>Elapsed time alone is no evidence: a process that was stalled wakes with its timers due while connections and
 * requests that the kernel accepted meanwhile are still unread. The caller therefore observes repeatedly, each time
 * behind a pass of the event loop over its sockets, and the drain advances only after passes that found nothing new.
 * Its limits are counted in observations, so that a stall uses up none of them.
 *
 * <p>Decides without I/O or clock. For one thread.
 */
public final class ShutdownDrain {
    /** What the caller does after an observation. */
    public enum Step {
        /** Observe once more. */
        CONTINUE,
        /** Close the listener, then observe once more. */
        CLOSE_LISTENER,
        /** The process may end. */
        EXIT
    }

    /**
     * The state of the client connections behind one pass over the sockets.
     *
     * @param acceptedConnections connections accepted since the start
     * @param reads reads of clients' bytes since the start
     * @param pendingResponses final responses that have not been handed to their connections
     * @param partialRequests open connections that have sent part of a request
     * @param idleConnections open connections that may still send a request
     * @param unsentResponses open connections whose responses have not been written completely
     */
    public record Observation(
            long acceptedConnections,
            long reads,
            int pendingResponses,
            int partialRequests,
            int idleConnections,
            int unsentResponses) {}

    private enum Phase {
        ACCEPTING,
        LISTENER_CLOSED
    }

    /** Consecutive observations without anything new that end a phase. */
    private static final int UNCHANGED_OBSERVATIONS = 2;
    /** Observations after which the listener is closed even if connections keep being accepted. */
    private static final int MAX_ACCEPTING_OBSERVATIONS = 80;
    /** Observations for which the rest of a partial request is awaited. */
    private static final int MAX_PARTIAL_REQUEST_OBSERVATIONS = 80;
    /** Observations for which unsent responses are awaited. */
    private static final int MAX_UNSENT_RESPONSE_OBSERVATIONS = 400;

    private Phase phase = Phase.ACCEPTING;
    private Observation previous;
    private int observations; // in this phase
    private int unchangedObservations; // in a row, in this phase

    /** Takes an observation made behind a pass over the sockets; none may follow after {@link Step#EXIT}. */
    public Step observe(Observation current) {
        unchangedObservations = isUnchanged(current) ? unchangedObservations + 1 : 0;
        observations++;
        previous = current;
        if (phase == Phase.ACCEPTING) {
            return observeAccepting();
        }
        return isDrained(current) && unchangedObservations >= UNCHANGED_OBSERVATIONS ? Step.EXIT : Step.CONTINUE;
    }

    private boolean isUnchanged(Observation current) {
        return previous != null
                && previous.acceptedConnections() == current.acceptedConnections()
                && previous.reads() == current.reads();
    }

    private Step observeAccepting() {
        if (unchangedObservations < UNCHANGED_OBSERVATIONS && observations < MAX_ACCEPTING_OBSERVATIONS) {
            return Step.CONTINUE;
        }
        phase = Phase.LISTENER_CLOSED;
        observations = 0;
        unchangedObservations = 0;
        return Step.CLOSE_LISTENER;
    }

    private boolean isDrained(Observation current) {
        return current.pendingResponses() == 0
                && current.idleConnections() == 0
                && (current.partialRequests() == 0 || observations >= MAX_PARTIAL_REQUEST_OBSERVATIONS)
                && (current.unsentResponses() == 0 || observations >= MAX_UNSENT_RESPONSE_OBSERVATIONS);
    }
}
