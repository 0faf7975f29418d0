package loadbalancer.testbed;

import java.util.SplittableRandom;

/**
 * The faults injected into one stand-in server's responses, as shares of its requests. Does no I/O; for the
 * server's event loop only.
 *
 * <p>Each decision draws one number whether or not the fault is on, so that a change of one fault leaves the
 * random numbers of the others as they were.
 */
final class ServerFaults {
    private final SplittableRandom random;
    private double errorShare;
    private double fastErrorShare;
    private double resetShare;
    private boolean refusing;

    ServerFaults(SplittableRandom random) {
        this.random = random;
    }

    /** From here on this share of responses (0 to 1) has status 500, after the work was done. */
    void setErrorShare(double share) {
        errorShare = share;
    }

    /** From here on this share of requests (0 to 1) gets status 500 at once, without any work. */
    void setFastErrorShare(double share) {
        fastErrorShare = share;
    }

    /** From here on this share of connections (0 to 1) is reset in place of a response, after the work. */
    void setResetShare(double share) {
        resetShare = share;
    }

    /** Whether every request is refused from here on. */
    void setRefusing(boolean refusing) {
        this.refusing = refusing;
    }

    boolean isRefusing() {
        return refusing;
    }

    /** Whether the next request fails before its work. */
    boolean drawFastError() {
        return random.nextDouble() < fastErrorShare;
    }

    /** Whether the next completed request's connection is reset. */
    boolean drawReset() {
        return random.nextDouble() < resetShare;
    }

    /** Whether the next completed request's response is an error. */
    boolean drawError() {
        return random.nextDouble() < errorShare;
    }
}
