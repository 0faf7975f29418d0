package loadbalancer.testbed.fleet;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The share of a fleet's load that each balancer gets: lognormal, from a seed. Immutable; does no I/O.
 */
public final class LoadShares {
    private final double[] cumulative; // the parts' sums, the last one 1

    private LoadShares(double[] cumulative) {
        this.cumulative = cumulative;
    }

    /**
     * Draws the shares.
     *
     * @param sigma standard deviation of the logarithm of a share; 0: all are equal, 0.8: the largest of a hundred
     *     is some eight times the median
     */
    public static LoadShares of(int balancers, double sigma, long seed) {
        if (balancers < 1 || !(sigma >= 0)) {
            throw new IllegalArgumentException("no shares of " + balancers + " balancers at " + sigma);
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] cumulative = new double[balancers];
        double sum = 0;
        for (int i = 0; i < balancers; i++) {
            sum += Math.exp(sigma * normal(random));
            cumulative[i] = sum;
        }
        for (int i = 0; i < balancers; i++) {
            cumulative[i] /= sum;
        }
        return new LoadShares(cumulative);
    }

    // Box and Muller, 1958: one of the two.
    private static double normal(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** The share of that balancer. */
    public double of(int balancer) {
        return cumulative[balancer] - (balancer == 0 ? 0 : cumulative[balancer - 1]);
    }

    /** The balancer that gets a request, for a number drawn uniformly from 0 (inclusive) to 1 (exclusive). */
    public int balancer(double drawn) {
        int found = Arrays.binarySearch(cumulative, drawn);
        return Math.min(cumulative.length - 1, found >= 0 ? found + 1 : -found - 1);
    }
}
