package loadbalancer.connections;

/**
 * Estimates the probability that an idle connection is used for another request, as a weighted mean of recent
 * observations that decays towards a prior. Without the decay, an estimate of 0 would be final: no connection would be
 * kept open, so that no reuse could be observed. Invariant: {@code 0 <= reusedWeight <= totalWeight <= maxWeight}. Not
 * thread-safe; times are in ns of one clock.
 */
final class ReuseEstimator {
    /** The prior if nothing is known. */
    static final double DEFAULT_PRIOR = 0.5;

    private static final double TIME_CONSTANT_NANOS = 30e9;

    private final double maxWeight;
    private double totalWeight;
    private double reusedWeight;
    private long updatedAtNanos;

    /** {@code maxWeight}: the maximum total weight of the observations; newer observations displace older ones. */
    ReuseEstimator(double maxWeight, long nowNanos) {
        this.maxWeight = maxWeight;
        this.updatedAtNanos = nowNanos;
    }

    /** Records that an idle connection was used for another request. */
    void recordReuse(double weight, long nowNanos) {
        addWeight(weight, nowNanos);
        reusedWeight += weight;
    }

    /** Records that an idle connection was not reused, or an indication that it won't be. */
    void recordNoReuse(double weight, long nowNanos) {
        addWeight(weight, nowNanos);
    }

    private void addWeight(double weight, long nowNanos) {
        decay(nowNanos);
        double factor = totalWeight + weight > maxWeight ? (maxWeight - weight) / totalWeight : 1;
        totalWeight = totalWeight * factor + weight;
        reusedWeight *= factor;
    }

    /** Returns the probability of reuse, where the prior counts as observations with the weight {@code priorWeight}. */
    double probability(double prior, double priorWeight, long nowNanos) {
        decay(nowNanos);
        return (reusedWeight + prior * priorWeight) / (totalWeight + priorWeight);
    }

    private void decay(long nowNanos) {
        if (nowNanos > updatedAtNanos) {
            double factor = Math.exp((updatedAtNanos - nowNanos) / TIME_CONSTANT_NANOS);
            totalWeight *= factor;
            reusedWeight *= factor;
            updatedAtNanos = nowNanos;
        }
    }
}
