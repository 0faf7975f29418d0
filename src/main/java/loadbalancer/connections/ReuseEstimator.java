package loadbalancer.connections;

/**
 * How likely a connection that rests is to be used again: a mean of what was seen lately, which fades towards
 * not knowing. Without the fading an estimate of 0 would stay: no connection is kept then, and nothing more
 * is seen. For one thread; times in ns.
 */
final class ReuseEstimator {
    /** What is assumed where nothing has been seen. */
    static final double UNKNOWN = 0.5;

    private static final double FADE = 30e9; // ns in which what was seen counts e times less
    private final double most; // observations that it remembers
    private double seen;
    private double used;
    private long at;

    ReuseEstimator(double most, long now) {
        this.most = most;
        this.at = now;
    }

    /** A rest has been followed by another request, or there is a sign that it won't be. */
    void saw(boolean again, double weight, long now) {
        fade(now);
        double keep = seen + weight > most ? (most - weight) / seen : 1;
        seen = seen * keep + weight;
        used = used * keep + (again ? weight : 0);
    }

    /** The share that was used again, as if {@code weight} further rests had had the share {@code prior}. */
    double share(double prior, double weight, long now) {
        fade(now);
        return (used + prior * weight) / (seen + weight);
    }

    private void fade(long now) {
        if (now > at) {
            double left = Math.exp((at - now) / FADE);
            seen *= left;
            used *= left;
            at = now;
        }
    }
}
