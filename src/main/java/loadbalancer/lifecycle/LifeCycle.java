package loadbalancer.lifecycle;

/**
 * The life cycle of a balancer's process, and what follows from its state: whether it reports readiness, accepts
 * connections and keeps them open.
 *
 * <p>Evacuation, hot restart and graceful shutdown drain connections in the same way: responses close their
 * connections first; idle connections are closed later, since each such close may cross a request on its way.
 *
 * <p>Decides without I/O. Times are ns of one monotonic clock that all calls share. For one thread.
 */
public final class LifeCycle {
    /** The states of a process. */
    public enum State {
        /** It can't serve yet: no endpoint list, or the warm-up still runs. */
        STARTING,
        /** It serves clients. */
        READY,
        /** Operators are moving its clients elsewhere; some may still arrive. */
        EVACUATING,
        /** The evacuation has ended: no connection from before it is left idle. */
        EVACUATED,
        /** A successor accepts the clients; requests in flight are answered. */
        HANDING_OVER,
        /** A graceful shutdown: it ends once all requests are answered. */
        STOPPING
    }

    /** The result of an operator's command. */
    public enum CommandResult {
        /** Carried out. */
        DONE,
        /** Nothing to do: the state is the one asked for. */
        NO_CHANGE,
        /** Not possible in this state. */
        NOT_POSSIBLE
    }

    private static final long NANOS_PER_MILLI = 1_000_000; // in ns
    /** For so long after a drain has begun clients may still open connections and send requests, in ns. */
    public static final long DRAIN_LINGER_NANOS = 600 * NANOS_PER_MILLI;

    /** A client that has been idle for so long is unlikely to send a request just then. */
    private static final long DRAIN_MAX_IDLE_NANOS = 500 * NANOS_PER_MILLI;

    private static final long EVACUATION_NANOS = 1_600 * NANOS_PER_MILLI;
    /** Idle time of connections that arrive after an evacuation. */
    private static final long EVACUATED_MAX_IDLE_NANOS = 200 * NANOS_PER_MILLI;

    private static final long HAND_OVER_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private State state = State.STARTING;
    private long stateEnteredAtNanos; // when the state was entered, ns
    private boolean canServe; // has all that serving needs
    private boolean successorAccepts; // a successor accepts new connections
    private boolean listenerClosed; // as part of a graceful shutdown

    /** A process that starts at {@code nowNanos}. */
    public LifeCycle(long nowNanos) {
        stateEnteredAtNanos = nowNanos;
    }

    /** The present state. */
    public State state() {
        return state;
    }

    private CommandResult enter(State next, long nowNanos) {
        state = next;
        stateEnteredAtNanos = nowNanos;
        return CommandResult.DONE;
    }

    /** Records that the process could serve; returns whether it serves clients from here on. */
    public boolean markPrepared(long nowNanos) {
        canServe = true;
        if (state == State.STARTING) {
            enter(State.READY, nowNanos);
        }
        return state == State.READY;
    }

    /** Starts an evacuation; a process that is still starting has no clients, and does not become ready either. */
    public CommandResult evacuate(long nowNanos) {
        return switch (state) {
            case STARTING -> enter(State.EVACUATED, nowNanos);
            case READY -> enter(State.EVACUATING, nowNanos);
            case EVACUATING, EVACUATED -> CommandResult.NO_CHANGE;
            default -> CommandResult.NOT_POSSIBLE;
        };
    }

    /** Ends an evacuation: the process serves clients once it can. */
    public CommandResult rejoin(long nowNanos) {
        return switch (state) {
            case EVACUATING, EVACUATED -> enter(canServe ? State.READY : State.STARTING, nowNanos);
            case STARTING, READY -> CommandResult.NO_CHANGE;
            default -> CommandResult.NOT_POSSIBLE;
        };
    }

    /** A successor is ready and accepts the clients; false where this process is handing over or stopping already. */
    public boolean handOver(long nowNanos) {
        successorAccepts = true;
        if (state == State.STOPPING || state == State.HANDING_OVER) {
            return false;
        }
        enter(State.HANDING_OVER, nowNanos);
        return true;
    }

    /** The successor has ended: this process accepts clients as before. False where it was not handing over. */
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

    /** The listener has been closed by a graceful shutdown: see {@link ShutdownDrain}. */
    public void markListenerClosed() {
        listenerClosed = state == State.STOPPING;
    }

    /** Applies the passing of time; returns whether an evacuation has ended by it. */
    public boolean advance(long nowNanos) {
        if (state == State.EVACUATING && nowNanos - stateEnteredAtNanos >= EVACUATION_NANOS) {
            enter(State.EVACUATED, nowNanos);
            return true;
        }
        return false;
    }

    /** Whether the process reports itself ready. */
    public boolean isReady() {
        return state == State.READY;
    }

    /**
     * Whether the process accepts connections.
     *
     * @param listenerShared whether the listener is shared with another process; then only a ready process accepts
     */
    public boolean acceptsConnections(boolean listenerShared) {
        return switch (state) {
            case STARTING -> !listenerShared;
            case READY, EVACUATING, EVACUATED -> true;
            case HANDING_OVER -> false;
            case STOPPING -> !successorAccepts && !listenerClosed;
        };
    }

    /** Whether the process may end without a signal once it holds no connection: its successor has taken over. */
    public boolean mayExit(long nowNanos) {
        return (state == State.HANDING_OVER && nowNanos - stateEnteredAtNanos >= HAND_OVER_NANOS)
                || (state == State.STOPPING && successorAccepts);
    }

    /** Whether a response leaves its connection open, unless the request or the response asks for a close. */
    public boolean keepsConnectionsOpen() {
        return state == State.STARTING || state == State.READY;
    }

    /** How long a client's connection may be idle, in ns; {@link Long#MAX_VALUE}: no limit by the state. */
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
