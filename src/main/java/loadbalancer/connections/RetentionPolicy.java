package loadbalancer.connections;

/**
 * Decides whether a client connection may stay open after a response, and how long it may then be idle. The probability
 * that the connection is reused is compared with a price of capacity between 0 and 1. Not thread-safe; times are in ns
 * of the budget's clock.
 */
final class RetentionPolicy {
    private static final double MAX_FREE_UTILIZATION = 0.25; // of the clients' capacity: up to here the price is 0
    private static final double MIN_FULL_PRICE_UTILIZATION = 0.75; // from here on the price is 1
    private static final double DITHER = 0.2; // varies the threshold, so that equal connections don't all close
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;
    private static final double REGULAR_REUSE_PROBABILITY = 0.9;
    private static final double MIN_PROBABILITY = 0.01;

    private final ConnectionTable table;
    private final CapacityShares shares;
    private final ReuseModel reuse;
    private final ConnectionTransitions transitions;
    private long decisions;

    RetentionPolicy(ConnectionTable table, CapacityShares shares, ReuseModel reuse, ConnectionTransitions transitions) {
        this.table = table;
        this.shares = shares;
        this.reuse = reuse;
        this.transitions = transitions;
    }

    /** Returns whether a client connection may stay open after the response that is being sent on it. */
    boolean mayStayOpen(ConnectionPermit permit, long nowNanos) {
        double price = price(permit.peer, nowNanos);
        if (price <= 0) {
            return true;
        }
        transitions.advance(nowNanos);
        double probability = reuse.reuseProbability(permit, nowNanos);
        decisions++;
        double dither = DITHER * (decisions * GOLDEN_RATIO_FRACTION % 1 - 0.5);
        return probability + dither > price;
    }

    // If one address holds a large share of the capacity, the price is lower for addresses that hold less, so that the
    // address with many connections is the first to lose some.
    private double price(Peer peer, long nowNanos) {
        double maxOpen = table.openByPeer.maxCount();
        double largestShare = Math.min(1, maxOpen / shares.max(Direction.CLIENT, nowNanos));
        return price(nowNanos) * (1 - largestShare * (1 - peer.openCount.value() / Math.max(1, maxOpen)));
    }

    // The price rises linearly with the utilization.
    private double price(long nowNanos) {
        double utilizationAboveFree = shares.clientUtilization(nowNanos) - MAX_FREE_UTILIZATION;
        return Math.max(0, Math.min(1, utilizationAboveFree / (MIN_FULL_PRICE_UTILIZATION - MAX_FREE_UTILIZATION)));
    }

    /** Returns the idle timeout of client connections; shorter if capacity is scarce and reuse unlikely. */
    long maxIdleNanos(long nowNanos) {
        return maxIdleNanos(reuse.reuseProbability(nowNanos), nowNanos);
    }

    /** Returns the idle timeout of client connections that have been reused regularly. */
    long maxRegularIdleNanos(long nowNanos) {
        return maxIdleNanos(REGULAR_REUSE_PROBABILITY, nowNanos);
    }

    private long maxIdleNanos(double reuseProbability, long nowNanos) {
        ConnectionLimits limits = shares.limits();
        double value = Math.max(0, 1 - price(nowNanos) / Math.max(MIN_PROBABILITY, reuseProbability));
        return limits.restLeast() + (long) ((limits.restMost() - limits.restLeast()) * value);
    }
}
