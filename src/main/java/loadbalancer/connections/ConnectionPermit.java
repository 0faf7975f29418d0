package loadbalancer.connections;

/**
 * One connection's part of the budget: handed out by {@link ConnectionBudget#openClient} and
 * {@link ConnectionBudget#openUpstream}. It belongs to that budget's thread, and only the budget changes it. Times
 * in ns of the budget's clock.
 */
public final class ConnectionPermit {
    /** The owner of the connection itself. */
    @FunctionalInterface
    public interface Holder {
        /** Closes the connection at once; {@link ConnectionBudget#closed} is called for it as at any end. */
        void close();
    }

    /** What a connection is doing. */
    enum State {
        /** A client's, without a request so far, within the grace period for it. */
        NEW,
        /** A client's, without a request so far, past the grace period. */
        SILENT,
        /** Part of a client's request has arrived. */
        RECEIVING,
        /** A request is in flight. */
        BUSY,
        /** Kept open after a response, for the next request. */
        IDLE,
        /** Its last response is being sent or read: no further request is accepted. */
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

    /** Whether it was reused more than once, and at three quarters of its idle periods or more, give or take one. */
    boolean isReusedRegularly() {
        return reuses >= MIN_REGULAR_REUSES && reuses * 4 >= idlePeriods * 3 - 3;
    }

    /** Whether no request is in flight and none has begun to arrive. */
    public boolean isIdle() {
        return state == State.NEW || state == State.SILENT || state == State.IDLE;
    }

    /** Whether its last response has been written: no request that arrives after it is accepted. */
    public boolean isClosing() {
        return state == State.LINGERING || state == State.CLOSED;
    }

    /** How long it has been in its present state, in ns. */
    public long timeInStateNanos(long nowNanos) {
        return nowNanos - stateSinceNanos;
    }
}
