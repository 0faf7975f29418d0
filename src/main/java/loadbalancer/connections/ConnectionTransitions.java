package loadbalancer.connections;

/**
 * The changes of a connection's state, each with what depends on it: the demand of its side, the reuse model and the
 * counts of closed connections. For one thread; times in ns of the budget's clock.
 */
final class ConnectionTransitions {
    private final ConnectionTable table;
    private final CapacityShares shares;
    private final ReuseModel reuse;
    private final ConnectionMetrics metrics;

    ConnectionTransitions(ConnectionTable table, CapacityShares shares, ReuseModel reuse, ConnectionMetrics metrics) {
        this.table = table;
        this.shares = shares;
        this.reuse = reuse;
        this.metrics = metrics;
    }

    /** Throws IllegalStateException where the connection is closed. */
    void enter(ConnectionPermit permit, ConnectionPermit.State state, long nowNanos) {
        table.enter(permit, state, nowNanos);
        shares.recordDemand(permit.direction, nowNanos);
    }

    /** Removes a connection that has been closed; does nothing for one that was removed before. */
    void remove(ConnectionPermit permit, long nowNanos) {
        table.remove(permit, nowNanos);
        shares.recordDemand(permit.direction, nowNanos);
    }

    /** Counts a connection as closed by the budget and removes it; its holder is still to close it. */
    ConnectionPermit close(ConnectionPermit permit, CloseReason reason, long nowNanos) {
        metrics.recordClosed(reason);
        remove(permit, nowNanos);
        return permit;
    }

    /**
     * Applies what has fallen due: idle connections whose reuse was to be expected by now count as not reused, and
     * new connections whose grace period is over become silent. The same period applies to all, so the oldest come
     * first.
     */
    void advance(long nowNanos) {
        long reuseWindowNanos = reuse.reuseWindowNanos();
        for (ConnectionPermit permit = table.reuseExpected.first();
                permit != null && nowNanos - permit.stateSinceNanos >= reuseWindowNanos;
                permit = table.reuseExpected.first()) {
            permit.reuseExpectedEntry.remove();
            reuse.recordNoReuse(permit, nowNanos);
        }
        long graceNanos = reuse.requestGraceNanos(shares.limits());
        for (ConnectionPermit permit = table.newConnections.first();
                permit != null && nowNanos - permit.openedAtNanos >= graceNanos;
                permit = table.newConnections.first()) {
            enter(permit, ConnectionPermit.State.SILENT, nowNanos);
        }
    }
}
