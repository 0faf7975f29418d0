package loadbalancer.connections;

/**
 * What is learned of the clients' habits: how likely an idle connection is reused, how long reuse takes, and how long
 * clients take to send their first request. Observations are weighted: a connection that is not reused usually gives
 * two signs, one when a new connection is opened instead of it and one when its expected reuse fails to come, so each
 * counts half. For one thread; times in ns of the budget's clock.
 */
final class ReuseModel {
    private static final double MAX_COMMON_REUSE_WEIGHT = 64; // observations that the common estimate remembers
    private static final double REUSE_WEIGHT = 1;
    private static final double NO_REUSE_WEIGHT = 0.5;
    private static final double CONNECTION_PRIOR_WEIGHT = 2; // idle periods that the peer's estimate counts for
    private static final double PEER_PRIOR_WEIGHT = 8; // observations that the common estimate counts for

    private static final double REQUEST_DELAY_FACTOR = 6; // grace period, as a multiple of the mean delay
    private static final double REQUEST_DELAY_SAMPLES = 32; // clients
    private static final double REUSE_DELAY_FACTOR = 6; // when reuse is overdue, as a multiple of the mean delay
    private static final double REUSE_DELAY_SAMPLES = 64; // idle periods
    private static final long MIN_REUSE_WINDOW_NANOS = 100_000_000;
    private static final long MAX_REUSE_WINDOW_NANOS = 1_000_000_000;
    private static final double RECONNECT_TIME_CONSTANT_NANOS = 1e9;

    private ReuseEstimator commonReuse;
    private double meanRequestDelayNanos; // from a connection's start to its first request
    private double meanReuseDelayNanos; // length of an idle period that ends with another request
    private double expectedReconnects; // clients whose connection was closed after a response and who may be back
    private long reconnectsUpdatedAtNanos;

    ReuseModel(ConnectionLimits limits, long nowNanos) {
        reset(limits, nowNanos);
    }

    /** Forgets what was learned, except about single peers and connections. */
    void reset(ConnectionLimits limits, long nowNanos) {
        commonReuse = new ReuseEstimator(MAX_COMMON_REUSE_WEIGHT, nowNanos);
        meanRequestDelayNanos = limits.askMost() / REQUEST_DELAY_FACTOR / 2;
        meanReuseDelayNanos = MAX_REUSE_WINDOW_NANOS / REUSE_DELAY_FACTOR / 2;
        expectedReconnects = 0;
        reconnectsUpdatedAtNanos = nowNanos;
    }

    /** Another request has begun to arrive on an idle connection, which is still in that state. */
    void recordReuse(ConnectionPermit permit, long nowNanos) {
        long delayNanos = Math.min(MAX_REUSE_WINDOW_NANOS, nowNanos - permit.stateSinceNanos);
        meanReuseDelayNanos += (delayNanos - meanReuseDelayNanos) / REUSE_DELAY_SAMPLES;
        commonReuse.recordReuse(REUSE_WEIGHT, nowNanos);
        permit.peer.reuse.recordReuse(REUSE_WEIGHT, nowNanos);
    }

    /** An idle connection was closed, or not reused when that was to be expected. */
    void recordNoReuse(ConnectionPermit permit, long nowNanos) {
        commonReuse.recordNoReuse(NO_REUSE_WEIGHT, nowNanos);
        permit.peer.reuse.recordNoReuse(NO_REUSE_WEIGHT, nowNanos);
    }

    /**
     * The first request has arrived on a connection. While others are idle that were kept open for such a request, it
     * is a sign against reuse, long before these time out. It is no such sign where the client had to reconnect, as
     * its last connection was closed here.
     *
     * @param idleClients how many of the clients' connections are idle
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

    /** A connection is closed after its response although its client would have kept it. */
    void recordClosedAfterResponse() {
        expectedReconnects++;
    }

    /** The probability that any idle connection is reused. */
    double reuseProbability(long nowNanos) {
        return commonReuse.probability(ReuseEstimator.DEFAULT_PRIOR, PEER_PRIOR_WEIGHT, nowNanos);
    }

    /** The probability that this one is reused if it stays open, by its own history, its peer's and all others'. */
    double reuseProbability(ConnectionPermit permit, long nowNanos) {
        double commonProbability = reuseProbability(nowNanos);
        double peerProbability = permit.peer.reuse.probability(commonProbability, PEER_PRIOR_WEIGHT, nowNanos);
        return (permit.reuses + peerProbability * CONNECTION_PRIOR_WEIGHT)
                / (permit.idlePeriods + CONNECTION_PRIOR_WEIGHT);
    }

    /** Within what time an idle connection is reused, if it is reused at all. */
    long reuseWindowNanos() {
        long windowNanos = (long) (REUSE_DELAY_FACTOR * meanReuseDelayNanos);
        return Math.max(MIN_REUSE_WINDOW_NANOS, Math.min(MAX_REUSE_WINDOW_NANOS, windowNanos));
    }

    /** How long a new connection may take for its first request before it can be closed for others. */
    long requestGraceNanos(ConnectionLimits limits) {
        long periodNanos = (long) (REQUEST_DELAY_FACTOR * meanRequestDelayNanos);
        return Math.max(limits.askLeast(), Math.min(limits.askMost(), periodNanos));
    }
}
