package loadbalancer.connections;

/** One address on the clients' side: what it holds, and whether its connections are used again. */
final class Peer {
    private static final double REMEMBERED = 32;
    final Object address;
    final Ladder.Count<Peer> held = new Ladder.Count<>(this);
    final Ladder.Count<Peer> silentCount = new Ladder.Count<>(this);
    final Ladder.Count<Peer> restingCount = new Ladder.Count<>(this);
    final Line<Lease> silent = new Line<>();
    final Line<Lease> resting = new Line<>();
    final Line.Place<Peer> former = new Line.Place<>(this);
    final Reuse reuse;

    Peer(Object address, long now) {
        this.address = address;
        this.reuse = new Reuse(REMEMBERED, now);
    }
}
