package loadbalancer.policy;

/** The rate at which clients bring requests to this balancer. Resubmissions don't count. */
final class ArrivalRate {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Shortest time that the rate is a mean of: what arrives at a start may be a burst. */
    private static final double MIN_WINDOW_MICROS = DecayScale.TIME_CONSTANT_MICROS / 3;

    private double arrivalCount;
    private long firstArrivalAtMicros;

    void record(long nowMicros, boolean resubmission) {
        firstArrivalAtMicros = arrivalCount == 0 ? nowMicros : firstArrivalAtMicros;
        arrivalCount += resubmission ? 0 : 1;
    }

    /** Decaying number of arrivals. */
    double arrivalCount() {
        return arrivalCount;
    }

    /**
     * Requests per second: a mean of the time since the first one, where that is short. A balancer that has just
     * started is otherwise taken for an idle one, and refuses requests at the few servers of its subset.
     */
    double perSecond(long nowMicros) {
        double elapsedMicros = Math.max(MIN_WINDOW_MICROS, (double) (nowMicros - firstArrivalAtMicros));
        return arrivalCount
                / DecayScale.TIME_CONSTANT_MICROS
                * MICROS_PER_SECOND
                / -Math.expm1(-elapsedMicros / DecayScale.TIME_CONSTANT_MICROS);
    }

    void decay(double decayFactor) {
        arrivalCount *= decayFactor;
    }
}
