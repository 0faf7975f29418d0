package loadbalancer.connections;

import java.nio.ByteBuffer;

/**
 * Limits the number of open connections. The budget decides which connections may be opened, which may stay open after
 * a response, how long they may be idle, and which are closed first when capacity is needed. It does no I/O: the
 * holders of the connections report events, and the budget closes a connection through its
 * {@link ConnectionPermit.Holder}. Client and upstream connections share one total; see {@link CapacityShares}.
 *
 * <p>Each concurrent request of a multiplexed connection is reported. A connection that needs no file descriptor of its
 * own, but as much memory as several connections that do, counts as several units. Times are in ns of one monotonic
 * clock that all calls share. Not thread-safe. Methods that need an open connection throw IllegalStateException for a
 * closed one.
 */
public final class ConnectionBudget {
    private static final int IPV6_BYTES = 16;
    private static final int IPV6_NETWORK_BYTES = 8;

    private final ConnectionTable table = new ConnectionTable();
    private final ConnectionMetrics metrics;
    private final CapacityShares shares;
    private final ReuseModel reuse;
    private final ConnectionTransitions transitions;
    private final RetentionPolicy retention;
    private final ExpiryPolicy expiry;
    private final EvictionPolicy eviction;
    private final RequestAdmission admission;

    /** Creates a budget without open connections. */
    public ConnectionBudget(ConnectionLimits limits, long nowNanos) {
        metrics = new ConnectionMetrics(nowNanos);
        shares = new CapacityShares(table, limits, nowNanos);
        reuse = new ReuseModel(limits, nowNanos);
        transitions = new ConnectionTransitions(table, shares, reuse, metrics);
        retention = new RetentionPolicy(table, shares, reuse, transitions);
        expiry = new ExpiryPolicy(table, shares, retention, transitions);
        eviction = new EvictionPolicy(table, shares, transitions);
        admission = new RequestAdmission(table, shares);
    }

    /** Replaces the limits; excess connections are closed by later calls of {@link #evictToAdmit}. */
    public void setLimits(ConnectionLimits limits) {
        shares.setLimits(limits);
    }

    /**
     * Resets the estimates of client behaviour and keeps the open connections. Used after the warm-up, whose
     * connections do not behave like those of real clients.
     */
    public void resetEstimates(long nowNanos) {
        reuse.reset(shares.limits(), nowNanos);
        shares.resetDemand(nowNanos);
        metrics.reset();
    }

    /**
     * Returns the key under which the connections of a client address are counted: the whole IPv4 address, or the
     * 64-bit network prefix of an IPv6 address, as one host usually has such a network to itself.
     *
     * @param addressBytes the 4 or 16 bytes of the address
     */
    public static Object addressKey(byte[] addressBytes) {
        return ByteBuffer.wrap(
                        addressBytes, 0, addressBytes.length == IPV6_BYTES ? IPV6_NETWORK_BYTES : addressBytes.length)
                .slice();
    }

    // ---------------------------------------------------------------- capacity

    /** Returns whether a connection of a side can be opened without closing another connection. */
    public boolean admits(Direction direction, long nowNanos) {
        return available(direction, nowNanos) > 0;
    }

    /** Returns how many connections of a side can be opened without closing another connection. */
    public int available(Direction direction, long nowNanos) {
        return shares.available(direction, nowNanos);
    }

    /**
     * Returns whether a client's request is forwarded that has been reported by {@link #requestReceived}; otherwise it
     * is to be rejected, so that its connection serves others.
     *
     * @param longBody whether its body is streamed
     */
    public boolean admitsRequest(boolean longBody, long nowNanos) {
        return admission.admits(longBody, nowNanos);
    }

    /** Returns the maximum number of client connections. */
    public int maxClients(long nowNanos) {
        return shares.max(Direction.CLIENT, nowNanos);
    }

    // ---------------------------------------------------------------- connection events

    /**
     * Records an accepted client connection.
     *
     * @param address the client address as returned by {@link #addressKey}
     * @param units how many connections it counts as
     */
    public ConnectionPermit openClient(Object address, int units, ConnectionPermit.Holder holder, long nowNanos) {
        metrics.recordOpened();
        return table.addClient(address, units, holder, nowNanos);
    }

    /** Records that a connection to an upstream is being opened for a request. */
    public ConnectionPermit openUpstream(ConnectionPermit.Holder holder, long nowNanos) {
        ConnectionPermit permit = table.addUpstream(holder, nowNanos);
        shares.recordDemand(Direction.UPSTREAM, nowNanos);
        return permit;
    }

    /** Records that part of a client's request has arrived. */
    public void partialRequestReceived(ConnectionPermit permit, long nowNanos) {
        if (permit.stateOnceSent == ConnectionPermit.State.IDLE) {
            permit.stateOnceSent = ConnectionPermit.State.RECEIVING;
        }
        if (permit.isIdle()) {
            recordIfReused(permit, nowNanos);
            table.enter(permit, ConnectionPermit.State.RECEIVING, nowNanos);
        }
    }

    /**
     * Records that a client's request has arrived completely, or that a request is about to be sent on a connection to
     * an upstream. Throws IllegalStateException if the connection accepts no more requests.
     */
    public void requestReceived(ConnectionPermit permit, long nowNanos) {
        if (permit.isClosing()) {
            throw new IllegalStateException("request on a connection that is closing or closed");
        }
        recordIfReused(permit, nowNanos);
        if (!permit.hasRequested && permit.isClient()) {
            reuse.recordFirstRequest(permit, shares.limits(), table.idleClientCount(), nowNanos);
        }
        permit.hasRequested = true;
        permit.stateOnceSent = null;
        permit.requestsInFlight++;
        transitions.enter(permit, ConnectionPermit.State.BUSY, nowNanos);
    }

    private void recordIfReused(ConnectionPermit permit, long nowNanos) {
        if (permit.state == ConnectionPermit.State.IDLE && permit.isClient()) {
            permit.reuses++;
            metrics.recordReuse();
            reuse.recordReuse(permit, nowNanos);
        }
    }

    /**
     * Records that the last byte of a response to a client is about to be written, and decides whether the connection
     * stays open. Otherwise the response has to announce the close, and no further request is accepted. The
     * connection is busy until {@link #responseSent}.
     *
     * @param keepAlive whether both the client and this server want to keep the connection open
     * @param hasPartialRequest whether part of another request has arrived, which must not be lost
     * @return whether the connection may stay open
     */
    public boolean completeResponse(
            ConnectionPermit permit, boolean keepAlive, boolean hasPartialRequest, long nowNanos) {
        metrics.recordResponse();
        permit.requestsInFlight = Math.max(0, permit.requestsInFlight - 1);
        if (permit.state == ConnectionPermit.State.CLOSED) {
            return false;
        }
        permit.unsentResponses++;
        transitions.enter(permit, ConnectionPermit.State.BUSY, nowNanos);
        if (keepAlive && (hasPartialRequest || permit.requestsInFlight > 0)) {
            permit.stateOnceSent = ConnectionPermit.State.RECEIVING;
            return true;
        }
        boolean staysOpen = keepAlive && retention.mayStayOpen(permit, nowNanos);
        if (!staysOpen && keepAlive) {
            metrics.recordClosed(CloseReason.AFTER_RESPONSE);
            reuse.recordClosedAfterResponse();
        }
        permit.stateOnceSent = staysOpen ? ConnectionPermit.State.IDLE : ConnectionPermit.State.LINGERING;
        return staysOpen;
    }

    /**
     * Records that the last byte of a response to a client has been written to the socket. Once this holds for all
     * responses of the connection, it lingers if the last response was among them, and is idle if no request is in
     * flight.
     */
    public void responseSent(ConnectionPermit permit, long nowNanos) {
        if (permit.state == ConnectionPermit.State.CLOSED) {
            return;
        }
        permit.unsentResponses--;
        boolean hasMoreRequests = permit.requestsInFlight > 0 && !permit.isClosing(); // none is served after the last
        if (permit.unsentResponses > 0 || hasMoreRequests) {
            return;
        }
        permit.idlePeriods += permit.stateOnceSent == ConnectionPermit.State.IDLE ? 1 : 0;
        transitions.enter(permit, permit.stateOnceSent, nowNanos);
        permit.stateOnceSent = null;
    }

    /** Records that the request on a connection to an upstream is complete and the connection stays open. */
    public void becameIdle(ConnectionPermit permit, long nowNanos) {
        permit.requestsInFlight = 0;
        if (!permit.isClosing()) {
            transitions.enter(permit, ConnectionPermit.State.IDLE, nowNanos);
        }
    }

    /** Records that a connection was closed by either side; further calls for it have no effect. */
    public void closed(ConnectionPermit permit, long nowNanos) {
        if (permit.reuseExpectedEntry.isQueued()) {
            reuse.recordNoReuse(permit, nowNanos);
        }
        transitions.remove(permit, nowNanos);
    }

    // ---------------------------------------------------------------- closing connections

    /** Closes connections until one of a side can be opened; returns false if no connection may be closed for it. */
    public boolean evictToAdmit(Direction direction, long nowNanos) {
        while (!admits(direction, nowNanos)) {
            ConnectionPermit evictedPermit = eviction.evictFor(direction, nowNanos);
            if (evictedPermit == null) {
                return admits(direction, nowNanos); // one may have been closed by its client meanwhile
            }
            evictedPermit.holder().close();
        }
        return true;
    }

    /** Closes the connections that have been idle, silent or lingering for too long. */
    public void closeExpired(long nowNanos) {
        expiry.removeExpired(nowNanos).forEach(permit -> permit.holder().close());
    }

    /** Returns the idle timeout of client connections in ns: shorter if capacity is scarce and reuse unlikely. */
    public long maxIdleNanos(long nowNanos) {
        return retention.maxIdleNanos(nowNanos);
    }

    /** Returns how long a new client may take for its first request before it can be closed for others, in ns. */
    public long requestGraceNanos() {
        return reuse.requestGraceNanos(shares.limits());
    }

    // ---------------------------------------------------------------- metrics

    /** Sets whether new clients wait to be accepted, which by itself means {@link Pressure#SHORT}. */
    public void setClientsWaiting(boolean waiting) {
        metrics.setClientsWaiting(waiting);
    }

    /** Returns the pressure level; with hysteresis, a level ends at a lower utilization than it begins at. */
    public Pressure pressure(long nowNanos) {
        return metrics.pressure(shares.clientUtilization(nowNanos));
    }

    /** Returns a log line if the pressure has changed, at most one line in 5 s; otherwise null. */
    public String pressureChangeLogLine(long nowNanos) {
        return metrics.pressureChangeLogLine(shares.clientUtilization(nowNanos), maxClients(nowNanos), table, nowNanos);
    }

    /** Returns how many connections the budget closed for a reason. */
    public long closedCount(CloseReason reason) {
        return metrics.closedCount(reason);
    }

    /** Returns how many connections a side holds, in units. */
    public int openConnections(Direction direction) {
        return table.open(direction);
    }

    /** Returns how many client addresses are tracked, with or without open connections. */
    int rememberedAddresses() {
        return table.peerCount();
    }

    /** Returns a log text with the counts of accepted connections, responses, reuses and closes by the budget. */
    public String summary() {
        return metrics.summary();
    }
}
