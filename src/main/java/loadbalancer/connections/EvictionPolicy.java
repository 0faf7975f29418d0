package loadbalancer.connections;

/**
 * Selects the connection to close when another one is to be opened and no capacity is left. The order is: a lingering
 * connection, a silent one, an idle one, one whose request arrives slowly and, only for a connection to an upstream, a
 * new one. Busy connections are never closed. Not thread-safe; times are in ns of the budget's clock.
 */
final class EvictionPolicy {
    private static final long MIN_LINGER_NANOS = 500_000_000; // time for the client to read the last response

    private final ConnectionTable table;
    private final CapacityShares shares;
    private final ConnectionTransitions transitions;

    EvictionPolicy(ConnectionTable table, CapacityShares shares, ConnectionTransitions transitions) {
        this.table = table;
        this.shares = shares;
        this.transitions = transitions;
    }

    /**
     * Removes a connection to make capacity for one of side {@code direction}.
     *
     * @return the removed connection, which its holder has to close; null if none may be closed: then a client waits to
     *     be accepted, and a request is not sent to its upstream
     */
    ConnectionPermit evictFor(Direction direction, long nowNanos) {
        transitions.advance(nowNanos);
        boolean atMax = shares.isAtMax(direction, nowNanos);
        ConnectionPermit idleUpstream = table.idleUpstreams.first();
        if (direction == Direction.UPSTREAM && atMax) {
            return idleUpstream == null
                    ? null
                    : transitions.close(idleUpstream, CloseReason.IDLE_UPSTREAM_EVICTED, nowNanos);
        }
        ConnectionPermit oldestLingering = table.lingering.first();
        if (oldestLingering != null && oldestLingering.timeInStateNanos(nowNanos) >= MIN_LINGER_NANOS) {
            return transitions.close(oldestLingering, CloseReason.LINGERING_EVICTED, nowNanos);
        }
        if (!table.silent.isEmpty()) {
            Peer mostSilent = table.silentByPeer.itemWithMaxCount();
            return closeUnlessHeard(
                    mostSilent.silentConnections.last(), CloseReason.SILENT_EVICTED, direction, nowNanos);
        }
        ConnectionPermit idleClient = idleClientToEvict(nowNanos);
        boolean servedRecently = idleClient == null
                || idleClient.timeInStateNanos(nowNanos) < shares.limits().restLeast();
        if (servedRecently && idleUpstream != null && mayCloseIdleUpstream(direction, atMax, nowNanos)) {
            return transitions.close(idleUpstream, CloseReason.IDLE_UPSTREAM_EVICTED, nowNanos);
        }
        if (idleClient != null && !(servedRecently && sparesServedClients(direction, nowNanos))) {
            return transitions.close(idleClient, CloseReason.IDLE_CLIENT_EVICTED, nowNanos);
        }
        return evictSlowOrNew(direction, nowNanos);
    }

    private boolean mayCloseIdleUpstream(Direction direction, boolean atMax, long nowNanos) {
        return !atMax
                && (direction == Direction.UPSTREAM
                        || table.open(Direction.UPSTREAM) > shares.reserved(Direction.UPSTREAM, nowNanos));
    }

    // Recently served clients are not closed for another client while new connections exist, unless idle clients hold
    // more than half of the clients' capacity: a further client has no advantage over the new connections, which send a
    // request soon or can be closed after their grace period.
    private boolean sparesServedClients(Direction direction, long nowNanos) {
        return direction == Direction.CLIENT
                && !table.newConnections.isEmpty()
                && table.idleClients.size() <= shares.max(Direction.CLIENT, nowNanos) / 2;
    }

    // Selects the longest idle connection of the address with the most idle connections, if it has been idle for
    // restLeast or longer, and otherwise the longest idle connection of all. Connections that are reused regularly are
    // selected last.
    private ConnectionPermit idleClientToEvict(long nowNanos) {
        if (table.idleClients.isEmpty()) {
            return table.regularIdleClients.first();
        }
        ConnectionPermit longestIdleOfPeer =
                table.idleByPeer.itemWithMaxCount().idleConnections.first();
        return longestIdleOfPeer.timeInStateNanos(nowNanos) >= shares.limits().restLeast()
                ? longestIdleOfPeer
                : table.idleClients.first();
    }

    private ConnectionPermit evictSlowOrNew(Direction direction, long nowNanos) {
        ConnectionPermit oldestReceiving = table.receiving.first();
        if (oldestReceiving != null
                && oldestReceiving.timeInStateNanos(nowNanos) >= shares.limits().askMost()) {
            return closeUnlessHeard(oldestReceiving, CloseReason.SLOW_REQUEST_EVICTED, direction, nowNanos);
        }
        ConnectionPermit newestClient = table.newConnections.last();
        return direction == Direction.UPSTREAM && newestClient != null
                ? closeUnlessHeard(newestClient, CloseReason.NEW_CLIENT_EVICTED, direction, nowNanos)
                : null;
    }

    // A request that is still unread would be lost with its connection. One that has been read changes the state of its
    // connection, and another one is selected.
    private ConnectionPermit closeUnlessHeard(
            ConnectionPermit permit, CloseReason reason, Direction direction, long nowNanos) {
        ConnectionPermit.State state = permit.state;
        permit.holder().readInput();
        return permit.state == state ? transitions.close(permit, reason, nowNanos) : evictFor(direction, nowNanos);
    }
}
