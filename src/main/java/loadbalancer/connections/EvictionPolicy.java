package loadbalancer.connections;

/**
 * Which connection is closed when another one is to be opened and capacity is missing. In this order: one that
 * lingers, one that is silent, one that is idle, one whose request arrives slowly, and for an upstream's sake one that
 * is new. A busy connection is never closed. For one thread; times in ns of the budget's clock.
 */
final class EvictionPolicy {
    private static final long MIN_LINGER_NANOS = 500_000_000; // for the last response to be read

    private final ConnectionTable table;
    private final CapacityShares shares;
    private final ConnectionTransitions transitions;

    EvictionPolicy(ConnectionTable table, CapacityShares shares, ConnectionTransitions transitions) {
        this.table = table;
        this.shares = shares;
        this.transitions = transitions;
    }

    /**
     * Removes a connection for the sake of another one of side {@code direction}, which is not admitted.
     *
     * @return the connection, for its holder to close; null where none may be closed: a client then waits to be
     *     accepted, and a request is not sent to its upstream
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
            return transitions.close(mostSilent.silentConnections.last(), CloseReason.SILENT_EVICTED, nowNanos);
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

    // One new client is as good as another: those that are there soon send a request, or their grace period ends.
    // Clients that have just been served are not closed for a new one, unless they take most of the capacity.
    private boolean sparesServedClients(Direction direction, long nowNanos) {
        return direction == Direction.CLIENT
                && !table.newConnections.isEmpty()
                && table.idleClients.size() <= shares.max(Direction.CLIENT, nowNanos) / 2;
    }

    // Of the address with the highest number of idle connections the one idle for longest, if that is long; otherwise
    // the one idle for longest of all. Proven ones come last.
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
            return transitions.close(oldestReceiving, CloseReason.SLOW_REQUEST_EVICTED, nowNanos);
        }
        ConnectionPermit newestClient = table.newConnections.last();
        return direction == Direction.UPSTREAM && newestClient != null
                ? transitions.close(newestClient, CloseReason.NEW_CLIENT_EVICTED, nowNanos)
                : null;
    }
}
