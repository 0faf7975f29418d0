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
    ConnectionPermit evictFor(Direction direction, long now) {
        transitions.advance(now);
        boolean atMax = shares.isAtMax(direction, now);
        ConnectionPermit idleUpstream = table.idleUpstreams.first();
        if (direction == Direction.UPSTREAM && atMax) {
            return idleUpstream == null ? null : transitions.close(idleUpstream, CloseReason.IDLE_FOR_ROOM, now);
        }
        ConnectionPermit lingering = table.lingering.first();
        if (lingering != null && lingering.since(now) >= MIN_LINGER_NANOS) {
            return transitions.close(lingering, CloseReason.LINGERING, now);
        }
        if (!table.silent.isEmpty()) {
            Peer mostSilent = table.silentByPeer.itemWithMaxCount();
            return transitions.close(mostSilent.silentConnections.last(), CloseReason.SILENT_FOR_ROOM, now);
        }
        ConnectionPermit idle = idleClient(now);
        boolean justServed = idle == null || idle.since(now) < shares.limits().restLeast();
        if (justServed && idleUpstream != null && mayCloseIdleUpstream(direction, atMax, now)) {
            return transitions.close(idleUpstream, CloseReason.IDLE_FOR_ROOM, now);
        }
        if (idle != null && !(justServed && newConnectionsSuffice(direction, now))) {
            return transitions.close(idle, CloseReason.RESTING_FOR_ROOM, now);
        }
        return evictUnfinished(direction, now);
    }

    private boolean mayCloseIdleUpstream(Direction direction, boolean atMax, long now) {
        return !atMax
                && (direction == Direction.UPSTREAM
                        || table.open(Direction.UPSTREAM) > shares.reserved(Direction.UPSTREAM, now));
    }

    // One new client is as good as another: those that are there soon send a request, or their grace period ends.
    // Clients that have just been served are not closed for a new one, unless they take most of the capacity.
    private boolean newConnectionsSuffice(Direction direction, long now) {
        return direction == Direction.CLIENT
                && !table.newConnections.isEmpty()
                && table.idleClients.size() <= shares.max(Direction.CLIENT, now) / 2;
    }

    // Of the address with the highest number of idle connections the one idle for longest, if that is long; otherwise
    // the one idle for longest of all. Proven ones come last.
    private ConnectionPermit idleClient(long now) {
        if (table.idleClients.isEmpty()) {
            return table.provenIdleClients.first();
        }
        ConnectionPermit longestOfPeer =
                table.idleByPeer.itemWithMaxCount().idleConnections.first();
        return longestOfPeer.since(now) >= shares.limits().restLeast() ? longestOfPeer : table.idleClients.first();
    }

    private ConnectionPermit evictUnfinished(Direction direction, long now) {
        ConnectionPermit slow = table.receiving.first();
        if (slow != null && slow.since(now) >= shares.limits().askMost()) {
            return transitions.close(slow, CloseReason.SLOW_FOR_ROOM, now);
        }
        ConnectionPermit newest = table.newConnections.last();
        return direction == Direction.UPSTREAM && newest != null
                ? transitions.close(newest, CloseReason.NEW_FOR_ROOM, now)
                : null;
    }
}
