package loadbalancer.connections;

/**
 * The state of one connection in the budget, as returned by {@link ConnectionBudget#openClient} and
 * {@link ConnectionBudget#openUpstream}. Only the budget changes a permit, on the budget's thread. Times are in ns of
 * the budget's clock.
 */
public final class ConnectionPermit {
    /** Holds the underlying connection and closes it for the budget. */
    @FunctionalInterface
    public interface Holder {
        /**
         * Reads what has arrived on the connection and reports it to the budget: what was sent to a connection that has
         * been accepted must not be lost with it.
         */
        default void readInput() {}

        /** Closes the connection immediately; {@link ConnectionBudget#closed} is called as for any other close. */
        void close();
    }

    /** The state of a connection. */
    enum State {
        /** A client connection without a request so far, within its grace period. */
        NEW,
        /** A client connection without a request so far, after its grace period. */
        SILENT,
        /** Part of a client's request has arrived. */
        RECEIVING,
        /** At least one request is in flight, or a response has not been written to the socket completely. */
        BUSY,
        /** The connection is kept open after a response has been sent, for the next request. */
        IDLE,
        /** The last response has been written to the socket, and is being read: no further request is accepted. */
        LINGERING,
        CLOSED
    }

    private static final int MIN_REGULAR_REUSES = 2;

    final Direction direction;
    final Peer peer; // null for a connection to an upstream
    final int units;
    final Holder holder;
    final long openedAtNanos;
    final LinkedQueue.Entry<ConnectionPermit> stateEntry = new LinkedQueue.Entry<>(this);
    final LinkedQueue.Entry<ConnectionPermit> peerEntry = new LinkedQueue.Entry<>(this);
    final LinkedQueue.Entry<ConnectionPermit> reuseExpectedEntry = new LinkedQueue.Entry<>(this);
    State state;
    long stateSinceNanos;
    int requestsInFlight;
    int unsentResponses; // whose last byte is about to be written
    State stateOnceSent; // the state once all responses have been sent; null if there is nothing to be sent
    int idlePeriods;
    int reuses; // idle periods that ended with another request
    boolean hasRequested;

    ConnectionPermit(Direction direction, Peer peer, int units, Holder holder, long nowNanos) {
        this.direction = direction;
        this.peer = peer;
        this.units = units;
        this.holder = holder;
        this.openedAtNanos = nowNanos;
        this.stateSinceNanos = nowNanos;
    }

    Holder holder() {
        return holder;
    }

    boolean isClient() {
        return direction == Direction.CLIENT;
    }

    /** Returns whether it was reused at least twice, and after at least 3/4 of its idle periods but one. */
    boolean isReusedRegularly() {
        return reuses >= MIN_REGULAR_REUSES && reuses * 4 >= idlePeriods * 3 - 3;
    }

    /** Returns whether no request is in flight and none has begun to arrive. */
    public boolean isIdle() {
        return state == State.NEW || state == State.SILENT || state == State.IDLE;
    }

    /** Returns whether its last response is being or has been written: requests that arrive later are not accepted. */
    public boolean isClosing() {
        return state == State.LINGERING || state == State.CLOSED || stateOnceSent == State.LINGERING;
    }

    /** Returns how long the connection has been in its current state, in ns. */
    public long timeInStateNanos(long nowNanos) {
        return nowNanos - stateSinceNanos;
    }
}
