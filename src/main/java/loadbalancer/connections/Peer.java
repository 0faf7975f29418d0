package loadbalancer.connections;

/** One address on the clients' side: what it holds, and whether its connections are used again. */
final class Peer {
    private static final double REMEMBERED = 32;
    final Object address;
    final FrequencyList.Count<Peer> held = new FrequencyList.Count<>(this);
    final FrequencyList.Count<Peer> silentCount = new FrequencyList.Count<>(this);
    final FrequencyList.Count<Peer> restingCount = new FrequencyList.Count<>(this);
    final LinkedQueue<ConnectionPermit> silent = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> resting = new LinkedQueue<>();
    final LinkedQueue.Place<Peer> former = new LinkedQueue.Place<>(this);
    final ReuseEstimator reuse;

    Peer(Object address, long now) {
        this.address = address;
        this.reuse = new ReuseEstimator(REMEMBERED, now);
    }
}
