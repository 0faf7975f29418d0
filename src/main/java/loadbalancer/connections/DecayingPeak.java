package loadbalancer.connections;

/**
 * The recent maximum of a quantity: it rises at once with the quantity and decays exponentially towards its present
 * value. For one thread; times in ns of one clock.
 */
final class DecayingPeak {
    private static final double TIME_CONSTANT_NANOS = 15e9;

    private double peak;
    private int current;
    private long updatedAtNanos;

    DecayingPeak(long nowNanos) {
        this.updatedAtNanos = nowNanos;
    }

    /** Sets the present value. */
    void record(int value, long nowNanos) {
        decay(nowNanos);
        current = value;
        peak = Math.max(peak, value);
    }

    /** The recent maximum, never below the present value. */
    double peak(long nowNanos) {
        decay(nowNanos);
        return peak;
    }

    private void decay(long nowNanos) {
        if (nowNanos > updatedAtNanos) {
            peak = current + (peak - current) * Math.exp((updatedAtNanos - nowNanos) / TIME_CONSTANT_NANOS);
            updatedAtNanos = nowNanos;
        }
    }
}
