package loadbalancer.connections;

/** The most that was in use lately: it rises at once and fades towards what is in use now. Times in ns. */
final class DecayingPeak {
    private static final double FADE = 15e9; // ns in which the distance falls e times
    private double peak;
    private int present;
    private long at;

    DecayingPeak(long now) {
        this.at = now;
    }

    void set(int inUse, long now) {
        fade(now);
        present = inUse;
        peak = Math.max(peak, inUse);
    }

    double peak(long now) {
        fade(now);
        return peak;
    }

    private void fade(long now) {
        if (now > at) {
            peak = present + (peak - present) * Math.exp((at - now) / FADE);
            at = now;
        }
    }
}
