package loadbalancer.connections;

/**
 * What the budget keeps to. Times are in ns; shares are of {@code most}.
 *
 * @param most connections in all, on both sides
 * @param clientFloor the share that clients can always have
 * @param upstreamFloor the share that upstreams can always have
 * @param restLeast how long a client's connection may rest when room is short
 * @param restMost how long it may rest while room is ample
 * @param silentMost how long a connection may live without having asked anything
 * @param askLeast the least fair time to ask, within which none is ended for another client's sake
 * @param askMost the most of it: the fair time follows what clients take
 */
public record ConnectionLimits(
        int most,
        double clientFloor,
        double upstreamFloor,
        long restLeast,
        long restMost,
        long silentMost,
        long askLeast,
        long askMost) {
    private static final int RESERVE = 64; // for what is not counted: jars, selector, discovery
    private static final long MS = 1_000_000;

    public ConnectionLimits {
        check(most >= 2, "most", most);
        check(clientFloor > 0 && clientFloor < 1, "clientFloor", clientFloor);
        check(upstreamFloor > 0 && clientFloor + upstreamFloor <= 1, "upstreamFloor", upstreamFloor);
        check(restLeast > 0, "restLeast", restLeast);
        check(restMost >= restLeast, "restMost", restMost);
        check(silentMost > 0, "silentMost", silentMost);
        check(askLeast > 0, "askLeast", askLeast);
        check(askMost >= askLeast && askMost <= silentMost, "askMost", askMost);
    }

    private static void check(boolean holds, String name, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("impossible " + name + ": " + value);
        }
    }

    /** The same for half as many descriptors, where two processes share them. */
    public ConnectionLimits halved() {
        int reserve = Math.min(RESERVE, most);
        return new ConnectionLimits(
                Math.max(2, (most + reserve) / 2 - reserve),
                clientFloor,
                upstreamFloor,
                restLeast,
                restMost,
                silentMost,
                askLeast,
                askMost);
    }

    /** The usual ones for a process that may hold so many descriptors. */
    public static ConnectionLimits of(int descriptors) {
        return new ConnectionLimits(
                Math.max(2, descriptors - Math.min(RESERVE, descriptors / 2)),
                0.35,
                0.2,
                300 * MS,
                5_000 * MS,
                2_200 * MS,
                60 * MS,
                1_000 * MS);
    }
}
