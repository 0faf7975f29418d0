package loadbalancer.connections;

/**
 * The probability that an idle connection is used for another request: a weighted mean of recent observations that
 * decays towards the prior. Without the decay an estimate of 0 would be final: no connection would be kept open, so
 * nothing more could be observed. Invariant: {@code 0 <= reusedWeight <= totalWeight <= maxWeight}. For one thread;
 * times in ns of one clock.
 */
final class ReuseEstimator {
    /** The prior where nothing is known. */
    static final double DEFAULT_PRIOR = 0.5;

    private static final double TIME_CONSTANT_NANOS = 30e9;

    private final double maxWeight;
    private double totalWeight;
    private double reusedWeight;
    private long updatedAtNanos;

    /** {@code maxWeight}: how much weight of observations it remembers; more of it displaces older ones. */
    ReuseEstimator(double maxWeight, long nowNanos) {
        this.maxWeight = maxWeight;
        this.updatedAtNanos = nowNanos;
    }

    /** An idle connection was used for another request. */
    void recordReuse(double weight, long nowNanos) {
        addWeight(weight, nowNanos);
        reusedWeight += weight;
    }

    /** An idle connection was not reused, or there is a sign that it won't be. */
    void recordNoReuse(double weight, long nowNanos) {
        addWeight(weight, nowNanos);
    }

    private void addWeight(double weight, long nowNanos) {
        decay(nowNanos);
        double factor = totalWeight + weight > maxWeight ? (maxWeight - weight) / totalWeight : 1;
        totalWeight = totalWeight * factor + weight;
        reusedWeight *= factor;
    }

    /** The probability of reuse, with the prior counted as observations of {@code priorWeight} together. */
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
