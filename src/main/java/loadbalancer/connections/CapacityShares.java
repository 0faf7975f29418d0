package loadbalancer.connections;

/**
 * Divides the total number of connections between clients and upstreams. Each side is guaranteed its floor. The
 * capacity that a side needed recently is reserved for it as far as the other side's floor allows. The remaining
 * capacity goes to the side that requests it first. Not thread-safe; times are in ns of the budget's clock.
 */
final class CapacityShares {
    private static final double DEMAND_HEADROOM = 1.25; // factor on the recent peak of a side's busy connections

    private final ConnectionTable table;
    private ConnectionLimits limits;
    private int clientFloor;
    private int upstreamFloor;
    private DecayingPeak clientDemand;
    private DecayingPeak upstreamDemand;

    CapacityShares(ConnectionTable table, ConnectionLimits limits, long nowNanos) {
        this.table = table;
        setLimits(limits);
        resetDemand(nowNanos);
    }

    ConnectionLimits limits() {
        return limits;
    }

    void setLimits(ConnectionLimits limits) {
        this.limits = limits;
        clientFloor = Math.max(1, (int) (limits.most() * limits.clientFloor()));
        upstreamFloor = Math.max(1, (int) (limits.most() * limits.upstreamFloor()));
    }

    void resetDemand(long nowNanos) {
        clientDemand = new DecayingPeak(nowNanos);
        upstreamDemand = new DecayingPeak(nowNanos);
    }

    /** Records the current number of busy connections of a side as its demand. */
    void recordDemand(Direction direction, long nowNanos) {
        DecayingPeak demand = direction == Direction.CLIENT ? clientDemand : upstreamDemand;
        demand.record(table.busy(direction), nowNanos);
    }

    /** Returns how many connections of a side can be opened without closing another connection. */
    int available(Direction direction, long nowNanos) {
        int total = limits.most() - table.open(Direction.CLIENT) - table.open(Direction.UPSTREAM);
        return Math.max(0, Math.min(total, max(direction, nowNanos) - table.open(direction)));
    }

    /** Returns whether a side holds its maximum: closing a connection of the other side would not help it. */
    boolean isAtMax(Direction direction, long nowNanos) {
        return table.open(direction) >= max(direction, nowNanos);
    }

    /** Returns the maximum number of connections of a side. */
    int max(Direction direction, long nowNanos) {
        return limits.most() - reserved(direction.other(), nowNanos);
    }

    /** Returns the share of the clients' capacity in use; above 1 if clients hold more than their maximum. */
    double clientUtilization(long nowNanos) {
        return (double) table.open(Direction.CLIENT) / Math.max(1, max(Direction.CLIENT, nowNanos));
    }

    /** Returns the connections reserved for a side: at least its floor, at most what the other side's floor leaves. */
    int reserved(Direction direction, long nowNanos) {
        double clientExcess = demandAboveFloor(clientDemand, clientFloor, nowNanos);
        double upstreamExcess = demandAboveFloor(upstreamDemand, upstreamFloor, nowNanos);
        double divisible = limits.most() - clientFloor - upstreamFloor;
        double excess = clientExcess + upstreamExcess;
        double granted = excess > divisible ? divisible / excess : 1;
        return direction == Direction.CLIENT
                ? clientFloor + (int) (clientExcess * granted)
                : upstreamFloor + (int) (upstreamExcess * granted);
    }

    private static double demandAboveFloor(DecayingPeak demand, int floor, long nowNanos) {
        return Math.max(0, Math.ceil(DEMAND_HEADROOM * demand.peak(nowNanos)) - floor);
    }
}
