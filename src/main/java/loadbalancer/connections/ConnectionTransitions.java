package loadbalancer.connections;

/**
 * Changes the state of connections and updates what depends on the state: the demand of the side, the reuse model and
 * the counts of closed connections. Not thread-safe; times are in ns of the budget's clock.
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

    /** Changes the state of a connection; throws IllegalStateException if it is closed. */
    void enter(ConnectionPermit permit, ConnectionPermit.State state, long nowNanos) {
        table.enter(permit, state, nowNanos);
        shares.recordDemand(permit.direction, nowNanos);
    }

    /** Removes a connection that has been closed; does nothing if it was removed before. */
    void remove(ConnectionPermit permit, long nowNanos) {
        table.remove(permit, nowNanos);
        shares.recordDemand(permit.direction, nowNanos);
    }

    /** Counts a connection as closed by the budget and removes it; its holder still has to close it. */
    ConnectionPermit close(ConnectionPermit permit, CloseReason reason, long nowNanos) {
        metrics.recordClosed(reason);
        remove(permit, nowNanos);
        return permit;
    }

    /**
     * Applies time-outs: idle connections that were not reused within the reuse window count as not reused, and new
     * connections become silent after their grace period. One period applies to all connections of a queue, so the
     * oldest connections time out first.
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
