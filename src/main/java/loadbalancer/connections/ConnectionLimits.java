package loadbalancer.connections;

/**
 * The limits of the connection budget. Times are in ns; floors are shares of {@code most} between 0 and 1. The
 * constructor throws IllegalArgumentException, with the name of the component, for a value out of range.
 *
 * @param most maximum number of open connections to clients and upstreams together
 * @param clientFloor the share of the connections that is guaranteed to clients
 * @param upstreamFloor the share of the connections that is guaranteed to upstreams
 * @param restLeast idle timeout of client connections while capacity is short
 * @param restMost idle timeout of client connections while capacity is ample
 * @param silentMost how long a client connection may be open without a request
 * @param askLeast minimum grace period for the first request; within the grace period a client connection is not closed
 *     to admit another client
 * @param askMost maximum grace period; between the two limits, the grace period follows the observed delay of first
 *     requests
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
    private static final int RESERVED_DESCRIPTORS = 64; // outside the budget: JAR files, selector, discovery
    private static final int MIN_CONNECTIONS = 2;
    private static final long RESERVED_HEAP_BYTES = 6 << 20; // of a process without connections, and of its garbage
    private static final long OBJECT_BYTES_OF_CONNECTION = 4 << 10; // of its channel, handlers and permit
    private static final long NANOS_PER_MILLI = 1_000_000;

    public ConnectionLimits {
        check(most >= MIN_CONNECTIONS, "most", most);
        check(clientFloor > 0 && clientFloor < 1, "clientFloor", clientFloor);
        check(upstreamFloor > 0 && clientFloor + upstreamFloor <= 1, "upstreamFloor", upstreamFloor);
        check(restLeast > 0, "restLeast", restLeast);
        check(restMost >= restLeast, "restMost", restMost);
        check(silentMost > 0, "silentMost", silentMost);
        check(askLeast > 0, "askLeast", askLeast);
        check(askMost >= askLeast && askMost <= silentMost, "askMost", askMost);
    }

    private static void check(boolean inRange, String name, Object value) {
        if (!inRange) {
            throw new IllegalArgumentException("out of range: " + name + "=" + value);
        }
    }

    /**
     * Returns these limits with no more connections than fit into the heap, each with all that it may hold.
     *
     * @param heapBytes max. size of the heap
     * @param messageBytes the part of the heap that connections may take for messages beyond their minimum
     * @param minMessageBytes what each connection may always take for messages
     */
    public ConnectionLimits withinHeap(long heapBytes, long messageBytes, long minMessageBytes) {
        long bytesOfConnection = OBJECT_BYTES_OF_CONNECTION + minMessageBytes;
        long fitting = (heapBytes - RESERVED_HEAP_BYTES - messageBytes) / bytesOfConnection;
        return withMost((int) Math.min(most, Math.max(MIN_CONNECTIONS, fitting)));
    }

    /** Returns these limits for half as many file descriptors, as two processes share them during a hot restart. */
    public ConnectionLimits halved() {
        int reserved = Math.min(RESERVED_DESCRIPTORS, most);
        return withMost(Math.max(MIN_CONNECTIONS, (most + reserved) / 2 - reserved));
    }

    private ConnectionLimits withMost(int newMost) {
        return new ConnectionLimits(
                newMost, clientFloor, upstreamFloor, restLeast, restMost, silentMost, askLeast, askMost);
    }

    /** Returns the default limits of a process that may open {@code descriptors} file descriptors. */
    public static ConnectionLimits of(int descriptors) {
        return new ConnectionLimits(
                Math.max(MIN_CONNECTIONS, descriptors - Math.min(RESERVED_DESCRIPTORS, descriptors / 2)),
                0.35,
                0.2,
                300 * NANOS_PER_MILLI,
                5_000 * NANOS_PER_MILLI,
                2_200 * NANOS_PER_MILLI,
                60 * NANOS_PER_MILLI,
                1_000 * NANOS_PER_MILLI);
    }
}
