package loadbalancer.policy;

import loadbalancer.policy.Policy.RequestClass;

/**
 * Statistics learned for a class of requests. They survive a reload of the settings, and a request keeps the statistics
 * of the class under which it was accepted.
 */
final class ClassLatency {
    /** Weight of one response in the typical latency, and of one hint in the mean work. */
    private static final double SMOOTHING = 0.03;
    /** Proportion of the latency that is proportional to the hinted work. */
    private static final double WORK_PROPORTION = 0.7;
    /** A resubmission reveals its age where its time left differs by more than the deadline divided by this number. */
    private static final long TIME_LEFT_TOLERANCE_DIVISOR = 32;

    private double typicalMicros;
    /** Moving mean of the work that clients hint at; 0 before the first hint. */
    private double meanWork;
    /** Longest time left of a first submission. */
    private long firstSubmissionTimeLeftMicros;

    ClassLatency(RequestClass requestClass) {
        typicalMicros = requestClass.aimMicros() / 4.0;
    }

    /** Moving mean of the latency, in microseconds. */
    double typicalMicros() {
        return typicalMicros;
    }

    void recordLatency(long micros) {
        typicalMicros += SMOOTHING * (micros - typicalMicros);
    }

    /** Records a positive work hint and returns the expected latency as a multiple of the typical one. */
    double recordWork(long work) {
        meanWork += (meanWork > 0 ? SMOOTHING : 1) * (work - meanWork);
        return 1 + WORK_PROPORTION * (work / meanWork - 1);
    }

    /**
     * Microseconds since the client's first submission where a marked resubmission reveals this time, otherwise 0.
     * Clients give each submission either the same time or the time that is left of the class's deadline; a
     * resubmission whose time left differs from that of first submissions therefore reveals its age.
     */
    long submissionAgeMicros(long deadlineMicros, long timeLeftMicros, boolean resubmission) {
        if (!resubmission) {
            firstSubmissionTimeLeftMicros = Math.max(firstSubmissionTimeLeftMicros, timeLeftMicros);
            return 0;
        }
        boolean showsAge =
                Math.abs(timeLeftMicros - firstSubmissionTimeLeftMicros) > deadlineMicros / TIME_LEFT_TOLERANCE_DIVISOR;
        return showsAge ? Math.max(0, deadlineMicros - timeLeftMicros) : 0;
    }
}
