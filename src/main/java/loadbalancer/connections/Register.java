package loadbalancer.connections;

import java.util.HashMap;
import java.util.Map;

/**
 * What is open, and what each connection is at: its lines and counts. Invariants: a connection stands in the
 * line of its state and no other, {@code BUSY} and {@code GONE} have none; the ladders count what the peers'
 * lines hold; {@code clients} and {@code upstreams} are the units of all that is not gone. For one thread;
 * times in ns.
 */
final class Register {
    private static final int FORMER_MOST = 1_024; // peers that are remembered while they hold nothing

    final Line<Lease> fresh = new Line<>(); // have not asked, within their fair time
    final Line<Lease> silent = new Line<>(); // have not asked, past it
    final Line<Lease> receiving = new Line<>();
    final Line<Lease> resting = new Line<>();
    final Line<Lease> proven = new Line<>(); // at rest, and used again and again so far
    final Line<Lease> hoped = new Line<>(); // at rest, and not yet for longer than most are
    final Line<Lease> lingering = new Line<>();
    final Line<Lease> idle = new Line<>(); // to upstreams
    final Ladder<Peer> held = new Ladder<>();
    final Ladder<Peer> silentOf = new Ladder<>();
    final Ladder<Peer> restingOf = new Ladder<>();
    private final Map<Object, Peer> peers = new HashMap<>();
    private final Line<Peer> former = new Line<>(); // hold nothing, the longest ago first
    private int clients;
    private int upstreams;
    private int clientsBusy;
    private int upstreamsBusy;

    int open(Side side) {
        return side == Side.CLIENT ? clients : upstreams;
    }

    int busy(Side side) {
        return side == Side.CLIENT ? clientsBusy : upstreamsBusy;
    }

    /** How many of the clients' connections are at rest. */
    int atRest() {
        return resting.size() + proven.size();
    }

    int peers() {
        return peers.size();
    }

    Lease client(Object address, int units, Lease.Holder holder, long now) {
        Peer peer = peers.computeIfAbsent(address, a -> new Peer(a, now));
        Lease lease = new Lease(Side.CLIENT, peer, units, holder, now);
        clients += units;
        held.up(peer.held);
        peer.former.leave();
        enter(lease, Lease.State.NEW, now);
        return lease;
    }

    Lease upstream(Lease.Holder holder, long now) {
        Lease lease = new Lease(Side.UPSTREAM, null, 1, holder, now);
        upstreams++;
        enter(lease, Lease.State.BUSY, now);
        return lease;
    }

    /** Takes a connection out of all counts; false if it is out already. */
    boolean gone(Lease lease, long now) {
        if (lease.state == Lease.State.GONE) {
            return false;
        }
        enter(lease, Lease.State.GONE, now);
        if (lease.side == Side.CLIENT) {
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
    void enter(Lease lease, Lease.State state, long now) {
        Lease.State from = lease.state;
        if (from == state) {
            return;
        }
        if (from == Lease.State.GONE) {
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
                if (lease.side == Side.CLIENT && lease.proven()) {
                    proven.join(lease.place);
                    hoped.join(lease.hopePlace);
                } else if (lease.side == Side.CLIENT) {
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

    private void leave(Lease lease) {
        boolean counted = lease.peerPlace.placed();
        lease.place.leave();
        lease.peerPlace.leave();
        lease.hopePlace.leave();
        if (lease.state == Lease.State.BUSY) {
            busy(lease, -1);
        } else if (lease.state == Lease.State.SILENT) {
            silentOf.down(lease.peer.silentCount);
        } else if (lease.state == Lease.State.RESTING && counted) {
            restingOf.down(lease.peer.restingCount);
        }
    }

    private void busy(Lease lease, int change) {
        if (lease.side == Side.CLIENT) {
            clientsBusy += change;
        } else {
            upstreamsBusy += change;
        }
    }
}
