package loadbalancer.lifecycle;

/**
 * What a balancer is at, and what follows from it: whether it says that it is ready, takes connections and
 * keeps them. Evacuation, the orderly stop and handing over to a successor wind connections down in one way:
 * answers end their connections first, and those that rest go later, since each close may cross a request.
 * Decides without I/O; times in ns of one monotonic clock that all calls share. For one thread.
 */
public final class LifeCycle {
    /** What a balancer is at. */
    public enum State {
        /** It can't serve yet. */
        STARTING,
        /** It takes clients. */
        READY,
        /** Operators have sent its clients away, and some may still come. */
        EVACUATING,
        /** None are left that came before. */
        EVACUATED,
        /** A successor takes the clients; what is held is answered. */
        HANDING_OVER,
        /** It ends once all is answered. */
        STOPPING
    }

    /** What came of an operator's call. */
    public enum Verdict {
        DONE,
        ALREADY,
        NOT_POSSIBLE
    }

    private static final long MS = 1_000_000;
    /** Clients go on coming for so long after they have been sent away, in ns. */
    public static final long LINGER = 600 * MS;

    private static final long RESTED = 500 * MS; // who rests so long hardly asks just then
    private static final long EVACUATE = 1_600 * MS; // after that nobody rests
    private static final long LATE_REST = 200 * MS; // of who comes all the same
    private static final long HAND_OVER = 2_000 * MS;
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private State state = State.STARTING;
    private long since; // ns: the present state's beginning
    private boolean prepared; // it could serve
    private boolean succeeded; // a successor takes what comes
    private boolean called; // nothing more comes before it ends

    /** {@code now}: its beginning. */
    public LifeCycle(long now) {
        since = now;
    }

    public State state() {
        return state;
    }

    private Verdict enter(State next, long now) {
        state = next;
        since = now;
        return Verdict.DONE;
    }

    /** All is there that serving needs; returns whether it takes clients from here on. */
    public boolean prepared(long now) {
        prepared = true;
        if (state == State.STARTING) {
            enter(State.READY, now);
        }
        return state == State.READY;
    }

    /** Operators send its clients away; before it is ready there are none, and it does not become ready. */
    public Verdict evacuate(long now) {
        return switch (state) {
            case STARTING -> enter(State.EVACUATED, now);
            case READY -> enter(State.EVACUATING, now);
            case EVACUATING, EVACUATED -> Verdict.ALREADY;
            default -> Verdict.NOT_POSSIBLE;
        };
    }

    /** Operators want it to take clients again. */
    public Verdict rejoin(long now) {
        return switch (state) {
            case EVACUATING, EVACUATED -> enter(prepared ? State.READY : State.STARTING, now);
            case STARTING, READY -> Verdict.ALREADY;
            default -> Verdict.NOT_POSSIBLE;
        };
    }

    /** A successor is ready and takes the clients; false where this one is not to hand over any more. */
    public boolean handOver(long now) {
        succeeded = true;
        if (state == State.STOPPING || state == State.HANDING_OVER) {
            return false;
        }
        enter(State.HANDING_OVER, now);
        return true;
    }

    /** The successor has gone before this one has: it takes clients again. False where it is stopping. */
    public boolean takeBack(long now) {
        if (state != State.HANDING_OVER) {
            return false;
        }
        succeeded = false;
        enter(prepared ? State.READY : State.STARTING, now);
        return true;
    }

    /** It is to end; told twice, it counts once. */
    public void stop(long now) {
        if (state != State.STOPPING) {
            enter(State.STOPPING, now);
        }
    }

    /** It is about to end, and what came before has been read: see {@link ShutdownDrain}. */
    public void listenerClosed() {
        called = state == State.STOPPING;
    }

    /** Time passes; returns whether an evacuation has come to its end with that. */
    public boolean advance(long now) {
        if (state == State.EVACUATING && now - since >= EVACUATE) {
            enter(State.EVACUATED, now);
            return true;
        }
        return false;
    }

    // ---------------------------------------------------------------- what follows

    /** What it says to whoever asks whether it takes clients. */
    public boolean ready() {
        return state == State.READY;
    }

    /**
     * Whether it accepts connections.
     *
     * @param shared the listener is not its own: whoever is ready accepts
     */
    public boolean accepts(boolean shared) {
        return switch (state) {
            case STARTING -> !shared;
            case READY, EVACUATING, EVACUATED -> true;
            case HANDING_OVER -> false;
            case STOPPING -> !succeeded && !called;
        };
    }

    /** Whether it may leave by itself once nothing is held: a successor has had the clients for a while. */
    public boolean hasLeft(long now) {
        return state == State.HANDING_OVER && now - since >= HAND_OVER || state == State.STOPPING && succeeded;
    }

    /** Whether an answer leaves its connection open, where nothing else speaks against it. */
    public boolean keepsConnections() {
        return state == State.STARTING || state == State.READY;
    }

    /** How long a client's connection may be at rest, in ns; {@link Long#MAX_VALUE}: as long as any time. */
    public long maxIdleTime(long now) {
        long age = now - since;
        return switch (state) {
            case STARTING, READY -> NO_LIMIT;
            case EVACUATING -> age < LINGER ? NO_LIMIT : age < EVACUATE ? RESTED : 0;
            case EVACUATED -> LATE_REST;
            case HANDING_OVER -> age < LINGER ? NO_LIMIT : age < HAND_OVER ? RESTED : 0;
            case STOPPING -> called ? 0 : succeeded ? RESTED : NO_LIMIT;
        };
    }
}
