package loadbalancer.testbed;

import java.util.SplittableRandom;

/**
 * What befalls each datagram on its way through a {@link UdpRelay}, from the seed alone: the same seed and
 * the same order of datagrams give the same fates. Does no I/O; for one thread.
 */
public final class RelayScript {
    /** Shares of datagrams; {@code jitter}: µs at most by which a late one is kept. */
    public record Faults(double drop, double twice, double late, double corrupt, long jitter) {
        /** A path without faults. */
        public static final Faults NONE = new Faults(0, 0, 0, 0, 0);

        public Faults {
            for (double share : new double[] {drop, twice, late, corrupt}) {
                if (!(share >= 0 && share <= 1)) {
                    throw new IllegalArgumentException("not a share: " + share);
                }
            }
        }

        /** One that loses a share of the datagrams, both ways. */
        public static Faults loss(double share) {
            return new Faults(share, 0, 0, 0, 0);
        }
    }

    /** {@code copies}: 0, 1 or 2; {@code delay} in µs; {@code flip}: a bit to turn over, or -1. */
    public record Fate(int copies, long delay, int flip) {}

    private final SplittableRandom chance;
    private Faults faults;

    public RelayScript(long seed, Faults faults) {
        this.chance = new SplittableRandom(seed);
        this.faults = faults;
    }

    /** Other faults from here on. */
    public void set(Faults other) {
        faults = other;
    }

    /** The fate of the next datagram, of so many bytes. */
    public Fate next(int bytes) {
        // Four draws for each, whatever the faults: a change of one share leaves the others' as they were.
        double drop = chance.nextDouble();
        double twice = chance.nextDouble();
        double late = chance.nextDouble();
        double bent = chance.nextDouble();
        if (drop < faults.drop()) {
            return new Fate(0, 0, -1);
        }
        return new Fate(
                twice < faults.twice() ? 2 : 1,
                late < faults.late() ? (long) (late / faults.late() * faults.jitter()) : 0,
                bent < faults.corrupt() ? (int) (bent / faults.corrupt() * bytes * 8) : -1);
    }
}
