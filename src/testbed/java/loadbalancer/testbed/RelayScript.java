package loadbalancer.testbed;

import java.util.SplittableRandom;

/**
 * Decides from a seed what happens to each datagram on its way through a {@link UdpRelay}: the same seed and the
 * same order of datagrams give the same decisions. Does no I/O; for one thread.
 */
public final class RelayScript {
    /**
     * The faults of a path, as shares of its datagrams (0 to 1).
     *
     * @param drop those that are lost
     * @param twice those that are duplicated
     * @param late those that are delayed
     * @param corrupt those of which a bit is inverted
     * @param jitter the maximum delay of a delayed one, in µs
     */
    public record Faults(double drop, double twice, double late, double corrupt, long jitter) {
        /** A path without faults. */
        public static final Faults NONE = new Faults(0, 0, 0, 0, 0);

        /** Checks that shares are such. */
        public Faults {
            for (double share : new double[] {drop, twice, late, corrupt}) {
                if (!(share >= 0 && share <= 1)) {
                    throw new IllegalArgumentException("not a share: " + share);
                }
            }
        }

        /** A path that loses this share of the datagrams, both ways. */
        public static Faults loss(double share) {
            return new Faults(share, 0, 0, 0, 0);
        }
    }

    /**
     * What happens to a datagram.
     *
     * @param copies how often it is delivered: 0, 1 or 2
     * @param delay in µs
     * @param flip the number of the bit to invert, or -1
     */
    public record Fate(int copies, long delay, int flip) {}

    private final SplittableRandom random;
    private Faults faults;

    /** A script of that seed. */
    public RelayScript(long seed, Faults faults) {
        this.random = new SplittableRandom(seed);
        this.faults = faults;
    }

    /** Replaces the faults from here on. */
    public void set(Faults other) {
        faults = other;
    }

    /** Decides on the next datagram, of so many bytes. */
    public Fate next(int bytes) {
        // Four draws for each datagram, whatever the faults, so that a change of one share leaves the others as they
        // were.
        double drop = random.nextDouble();
        double twice = random.nextDouble();
        double late = random.nextDouble();
        double corrupt = random.nextDouble();
        if (drop < faults.drop()) {
            return new Fate(0, 0, -1);
        }
        return new Fate(
                twice < faults.twice() ? 2 : 1,
                late < faults.late() ? (long) (late / faults.late() * faults.jitter()) : 0,
                corrupt < faults.corrupt() ? (int) (corrupt / faults.corrupt() * bytes * 8) : -1);
    }
}
