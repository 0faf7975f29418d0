package loadbalancer.connections;

/**
 * Estimates client behaviour: how likely an idle connection is reused, how long it takes until reuse, and how long
 * clients take to send their first request. A connection that is not reused usually yields two observations, one when a
 * new connection is opened instead and one when the reuse window ends, so each of them has half the weight. Not
 * thread-safe; times are in ns of the budget's clock.
 */
final class ReuseModel {
    private static final double MAX_COMMON_REUSE_WEIGHT = 64; // observations in the common estimate
    private static final double REUSE_WEIGHT = 1;
    private static final double NO_REUSE_WEIGHT = 0.5;
    private static final double CONNECTION_PRIOR_WEIGHT = 2; // the peer's estimate counts as this many idle periods
    private static final double PEER_PRIOR_WEIGHT = 8; // the common estimate counts as this many observations

    private static final double REQUEST_DELAY_FACTOR = 6; // grace period as a multiple of the mean delay
    private static final double REQUEST_DELAY_SAMPLES = 32; // averaged over this many clients
    private static final double REUSE_DELAY_FACTOR = 6; // reuse window as a multiple of the mean delay
    private static final double REUSE_DELAY_SAMPLES = 64; // averaged over this many idle periods
    private static final long MIN_REUSE_WINDOW_NANOS = 100_000_000;
    private static final long MAX_REUSE_WINDOW_NANOS = 1_000_000_000;
    private static final double RECONNECT_TIME_CONSTANT_NANOS = 1e9;

    private ReuseEstimator commonReuse;
    private double meanRequestDelayNanos; // from the open of a connection to its first request
    private double meanReuseDelayNanos; // length of idle periods that end with another request
    private double expectedReconnects; // clients closed after a response that may reconnect
    private long reconnectsUpdatedAtNanos;

    ReuseModel(ConnectionLimits limits, long nowNanos) {
        reset(limits, nowNanos);
    }

    /** Resets the common estimates; those of single peers and connections stay. */
    void reset(ConnectionLimits limits, long nowNanos) {
        commonReuse = new ReuseEstimator(MAX_COMMON_REUSE_WEIGHT, nowNanos);
        meanRequestDelayNanos = limits.askMost() / REQUEST_DELAY_FACTOR / 2;
        meanReuseDelayNanos = MAX_REUSE_WINDOW_NANOS / REUSE_DELAY_FACTOR / 2;
        expectedReconnects = 0;
        reconnectsUpdatedAtNanos = nowNanos;
    }

    /** Records that another request has begun to arrive on a connection that is still in state {@code IDLE}. */
    void recordReuse(ConnectionPermit permit, long nowNanos) {
        long delayNanos = Math.min(MAX_REUSE_WINDOW_NANOS, nowNanos - permit.stateSinceNanos);
        meanReuseDelayNanos += (delayNanos - meanReuseDelayNanos) / REUSE_DELAY_SAMPLES;
        commonReuse.recordReuse(REUSE_WEIGHT, nowNanos);
        permit.peer.reuse.recordReuse(REUSE_WEIGHT, nowNanos);
    }

    /** Records that an idle connection was closed, or not reused within the reuse window. */
    void recordNoReuse(ConnectionPermit permit, long nowNanos) {
        commonReuse.recordNoReuse(NO_REUSE_WEIGHT, nowNanos);
        permit.peer.reuse.recordNoReuse(NO_REUSE_WEIGHT, nowNanos);
    }

    /**
     * Records the first request on a connection. While idle connections are kept open for such requests, a request on a
     * new connection indicates that they are not reused, long before they time out. It indicates nothing if the client
     * had to reconnect, because this load balancer closed its last connection.
     *
     * @param idleClients how many client connections are idle
     */
    void recordFirstRequest(ConnectionPermit permit, ConnectionLimits limits, int idleClients, long nowNanos) {
        long delayNanos = Math.min(limits.askMost(), nowNanos - permit.openedAtNanos);
        meanRequestDelayNanos += (delayNanos - meanRequestDelayNanos) / REQUEST_DELAY_SAMPLES;
        expectedReconnects *= Math.exp((reconnectsUpdatedAtNanos - nowNanos) / RECONNECT_TIME_CONSTANT_NANOS);
        reconnectsUpdatedAtNanos = nowNanos;
        if (expectedReconnects >= 1) {
            expectedReconnects--;
        } else if (idleClients > 0) {
            commonReuse.recordNoReuse(NO_REUSE_WEIGHT, nowNanos);
        }
        if (!permit.peer.idleConnections.isEmpty()) {
            permit.peer.reuse.recordNoReuse(NO_REUSE_WEIGHT, nowNanos);
        }
    }

    /** Records that a connection is closed after its response although the client would have kept it open. */
    void recordClosedAfterResponse() {
        expectedReconnects++;
    }

    /** Returns the probability that any idle connection is reused. */
    double reuseProbability(long nowNanos) {
        return commonReuse.probability(ReuseEstimator.DEFAULT_PRIOR, PEER_PRIOR_WEIGHT, nowNanos);
    }

    /** Returns the probability that a connection is reused, from the history of it, its peer and all connections. */
    double reuseProbability(ConnectionPermit permit, long nowNanos) {
        double commonProbability = reuseProbability(nowNanos);
        double peerProbability = permit.peer.reuse.probability(commonProbability, PEER_PRIOR_WEIGHT, nowNanos);
        return (permit.reuses + peerProbability * CONNECTION_PRIOR_WEIGHT)
                / (permit.idlePeriods + CONNECTION_PRIOR_WEIGHT);
    }

    /** Returns the time within which an idle connection is expected to be reused, if it is reused at all. */
    long reuseWindowNanos() {
        long windowNanos = (long) (REUSE_DELAY_FACTOR * meanReuseDelayNanos);
        return Math.max(MIN_REUSE_WINDOW_NANOS, Math.min(MAX_REUSE_WINDOW_NANOS, windowNanos));
    }

    /** Returns how long a new connection may take for its first request before it can be closed for others. */
    long requestGraceNanos(ConnectionLimits limits) {
        long periodNanos = (long) (REQUEST_DELAY_FACTOR * meanRequestDelayNanos);
        return Math.max(limits.askLeast(), Math.min(limits.askMost(), periodNanos));
    }
}
