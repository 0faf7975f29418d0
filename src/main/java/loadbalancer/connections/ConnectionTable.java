package loadbalancer.connections;

import java.util.HashMap;
import java.util.Map;

/**
 * The open connections by state and by client address. Invariants: a connection is in the queue of its state and in
 * no queue of another state, where {@code BUSY} and {@code CLOSED} have no queue; the counters by peer equal the sizes
 * of the peers' queues; the open counts are the units of all connections that are not closed. Not thread-safe; times
 * are in ns.
 */
final class ConnectionTable {
    private static final int MAX_UNCONNECTED_PEERS = 1_024;

    final LinkedQueue<ConnectionPermit> newConnections = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> silent = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> receiving = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> idleClients = new LinkedQueue<>(); // without those reused regularly
    final LinkedQueue<ConnectionPermit> regularIdleClients = new LinkedQueue<>(); // reused regularly so far
    final LinkedQueue<ConnectionPermit> reuseExpected = new LinkedQueue<>(); // idle for less than reuse usually takes
    final LinkedQueue<ConnectionPermit> lingering = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> idleUpstreams = new LinkedQueue<>();
    final FrequencyList<Peer> openByPeer = new FrequencyList<>();
    final FrequencyList<Peer> silentByPeer = new FrequencyList<>();
    final FrequencyList<Peer> idleByPeer = new FrequencyList<>();
    private final Map<Object, Peer> peers = new HashMap<>();
    private final LinkedQueue<Peer> unconnectedPeers = new LinkedQueue<>(); // longest unconnected first
    private int openClients;
    private int openUpstreams;
    private int busyClients;
    private int busyUpstreams;

    /** Returns the units of a side's open connections. */
    int open(Direction direction) {
        return direction == Direction.CLIENT ? openClients : openUpstreams;
    }

    /** Returns how many of a side's connections have a request in flight. */
    int busy(Direction direction) {
        return direction == Direction.CLIENT ? busyClients : busyUpstreams;
    }

    /** Returns how many client connections are idle after a response. */
    int idleClientCount() {
        return idleClients.size() + regularIdleClients.size();
    }

    /** Returns how many client addresses are tracked, with or without open connections. */
    int peerCount() {
        return peers.size();
    }

    /** Adds a client connection in state {@code NEW}. */
    ConnectionPermit addClient(Object address, int units, ConnectionPermit.Holder holder, long nowNanos) {
        Peer peer = peers.computeIfAbsent(address, key -> new Peer(key, nowNanos));
        ConnectionPermit permit = new ConnectionPermit(Direction.CLIENT, peer, units, holder, nowNanos);
        openClients += units;
        openByPeer.increment(peer.openCount);
        peer.unconnectedEntry.remove();
        enter(permit, ConnectionPermit.State.NEW, nowNanos);
        return permit;
    }

    /** Adds a connection to an upstream in state {@code BUSY}. */
    ConnectionPermit addUpstream(ConnectionPermit.Holder holder, long nowNanos) {
        ConnectionPermit permit = new ConnectionPermit(Direction.UPSTREAM, null, 1, holder, nowNanos);
        openUpstreams++;
        enter(permit, ConnectionPermit.State.BUSY, nowNanos);
        return permit;
    }

    /** Removes a connection from all queues and counts; does nothing if it is already closed. */
    void remove(ConnectionPermit permit, long nowNanos) {
        if (permit.state == ConnectionPermit.State.CLOSED) {
            return;
        }
        enter(permit, ConnectionPermit.State.CLOSED, nowNanos);
        if (permit.isClient()) {
            openClients -= permit.units;
            openByPeer.decrement(permit.peer.openCount);
            if (permit.peer.openCount.value() == 0) {
                rememberUnconnected(permit.peer);
            }
        } else {
            openUpstreams -= permit.units;
        }
    }

    // Bounds the memory: otherwise the map would keep every address that ever connected.
    private void rememberUnconnected(Peer peer) {
        unconnectedPeers.addLast(peer.unconnectedEntry);
        if (unconnectedPeers.size() > MAX_UNCONNECTED_PEERS) {
            Peer longestUnconnected = unconnectedPeers.first();
            longestUnconnected.unconnectedEntry.remove();
            peers.remove(longestUnconnected.address);
        }
    }

    /** Changes the state of a connection; throws IllegalStateException if it is closed. */
    void enter(ConnectionPermit permit, ConnectionPermit.State state, long nowNanos) {
        ConnectionPermit.State from = permit.state;
        if (from == state) {
            return;
        }
        if (from == ConnectionPermit.State.CLOSED) {
            throw new IllegalStateException(state + " entered by a closed connection");
        }
        leaveState(permit);
        permit.state = state;
        permit.stateSinceNanos = nowNanos;
        switch (state) {
            case NEW -> newConnections.addLast(permit.stateEntry);
            case RECEIVING -> receiving.addLast(permit.stateEntry);
            case LINGERING -> lingering.addLast(permit.stateEntry);
            case SILENT -> addSilent(permit);
            case IDLE -> addIdle(permit);
            case BUSY -> addToBusyCount(permit.direction, 1);
            case CLOSED -> {}
            default -> throw new IllegalStateException("unknown connection state: " + state);
        }
    }

    private void addSilent(ConnectionPermit permit) {
        silent.addLast(permit.stateEntry);
        permit.peer.silentConnections.addLast(permit.peerEntry);
        silentByPeer.increment(permit.peer.silentCount);
    }

    private void addIdle(ConnectionPermit permit) {
        if (!permit.isClient()) {
            idleUpstreams.addLast(permit.stateEntry);
            return;
        }
        reuseExpected.addLast(permit.reuseExpectedEntry);
        if (permit.isReusedRegularly()) {
            regularIdleClients.addLast(permit.stateEntry);
        } else {
            idleClients.addLast(permit.stateEntry);
            permit.peer.idleConnections.addLast(permit.peerEntry);
            idleByPeer.increment(permit.peer.idleCount);
        }
    }

    private void leaveState(ConnectionPermit permit) {
        boolean countedForPeer = permit.peerEntry.isQueued();
        permit.stateEntry.remove();
        permit.peerEntry.remove();
        permit.reuseExpectedEntry.remove();
        if (permit.state == ConnectionPermit.State.BUSY) {
            addToBusyCount(permit.direction, -1);
        } else if (permit.state == ConnectionPermit.State.SILENT) {
            silentByPeer.decrement(permit.peer.silentCount);
        } else if (permit.state == ConnectionPermit.State.IDLE && countedForPeer) {
            idleByPeer.decrement(permit.peer.idleCount);
        }
    }

    private void addToBusyCount(Direction direction, int change) {
        if (direction == Direction.CLIENT) {
            busyClients += change;
        } else {
            busyUpstreams += change;
        }
    }
}
