package loadbalancer.connections;

import java.util.HashMap;
import java.util.Map;

/**
 * What is open, and what each connection is at: its lines and counts. Invariants: a connection stands in the
 * line of its state and no other, {@code BUSY} and {@code GONE} have none; the ladders count what the peers'
 * lines hold; {@code clients} and {@code upstreams} are the units of all that is not gone. For one thread;
 * times in ns.
 */
final class ConnectionTable {
    private static final int FORMER_MOST = 1_024; // peers that are remembered while they hold nothing

    final LinkedQueue<ConnectionPermit> fresh = new LinkedQueue<>(); // have not asked, within their fair time
    final LinkedQueue<ConnectionPermit> silent = new LinkedQueue<>(); // have not asked, past it
    final LinkedQueue<ConnectionPermit> receiving = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> resting = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> proven = new LinkedQueue<>(); // at rest, and used again and again so far
    final LinkedQueue<ConnectionPermit> hoped = new LinkedQueue<>(); // at rest, and not yet for longer than most are
    final LinkedQueue<ConnectionPermit> lingering = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> idle = new LinkedQueue<>(); // to upstreams
    final FrequencyList<Peer> held = new FrequencyList<>();
    final FrequencyList<Peer> silentOf = new FrequencyList<>();
    final FrequencyList<Peer> restingOf = new FrequencyList<>();
    private final Map<Object, Peer> peers = new HashMap<>();
    private final LinkedQueue<Peer> former = new LinkedQueue<>(); // hold nothing, the longest ago first
    private int clients;
    private int upstreams;
    private int clientsBusy;
    private int upstreamsBusy;

    int open(Direction side) {
        return side == Direction.CLIENT ? clients : upstreams;
    }

    int busy(Direction side) {
        return side == Direction.CLIENT ? clientsBusy : upstreamsBusy;
    }

    /** How many of the clients' connections are at rest. */
    int atRest() {
        return resting.size() + proven.size();
    }

    int peers() {
        return peers.size();
    }

    ConnectionPermit client(Object address, int units, ConnectionPermit.Holder holder, long now) {
        Peer peer = peers.computeIfAbsent(address, a -> new Peer(a, now));
        ConnectionPermit lease = new ConnectionPermit(Direction.CLIENT, peer, units, holder, now);
        clients += units;
        held.up(peer.held);
        peer.former.leave();
        enter(lease, ConnectionPermit.State.NEW, now);
        return lease;
    }

    ConnectionPermit upstream(ConnectionPermit.Holder holder, long now) {
        ConnectionPermit lease = new ConnectionPermit(Direction.UPSTREAM, null, 1, holder, now);
        upstreams++;
        enter(lease, ConnectionPermit.State.BUSY, now);
        return lease;
    }

    /** Takes a connection out of all counts; false if it is out already. */
    boolean gone(ConnectionPermit lease, long now) {
        if (lease.state == ConnectionPermit.State.GONE) {
            return false;
        }
        enter(lease, ConnectionPermit.State.GONE, now);
        if (lease.side == Direction.CLIENT) {
            clients -= lease.units;
            held.down(lease.peer.held);
            if (lease.peer.held.value() == 0) {
                former(lease.peer);
            }
        } else {
            upstreams -= lease.units;
        }
        return true;
    }

    // Guards against a table that grows with every address that ever came.
    private void former(Peer peer) {
        former.join(peer.former);
        if (former.size() > FORMER_MOST) {
            Peer eldest = former.first();
            eldest.former.leave();
            peers.remove(eldest.address);
        }
    }

    /** Changes what a connection is at; throws IllegalStateException for one that is gone. */
    void enter(ConnectionPermit lease, ConnectionPermit.State state, long now) {
        ConnectionPermit.State from = lease.state;
        if (from == state) {
            return;
        }
        if (from == ConnectionPermit.State.GONE) {
            throw new IllegalStateException(state + " after its end");
        }
        leave(lease);
        lease.state = state;
        lease.since = now;
        switch (state) {
            case NEW -> fresh.join(lease.place);
            case RECEIVING -> receiving.join(lease.place);
            case LINGERING -> lingering.join(lease.place);
            case SILENT -> {
                silent.join(lease.place);
                lease.peer.silent.join(lease.peerPlace);
                silentOf.up(lease.peer.silentCount);
            }
            case RESTING -> {
                if (lease.side == Direction.CLIENT && lease.proven()) {
                    proven.join(lease.place);
                    hoped.join(lease.hopePlace);
                } else if (lease.side == Direction.CLIENT) {
                    resting.join(lease.place);
                    hoped.join(lease.hopePlace);
                    lease.peer.resting.join(lease.peerPlace);
                    restingOf.up(lease.peer.restingCount);
                } else {
                    idle.join(lease.place);
                }
            }
            case BUSY -> busy(lease, 1);
            case GONE -> {}
            default -> throw new IllegalStateException("no such state: " + state);
        }
    }

    private void leave(ConnectionPermit lease) {
        boolean counted = lease.peerPlace.placed();
        lease.place.leave();
        lease.peerPlace.leave();
        lease.hopePlace.leave();
        if (lease.state == ConnectionPermit.State.BUSY) {
            busy(lease, -1);
        } else if (lease.state == ConnectionPermit.State.SILENT) {
            silentOf.down(lease.peer.silentCount);
        } else if (lease.state == ConnectionPermit.State.RESTING && counted) {
            restingOf.down(lease.peer.restingCount);
        }
    }

    private void busy(ConnectionPermit lease, int change) {
        if (lease.side == Direction.CLIENT) {
            clientsBusy += change;
        } else {
            upstreamsBusy += change;
        }
    }
}
