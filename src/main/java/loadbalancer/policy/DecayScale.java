package loadbalancer.policy;

/**
 * The common unit of the decaying counts of servers and keys. A count is increased by {@link #unit()}, which grows
 * with time, in place of all counts shrinking: the work at each wake does not grow with the number of servers.
 */
final class DecayScale {
    /** Time constant of all decaying counts, so that a slowed server loses its rank in seconds. */
    static final double TIME_CONSTANT_MICROS = 10e6;
    /** The owners of counts bring them back to unit 1 beyond this. */
    private static final double MAX_UNIT = 1e60;

    private double unit = 1;

    /** Decays all counts to the proportion {@code decayFactor} of what they were. */
    void decay(double decayFactor) {
        unit /= Math.max(decayFactor, 1 / MAX_UNIT);
    }

    double unit() {
        return unit;
    }

    boolean mustRescale() {
        return unit > MAX_UNIT;
    }

    /** Sets the unit to 1; the counts must have been divided by the former unit. */
    void reset() {
        unit = 1;
    }
}
