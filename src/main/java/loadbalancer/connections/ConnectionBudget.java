package loadbalancer.connections;

import java.nio.ByteBuffer;

/**
 * The budget of connections: which may be opened, which may stay open after a response, for how long they may be idle,
 * and which are closed first when capacity is needed. It decides only: the owners of the connections report what
 * happens to them, and close those that it names through their {@link ConnectionPermit.Holder}. Clients' connections
 * and those to upstreams draw on one total; see {@link CapacityShares}.
 *
 * <p>A connection that carries several requests at once reports each of them; one that holds no descriptor but as much
 * memory as several that do has more units. Times are in ns of one monotonic clock that all calls share. For one
 * thread. Methods that need an open connection throw IllegalStateException for a closed one.
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

    /** A budget with no connection open. */
    public ConnectionBudget(ConnectionLimits limits, long nowNanos) {
        metrics = new ConnectionMetrics(nowNanos);
        shares = new CapacityShares(table, limits, nowNanos);
        reuse = new ReuseModel(limits, nowNanos);
        transitions = new ConnectionTransitions(table, shares, reuse, metrics);
        retention = new RetentionPolicy(table, shares, reuse, transitions);
        expiry = new ExpiryPolicy(table, shares, retention, transitions);
        eviction = new EvictionPolicy(table, shares, transitions);
    }

    /** Replaces the limits; connections in excess of them are closed by calls of {@link #evictToAdmit}. */
    public void setLimits(ConnectionLimits limits) {
        shares.setLimits(limits);
    }

    /**
     * Forgets what was learned of the clients, and keeps the open connections: for use after connections that were
     * not those of real clients, such as the warm-up's.
     */
    public void resetEstimates(long nowNanos) {
        reuse.reset(shares.limits(), nowNanos);
        shares.resetDemand(nowNanos);
        metrics.reset();
    }

    /**
     * The key under which the connections of an address are counted together: an IPv4 address by itself, an IPv6
     * address by its 64-bit network, which one host usually has to itself.
     *
     * @param addressBytes the 4 or 16 bytes of the address
     */
    public static Object addressKey(byte[] addressBytes) {
        return ByteBuffer.wrap(
                        addressBytes, 0, addressBytes.length == IPV6_BYTES ? IPV6_NETWORK_BYTES : addressBytes.length)
                .slice();
    }

    // ---------------------------------------------------------------- capacity

    /** Whether another connection of that side may be opened with no other one closed for it. */
    public boolean admits(Direction direction, long nowNanos) {
        return available(direction, nowNanos) > 0;
    }

    /** How many more connections of that side may be opened with no other one closed for them. */
    public int available(Direction direction, long nowNanos) {
        return shares.available(direction, nowNanos);
    }

    /** How many connections clients may hold together. */
    public int maxClients(long nowNanos) {
        return shares.max(Direction.CLIENT, nowNanos);
    }

    // ---------------------------------------------------------------- events of connections

    /**
     * A client's connection was accepted.
     *
     * @param address the key of its {@link #addressKey}
     * @param units how many connections it counts as
     */
    public ConnectionPermit openClient(Object address, int units, ConnectionPermit.Holder holder, long nowNanos) {
        metrics.recordOpened();
        return table.addClient(address, units, holder, nowNanos);
    }

    /** A connection to an upstream is being opened, for a request that it is to carry. */
    public ConnectionPermit openUpstream(ConnectionPermit.Holder holder, long nowNanos) {
        ConnectionPermit permit = table.addUpstream(holder, nowNanos);
        shares.recordDemand(Direction.UPSTREAM, nowNanos);
        return permit;
    }

    /** Part of a client's request has arrived. */
    public void partialRequestReceived(ConnectionPermit permit, long nowNanos) {
        if (permit.isIdle()) {
            recordIfReused(permit, nowNanos);
            table.enter(permit, ConnectionPermit.State.RECEIVING, nowNanos);
        }
    }

    /**
     * A client's request has arrived completely, or a request is to be sent on a connection to an upstream. Throws
     * IllegalStateException where the connection accepts no more requests.
     */
    public void requestReceived(ConnectionPermit permit, long nowNanos) {
        if (permit.isClosing()) {
            throw new IllegalStateException("asked after its end");
        }
        recordIfReused(permit, nowNanos);
        if (!permit.hasRequested && permit.isClient()) {
            reuse.recordFirstRequest(permit, shares.limits(), table.idleClientCount(), nowNanos);
        }
        permit.hasRequested = true;
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
     * A response is being sent to a client. If the connection may stay open, it is idle from here on, or goes on with
     * its other requests; otherwise the response has to announce the close, and no further request is accepted.
     *
     * @param keepAlive whether client and server side want to keep it open
     * @param hasPartialRequest whether part of another request has arrived already, which must not be lost
     * @return whether it may stay open
     */
    public boolean responseSent(ConnectionPermit permit, boolean keepAlive, boolean hasPartialRequest, long nowNanos) {
        metrics.recordResponse();
        permit.requestsInFlight = Math.max(0, permit.requestsInFlight - 1);
        if (permit.state == ConnectionPermit.State.CLOSED) {
            return false;
        }
        if (keepAlive && (hasPartialRequest || permit.requestsInFlight > 0)) {
            if (permit.requestsInFlight == 0) {
                transitions.enter(permit, ConnectionPermit.State.RECEIVING, nowNanos);
            }
            return true;
        }
        boolean staysOpen = keepAlive && retention.mayStayOpen(permit, nowNanos);
        if (staysOpen) {
            permit.idlePeriods++;
        } else if (keepAlive) {
            metrics.recordClosed(CloseReason.AFTER_RESPONSE);
            reuse.recordClosedAfterResponse();
        }
        transitions.enter(permit, staysOpen ? ConnectionPermit.State.IDLE : ConnectionPermit.State.LINGERING, nowNanos);
        return staysOpen;
    }

    /** The request on a connection to an upstream is complete, and the connection stays open. */
    public void becameIdle(ConnectionPermit permit, long nowNanos) {
        permit.requestsInFlight = 0;
        if (!permit.isClosing()) {
            transitions.enter(permit, ConnectionPermit.State.IDLE, nowNanos);
        }
    }

    /** A connection was closed, by whichever side; further calls for it have no effect. */
    public void closed(ConnectionPermit permit, long nowNanos) {
        if (permit.reuseExpectedEntry.isQueued()) {
            reuse.recordNoReuse(permit, nowNanos);
        }
        transitions.remove(permit, nowNanos);
    }

    // ---------------------------------------------------------------- closing connections

    /** Closes connections until another one of that side may be opened; false where none may be closed for it. */
    public boolean evictToAdmit(Direction direction, long nowNanos) {
        while (!admits(direction, nowNanos)) {
            ConnectionPermit evictedPermit = eviction.evictFor(direction, nowNanos);
            if (evictedPermit == null) {
                return false;
            }
            evictedPermit.holder().close();
        }
        return true;
    }

    /** Closes the connections that have been idle, silent or lingering for too long. */
    public void closeExpired(long nowNanos) {
        expiry.removeExpired(nowNanos).forEach(permit -> permit.holder().close());
    }

    /** How long a client's connection may be idle, in ns: less where capacity is expensive and reuse unlikely. */
    public long maxIdleNanos(long nowNanos) {
        return retention.maxIdleNanos(nowNanos);
    }

    /** How long a new client may take for its first request before it can be closed for others, in ns. */
    public long requestGraceNanos() {
        return reuse.requestGraceNanos(shares.limits());
    }

    // ---------------------------------------------------------------- metrics

    /** Whether new clients wait to be accepted, which by itself means {@link Pressure#SHORT}. */
    public void setClientsWaiting(boolean waiting) {
        metrics.setClientsWaiting(waiting);
    }

    /** How much capacity is in use; a level is left only when use has fallen somewhat below where it begins. */
    public Pressure pressure(long nowNanos) {
        return metrics.pressure(shares.clientUtilization(nowNanos));
    }

    /** A log line where the pressure has changed, at most one in 5 s; otherwise null. */
    public String pressureChangeLogLine(long nowNanos) {
        return metrics.pressureChangeLogLine(shares.clientUtilization(nowNanos), maxClients(nowNanos), table, nowNanos);
    }

    /** How many connections the budget closed for that reason. */
    public long closedCount(CloseReason reason) {
        return metrics.closedCount(reason);
    }

    /** How many connections that side holds, in units. */
    public int openConnections(Direction direction) {
        return table.open(direction);
    }

    /** How many client addresses are remembered, connected or not. */
    int rememberedAddresses() {
        return table.peerCount();
    }

    /** Counts for the log: connections accepted, responses, requests on reused connections, and closes. */
    public String summary() {
        return metrics.summary();
    }
}
