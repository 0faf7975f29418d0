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
    public ConnectionBudget(ConnectionLimits limits, long now) {
        metrics = new ConnectionMetrics(now);
        shares = new CapacityShares(table, limits, now);
        reuse = new ReuseModel(limits, now);
        transitions = new ConnectionTransitions(table, shares, reuse, metrics);
        retention = new RetentionPolicy(table, shares, reuse, transitions);
        expiry = new ExpiryPolicy(table, shares, retention, transitions);
        eviction = new EvictionPolicy(table, shares, transitions);
    }

    /** Replaces the limits; connections in excess of them are closed by calls of {@link #evictToAdmit}. */
    public void setLimits(ConnectionLimits to) {
        shares.setLimits(to);
    }

    /**
     * Forgets what was learned of the clients, and keeps the open connections: for use after connections that were
     * not those of real clients, such as the warm-up's.
     */
    public void resetEstimates(long now) {
        reuse.reset(shares.limits(), now);
        shares.resetDemand(now);
        metrics.reset();
    }

    /**
     * The key under which the connections of an address are counted together: an IPv4 address by itself, an IPv6
     * address by its 64-bit network, which one host usually has to itself.
     *
     * @param raw the 4 or 16 bytes of the address
     */
    public static Object address(byte[] raw) {
        return ByteBuffer.wrap(raw, 0, raw.length == IPV6_BYTES ? IPV6_NETWORK_BYTES : raw.length)
                .slice();
    }

    // ---------------------------------------------------------------- capacity

    /** Whether another connection of that side may be opened with no other one closed for it. */
    public boolean admits(Direction side, long now) {
        return available(side, now) > 0;
    }

    /** How many more connections of that side may be opened with no other one closed for them. */
    public int available(Direction side, long now) {
        return shares.available(side, now);
    }

    /** How many connections clients may hold together. */
    public int maxClients(long now) {
        return shares.max(Direction.CLIENT, now);
    }

    // ---------------------------------------------------------------- events of connections

    /**
     * A client's connection was accepted.
     *
     * @param address the key of its {@link #address}
     * @param units how many connections it counts as
     */
    public ConnectionPermit openClient(Object address, int units, ConnectionPermit.Holder holder, long now) {
        metrics.recordOpened();
        return table.addClient(address, units, holder, now);
    }

    /** A connection to an upstream is being opened, for a request that it is to carry. */
    public ConnectionPermit openUpstream(ConnectionPermit.Holder holder, long now) {
        ConnectionPermit permit = table.addUpstream(holder, now);
        shares.recordDemand(Direction.UPSTREAM, now);
        return permit;
    }

    /** Part of a client's request has arrived. */
    public void receiving(ConnectionPermit permit, long now) {
        if (permit.isIdle()) {
            recordIfReused(permit, now);
            table.enter(permit, ConnectionPermit.State.RECEIVING, now);
        }
    }

    /**
     * A client's request has arrived completely, or a request is to be sent on a connection to an upstream. Throws
     * IllegalStateException where the connection accepts no more requests.
     */
    public void requestReceived(ConnectionPermit permit, long now) {
        if (permit.isClosing()) {
            throw new IllegalStateException("asked after its end");
        }
        recordIfReused(permit, now);
        if (!permit.hasRequested && permit.isClient()) {
            reuse.recordFirstRequest(permit, shares.limits(), table.idleClientCount(), now);
        }
        permit.hasRequested = true;
        permit.requestsInFlight++;
        transitions.enter(permit, ConnectionPermit.State.BUSY, now);
    }

    private void recordIfReused(ConnectionPermit permit, long now) {
        if (permit.state == ConnectionPermit.State.IDLE && permit.isClient()) {
            permit.reuses++;
            metrics.recordReuse();
            reuse.recordReuse(permit, now);
        }
    }

    /**
     * A response is being sent to a client. If the connection may stay open, it is idle from here on, or goes on with
     * its other requests; otherwise the response has to announce the close, and no further request is accepted.
     *
     * @param wanted whether client and server side want to keep it open
     * @param more whether part of another request has arrived already, which must not be lost
     * @return whether it may stay open
     */
    public boolean responseSent(ConnectionPermit permit, boolean wanted, boolean more, long now) {
        metrics.recordResponse();
        permit.requestsInFlight = Math.max(0, permit.requestsInFlight - 1);
        if (permit.state == ConnectionPermit.State.CLOSED) {
            return false;
        }
        if (wanted && (more || permit.requestsInFlight > 0)) {
            if (permit.requestsInFlight == 0) {
                transitions.enter(permit, ConnectionPermit.State.RECEIVING, now);
            }
            return true;
        }
        boolean staysOpen = wanted && retention.mayStayOpen(permit, now);
        if (staysOpen) {
            permit.idlePeriods++;
        } else if (wanted) {
            metrics.recordClosed(CloseReason.ANSWERED);
            reuse.recordClosedAfterResponse();
        }
        transitions.enter(permit, staysOpen ? ConnectionPermit.State.IDLE : ConnectionPermit.State.LINGERING, now);
        return staysOpen;
    }

    /** The request on a connection to an upstream is complete, and the connection stays open. */
    public void becameIdle(ConnectionPermit permit, long now) {
        permit.requestsInFlight = 0;
        if (!permit.isClosing()) {
            transitions.enter(permit, ConnectionPermit.State.IDLE, now);
        }
    }

    /** A connection was closed, by whichever side; further calls for it have no effect. */
    public void closed(ConnectionPermit permit, long now) {
        if (permit.reuseExpectedEntry.isQueued()) {
            reuse.recordNoReuse(permit, now);
        }
        transitions.remove(permit, now);
    }

    // ---------------------------------------------------------------- closing connections

    /** Closes connections until another one of that side may be opened; false where none may be closed for it. */
    public boolean evictToAdmit(Direction side, long now) {
        while (!admits(side, now)) {
            ConnectionPermit evicted = eviction.evictFor(side, now);
            if (evicted == null) {
                return false;
            }
            evicted.holder().close();
        }
        return true;
    }

    /** Closes the connections that have been idle, silent or lingering for too long. */
    public void closeExpired(long now) {
        expiry.removeExpired(now).forEach(permit -> permit.holder().close());
    }

    /** How long a client's connection may be idle, in ns: less where capacity is expensive and reuse unlikely. */
    public long maxIdleTime(long now) {
        return retention.maxIdleTime(now);
    }

    /** How long a new client may take for its first request before it can be closed for others, in ns. */
    public long requestGracePeriod() {
        return reuse.requestGracePeriod(shares.limits());
    }

    // ---------------------------------------------------------------- metrics

    /** Whether new clients wait to be accepted, which by itself means {@link Pressure#SHORT}. */
    public void setClientsWaiting(boolean now) {
        metrics.setClientsWaiting(now);
    }

    /** How much capacity is in use; a level is left only when use has fallen somewhat below where it begins. */
    public Pressure pressure(long now) {
        return metrics.pressure(shares.clientUtilization(now));
    }

    /** A log line where the pressure has changed, at most one in 5 s; otherwise null. */
    public String pressureChange(long now) {
        return metrics.pressureChange(shares.clientUtilization(now), maxClients(now), table, now);
    }

    /** How many connections the budget closed for that reason. */
    public long closedCount(CloseReason why) {
        return metrics.closedCount(why);
    }

    /** How many connections that side holds, in units. */
    public int openConnections(Direction side) {
        return table.open(side);
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
