package loadbalancer.connections;

/**
 * The recent maximum of a quantity. It rises immediately with the quantity and decays exponentially towards the current
 * value. Not thread-safe; times are in ns of one clock.
 */
final class DecayingPeak {
    private static final double TIME_CONSTANT_NANOS = 15e9;

    private double peak;
    private int current;
    private long updatedAtNanos;

    DecayingPeak(long nowNanos) {
        this.updatedAtNanos = nowNanos;
    }

    /** Records the current value. */
    void record(int value, long nowNanos) {
        decay(nowNanos);
        current = value;
        peak = Math.max(peak, value);
    }

    /** Returns the recent maximum, which is never below the current value. */
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
