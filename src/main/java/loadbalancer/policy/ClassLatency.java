package loadbalancer.policy;

import loadbalancer.policy.Policy.RequestClass;

/**
 * What has been learned of a class of requests. It outlives a reload of the settings, and requests keep the one of
 * the class that they were taken under.
 */
final class ClassLatency {
    /** Weight of one response in the typical latency, and of one hint in the mean work. */
    private static final double SMOOTHING = 0.03;
    /** Part of the latency that is proportional to the hinted work. */
    private static final double WORK_PROPORTION = 0.7;
    /** A resubmission tells its age by a time left that differs by more than the deadline divided by this. */
    private static final long TIME_LEFT_TOLERANCE_DIVISOR = 32;

    private double typicalMicros;
    /** Moving mean of the work that clients hint at; 0 before the first hint. */
    private double meanWork;
    /** Longest time left of a first submission, in microseconds. */
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

    /** Records a positive work hint and returns the latency it promises, as a multiple of the typical one. */
    double recordWork(long work) {
        meanWork += (meanWork > 0 ? SMOOTHING : 1) * (work - meanWork);
        return 1 + WORK_PROPORTION * (work / meanWork - 1);
    }

    /**
     * Microseconds since the client's first submission, where a marked resubmission shows it, else 0. Each submission
     * gets the same time, or what is left of the class's deadline: one with another time than first submissions
     * tells its age.
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
