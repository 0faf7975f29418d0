package loadbalancer.connections;

/**
 * A client address: its connections, and how often they are reused. The counters are maintained by
 * {@link ConnectionTable}, which changes them together with the queues. Not thread-safe.
 */
final class Peer {
    private static final double MAX_REUSE_WEIGHT = 32;

    final Object address;
    final FrequencyList.Counter<Peer> openCount = new FrequencyList.Counter<>(this);
    final FrequencyList.Counter<Peer> silentCount = new FrequencyList.Counter<>(this);
    final FrequencyList.Counter<Peer> idleCount = new FrequencyList.Counter<>(this);
    final LinkedQueue<ConnectionPermit> silentConnections = new LinkedQueue<>();
    final LinkedQueue<ConnectionPermit> idleConnections = new LinkedQueue<>(); // without those reused regularly
    final LinkedQueue.Entry<Peer> unconnectedEntry = new LinkedQueue.Entry<>(this);
    final ReuseEstimator reuse;

    Peer(Object address, long nowNanos) {
        this.address = address;
        this.reuse = new ReuseEstimator(MAX_REUSE_WEIGHT, nowNanos);
    }
}
