package loadbalancer.lifecycle;

/**
 * The life cycle of a balancer process. The state determines whether the process reports readiness, accepts connections
 * and keeps them open.
 *
 * <p>Evacuation, hot restart and graceful shutdown drain connections in the same way: first, connections are closed
 * after their responses; later, idle connections are closed, as the close of an idle connection may race with a request
 * that the client is sending.
 *
 * <p>Does no I/O. Times are in ns of one monotonic clock that all calls share. Not thread-safe.
 */
public final class LifeCycle {
    /** The states of a process. */
    public enum State {
        /** The process can't serve yet: there is no endpoint list, or the warm-up is still running. */
        STARTING,
        /** The process serves clients. */
        READY,
        /** Operators are moving the clients to other processes; some clients may still arrive. */
        EVACUATING,
        /** The evacuation has ended: the idle connections from before the evacuation are closed. */
        EVACUATED,
        /** A successor accepts the clients; this process completes the requests in flight. */
        HANDING_OVER,
        /** A graceful shutdown: the process ends once all requests are answered. */
        STOPPING
    }

    /** The result of an operator's command. */
    public enum CommandResult {
        /** The command was carried out. */
        DONE,
        /** The process is already in the requested state. */
        NO_CHANGE,
        /** The command is not possible in this state. */
        NOT_POSSIBLE
    }

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Time in ns after the start of a drain during which clients may still open connections and send requests. */
    public static final long DRAIN_LINGER_NANOS = 600 * NANOS_PER_MILLI;

    /** Idle timeout during a drain: a client that has been idle for this long is unlikely to be sending a request. */
    private static final long DRAIN_MAX_IDLE_NANOS = 500 * NANOS_PER_MILLI;

    private static final long EVACUATION_NANOS = 1_600 * NANOS_PER_MILLI;
    /** Idle timeout of connections that are opened after an evacuation. */
    private static final long EVACUATED_MAX_IDLE_NANOS = 200 * NANOS_PER_MILLI;

    private static final long HAND_OVER_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private State state = State.STARTING;
    private long stateEnteredAtNanos;
    private boolean canServe; // endpoint list and warm-up are complete
    private boolean successorAccepts; // a successor accepts new connections
    private boolean listenerClosed; // as part of a graceful shutdown

    /** Creates the life cycle of a process that starts at {@code nowNanos}. */
    public LifeCycle(long nowNanos) {
        stateEnteredAtNanos = nowNanos;
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    private CommandResult enter(State next, long nowNanos) {
        state = next;
        stateEnteredAtNanos = nowNanos;
        return CommandResult.DONE;
    }

    /** Records that the process is able to serve; returns whether it is ready. */
    public boolean markPrepared(long nowNanos) {
        canServe = true;
        if (state == State.STARTING) {
            enter(State.READY, nowNanos);
        }
        return state == State.READY;
    }

    /** Starts an evacuation; a process that is still starting has no clients, and does not become ready. */
    public CommandResult evacuate(long nowNanos) {
        return switch (state) {
            case STARTING -> enter(State.EVACUATED, nowNanos);
            case READY -> enter(State.EVACUATING, nowNanos);
            case EVACUATING, EVACUATED -> CommandResult.NO_CHANGE;
            default -> CommandResult.NOT_POSSIBLE;
        };
    }

    /** Ends an evacuation: the process serves clients as soon as it is able to. */
    public CommandResult rejoin(long nowNanos) {
        return switch (state) {
            case EVACUATING, EVACUATED -> enter(canServe ? State.READY : State.STARTING, nowNanos);
            case STARTING, READY -> CommandResult.NO_CHANGE;
            default -> CommandResult.NOT_POSSIBLE;
        };
    }

    /**
     * Hands the clients over to a successor that is ready.
     *
     * @return false if this process is already handing over or stopping
     */
    public boolean handOver(long nowNanos) {
        successorAccepts = true;
        if (state == State.STOPPING || state == State.HANDING_OVER) {
            return false;
        }
        enter(State.HANDING_OVER, nowNanos);
        return true;
    }

    /** Accepts clients again after the successor has ended; returns false if this process was not handing over. */
    public boolean resume(long nowNanos) {
        if (state != State.HANDING_OVER) {
            return false;
        }
        successorAccepts = false;
        enter(canServe ? State.READY : State.STARTING, nowNanos);
        return true;
    }

    /** Starts a graceful shutdown; idempotent. */
    public void stop(long nowNanos) {
        if (state != State.STOPPING) {
            enter(State.STOPPING, nowNanos);
        }
    }

    /** Records that a graceful shutdown has closed the listener; see {@link ShutdownDrain}. */
    public void markListenerClosed() {
        listenerClosed = state == State.STOPPING;
    }

    /** Ends an evacuation once its time has elapsed; returns whether this call ended it. */
    public boolean advance(long nowNanos) {
        if (state == State.EVACUATING && nowNanos - stateEnteredAtNanos >= EVACUATION_NANOS) {
            enter(State.EVACUATED, nowNanos);
            return true;
        }
        return false;
    }

    /** Returns whether the process reports readiness. */
    public boolean isReady() {
        return state == State.READY;
    }

    /**
     * Returns whether the process accepts connections.
     *
     * @param listenerShared whether the listener is shared with another process; if so, a starting process does not
     *     accept connections
     */
    public boolean acceptsConnections(boolean listenerShared) {
        return switch (state) {
            case STARTING -> !listenerShared;
            case READY, EVACUATING, EVACUATED -> true;
            case HANDING_OVER -> false;
            case STOPPING -> !successorAccepts && !listenerClosed;
        };
    }

    /**
     * Returns whether a successor has taken over, so that the process may end without a signal once it has no
     * connections.
     */
    public boolean mayExit(long nowNanos) {
        return (state == State.HANDING_OVER && nowNanos - stateEnteredAtNanos >= HAND_OVER_NANOS)
                || (state == State.STOPPING && successorAccepts);
    }

    /** Returns whether connections stay open after a response, unless the request or response requires a close. */
    public boolean keepsConnectionsOpen() {
        return state == State.STARTING || state == State.READY;
    }

    /** Returns the idle timeout of client connections in ns; {@link Long#MAX_VALUE} if the state sets no limit. */
    public long maxIdleNanos(long nowNanos) {
        long ageNanos = nowNanos - stateEnteredAtNanos;
        return switch (state) {
            case STARTING, READY -> NO_LIMIT;
            case EVACUATING -> drainMaxIdleNanos(ageNanos, EVACUATION_NANOS);
            case EVACUATED -> EVACUATED_MAX_IDLE_NANOS;
            case HANDING_OVER -> drainMaxIdleNanos(ageNanos, HAND_OVER_NANOS);
            case STOPPING -> stoppingMaxIdleNanos();
        };
    }

    private static long drainMaxIdleNanos(long ageNanos, long drainNanos) {
        if (ageNanos < DRAIN_LINGER_NANOS) {
            return NO_LIMIT;
        }
        return ageNanos < drainNanos ? DRAIN_MAX_IDLE_NANOS : 0;
    }

    private long stoppingMaxIdleNanos() {
        if (listenerClosed) {
            return 0;
        }
        return successorAccepts ? DRAIN_MAX_IDLE_NANOS : NO_LIMIT;
    }
}
