package loadbalancer.connections;

/**
 * The recent maximum of a quantity: it rises at once with the quantity and decays exponentially towards its present
 * value. For one thread; times in ns of one clock.
 */
final class DecayingPeak {
    private static final double TIME_CONSTANT_NANOS = 15e9;

    private double peak;
    private int current;
    private long updatedAt;

    DecayingPeak(long now) {
        this.updatedAt = now;
    }

    /** Sets the present value. */
    void record(int value, long now) {
        decay(now);
        current = value;
        peak = Math.max(peak, value);
    }

    /** The recent maximum, never below the present value. */
    double peak(long now) {
        decay(now);
        return peak;
    }

    private void decay(long now) {
        if (now > updatedAt) {
            peak = current + (peak - current) * Math.exp((updatedAt - now) / TIME_CONSTANT_NANOS);
            updatedAt = now;
        }
    }
}
