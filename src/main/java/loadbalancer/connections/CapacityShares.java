package loadbalancer.connections;

/**
 * How the total of connections is divided between clients and upstreams. Each side can always have its floor, and
 * what it recently needed is reserved for it as far as the other's floor allows; the rest goes to whichever side asks
 * first. For one thread; times in ns of the budget's clock.
 */
final class CapacityShares {
    private static final double DEMAND_HEADROOM = 1.25; // on a side's recent peak of busy connections

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

    /** Takes that side's present number of busy connections as its demand. */
    void recordDemand(Direction direction, long nowNanos) {
        DecayingPeak demand = direction == Direction.CLIENT ? clientDemand : upstreamDemand;
        demand.record(table.busy(direction), nowNanos);
    }

    /** How many more connections of that side may be opened with no other one closed for them. */
    int available(Direction direction, long nowNanos) {
        int total = limits.most() - table.open(Direction.CLIENT) - table.open(Direction.UPSTREAM);
        return Math.max(0, Math.min(total, max(direction, nowNanos) - table.open(direction)));
    }

    /** Whether that side holds all that it may: closing a connection of the other side would not help it. */
    boolean isAtMax(Direction direction, long nowNanos) {
        return table.open(direction) >= max(direction, nowNanos);
    }

    /** How many connections that side may hold together. */
    int max(Direction direction, long nowNanos) {
        return limits.most() - reserved(direction.other(), nowNanos);
    }

    /** The share of the clients' capacity in use; above 1 where they hold more than they may. */
    double clientUtilization(long nowNanos) {
        return (double) table.open(Direction.CLIENT) / Math.max(1, max(Direction.CLIENT, nowNanos));
    }

    /** How many connections are reserved for that side: at least its floor, at most what the other's floor leaves. */
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
