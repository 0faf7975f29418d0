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
    public enum Verdict {
        /** Carried out. */
        DONE,
        /** Nothing to do: the state is the one asked for. */
        ALREADY,
        /** Not possible in this state. */
        NOT_POSSIBLE
    }

    private static final long MILLISECOND = 1_000_000; // in ns
    /** For so long after a drain has begun clients may still open connections and send requests, in ns. */
    public static final long LINGER = 600 * MILLISECOND;

    /** A client that has been idle for so long is unlikely to send a request just then. */
    private static final long DRAIN_IDLE_TIME = 500 * MILLISECOND;

    private static final long EVACUATION_TIME = 1_600 * MILLISECOND;
    /** Idle time of connections that arrive after an evacuation. */
    private static final long EVACUATED_IDLE_TIME = 200 * MILLISECOND;

    private static final long HAND_OVER_TIME = 2_000 * MILLISECOND;
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private State state = State.STARTING;
    private long since; // when the state was entered, ns
    private boolean prepared; // has all that serving needs
    private boolean succeeded; // a successor accepts new connections
    private boolean listenerClosed; // as part of a graceful shutdown

    /** A process that starts at {@code now}. */
    public LifeCycle(long now) {
        since = now;
    }

    /** The present state. */
    public State state() {
        return state;
    }

    private Verdict enter(State next, long now) {
        state = next;
        since = now;
        return Verdict.DONE;
    }

    /** Records that the process could serve; returns whether it serves clients from here on. */
    public boolean prepared(long now) {
        prepared = true;
        if (state == State.STARTING) {
            enter(State.READY, now);
        }
        return state == State.READY;
    }

    /** Starts an evacuation; a process that is still starting has no clients, and does not become ready either. */
    public Verdict evacuate(long now) {
        return switch (state) {
            case STARTING -> enter(State.EVACUATED, now);
            case READY -> enter(State.EVACUATING, now);
            case EVACUATING, EVACUATED -> Verdict.ALREADY;
            default -> Verdict.NOT_POSSIBLE;
        };
    }

    /** Ends an evacuation: the process serves clients once it can. */
    public Verdict rejoin(long now) {
        return switch (state) {
            case EVACUATING, EVACUATED -> enter(prepared ? State.READY : State.STARTING, now);
            case STARTING, READY -> Verdict.ALREADY;
            default -> Verdict.NOT_POSSIBLE;
        };
    }

    /** A successor is ready and accepts the clients; false where this process is handing over or stopping already. */
    public boolean handOver(long now) {
        succeeded = true;
        if (state == State.STOPPING || state == State.HANDING_OVER) {
            return false;
        }
        enter(State.HANDING_OVER, now);
        return true;
    }

    /** The successor has ended: this process accepts clients as before. False where it was not handing over. */
    public boolean takeBack(long now) {
        if (state != State.HANDING_OVER) {
            return false;
        }
        succeeded = false;
        enter(prepared ? State.READY : State.STARTING, now);
        return true;
    }

    /** Starts a graceful shutdown; idempotent. */
    public void stop(long now) {
        if (state != State.STOPPING) {
            enter(State.STOPPING, now);
        }
    }

    /** The listener has been closed by a graceful shutdown: see {@link ShutdownDrain}. */
    public void listenerClosed() {
        listenerClosed = state == State.STOPPING;
    }

    /** Applies the passing of time; returns whether an evacuation has ended by it. */
    public boolean advance(long now) {
        if (state == State.EVACUATING && now - since >= EVACUATION_TIME) {
            enter(State.EVACUATED, now);
            return true;
        }
        return false;
    }

    /** Whether the process reports itself ready. */
    public boolean ready() {
        return state == State.READY;
    }

    /**
     * Whether the process accepts connections.
     *
     * @param shared whether the listener is shared with another process; then only a ready process accepts
     */
    public boolean accepts(boolean shared) {
        return switch (state) {
            case STARTING -> !shared;
            case READY, EVACUATING, EVACUATED -> true;
            case HANDING_OVER -> false;
            case STOPPING -> !succeeded && !listenerClosed;
        };
    }

    /** Whether the process may end without a signal once it holds no connection: its successor has taken over. */
    public boolean hasLeft(long now) {
        return (state == State.HANDING_OVER && now - since >= HAND_OVER_TIME) || (state == State.STOPPING && succeeded);
    }

    /** Whether a response leaves its connection open, unless the request or the response asks for a close. */
    public boolean keepsConnections() {
        return state == State.STARTING || state == State.READY;
    }

    /** How long a client's connection may be idle, in ns; {@link Long#MAX_VALUE}: no limit by the state. */
    public long maxIdleTime(long now) {
        long age = now - since;
        return switch (state) {
            case STARTING, READY -> NO_LIMIT;
            case EVACUATING -> drainIdleTime(age, EVACUATION_TIME);
            case EVACUATED -> EVACUATED_IDLE_TIME;
            case HANDING_OVER -> drainIdleTime(age, HAND_OVER_TIME);
            case STOPPING -> stoppingIdleTime();
        };
    }

    private static long drainIdleTime(long age, long drainTime) {
        if (age < LINGER) {
            return NO_LIMIT;
        }
        return age < drainTime ? DRAIN_IDLE_TIME : 0;
    }

    private long stoppingIdleTime() {
        if (listenerClosed) {
            return 0;
        }
        return succeeded ? DRAIN_IDLE_TIME : NO_LIMIT;
    }
}
