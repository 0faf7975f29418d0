package loadbalancer.connections;

/**
 * Decides whether a request that a client has sent is forwarded, by how many client connections are busy. Busy
 * connections are never closed, so that newcomers wait unread once all are busy. A part of the connections is
 * therefore kept for requests that are rejected at once, and long request bodies, which keep their connections for
 * seconds, leave a larger part to short requests. Not thread-safe; times are in ns of the budget's clock.
 */
final class RequestAdmission {
    /** The clients' connections are short if all but this fraction of them are open. */
    private static final int FREE_FRACTION = 8;
    /** Fraction of the clients' connections that is kept from requests of any kind. */
    private static final int KEPT_FRACTION = 8;
    /** Fraction of the clients' connections that is kept from long request bodies. */
    private static final int KEPT_FROM_LONG_BODIES_FRACTION = 2;

    private final ConnectionTable table;
    private final CapacityShares shares;

    RequestAdmission(ConnectionTable table, CapacityShares shares) {
        this.table = table;
        this.shares = shares;
    }

    /** Whether a request is forwarded whose connection counts as busy already. */
    boolean admits(boolean longBody, long nowNanos) {
        int max = shares.max(Direction.CLIENT, nowNanos);
        boolean isShort = table.open(Direction.CLIENT) >= max - max / FREE_FRACTION;
        int kept = longBody ? max / KEPT_FROM_LONG_BODIES_FRACTION : max / KEPT_FRACTION;
        return !isShort || table.busy(Direction.CLIENT) <= max - kept;
    }
}
