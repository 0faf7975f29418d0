package loadbalancer.connections;

/**
 * One connection's part of the budget: handed out by {@link ConnectionBudget#openClient} and
 * {@link ConnectionBudget#openUpstream}. It belongs to that budget's thread, and only the budget changes it.
 */
public final class ConnectionPermit {
    /** The connection itself, to the budget. */
    @FunctionalInterface
    public interface Holder {
        /** Ends the connection, at once; the budget's {@code closed} is told as at any end. */
        void close();
    }

    /** What a connection is at. */
    enum State {
        NEW,
        SILENT,
        RECEIVING,
        BUSY,
        RESTING,
        LINGERING,
        GONE
    }

    final Direction side;
    final Peer peer; // null on the upstreams' side
    final int units;
    final Holder holder;
    final long openedAt;
    final LinkedQueue.Place<ConnectionPermit> place = new LinkedQueue.Place<>(this); // in the line of its state
    final LinkedQueue.Place<ConnectionPermit> peerPlace = new LinkedQueue.Place<>(this); // in its peer's line
    final LinkedQueue.Place<ConnectionPermit> hopePlace =
            new LinkedQueue.Place<>(this); // in the line of those that may soon be used
    State state;
    long since; // it is in this state, ns
    int inFlight; // requests taken and not answered
    int rests;
    int reuses;
    boolean asked;

    ConnectionPermit(Direction side, Peer peer, int units, Holder holder, long now) {
        this.side = side;
        this.peer = peer;
        this.units = units;
        this.holder = holder;
        this.openedAt = now;
        this.since = now;
    }

    Holder holder() {
        return holder;
    }

    /** Whether its rests have mostly been followed by another request, and more than once. */
    boolean proven() {
        return reuses >= 2 && reuses * 4 >= rests * 3 - 3;
    }

    /** Whether nothing is being answered and nothing has begun to come in. */
    public boolean isIdle() {
        return state == State.NEW || state == State.SILENT || state == State.RESTING;
    }

    /** Whether its last answer has been worded: nothing that comes in behind it is taken. */
    public boolean isClosing() {
        return state == State.LINGERING || state == State.GONE;
    }

    /** How long it has been in its present state, in ns. */
    public long since(long now) {
        return now - since;
    }
}
