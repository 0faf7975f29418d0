package loadbalancer.testbed.fleet;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * What part of a fleet's load each balancer gets: lognormally uneven, by a seed. Does no I/O. Immutable; from
 * any thread.
 */
public final class LoadShares {
    private final double[] upTo; // the parts' sums, the last one 1

    private LoadShares(double[] upTo) {
        this.upTo = upTo;
    }

    /**
     * @param sigma of the logarithm of what a balancer gets; 0: all get the same, 0.8: the busiest of a
     *     hundred some eight times the median
     */
    public static LoadShares of(int balancers, double sigma, long seed) {
        if (balancers < 1 || !(sigma >= 0)) {
            throw new IllegalArgumentException("no shares of " + balancers + " balancers at " + sigma);
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] upTo = new double[balancers];
        double sum = 0;
        for (int i = 0; i < balancers; i++) {
            sum += Math.exp(sigma * normal(random));
            upTo[i] = sum;
        }
        for (int i = 0; i < balancers; i++) {
            upTo[i] /= sum;
        }
        return new LoadShares(upTo);
    }

    // Box and Muller, 1958: one of the two.
    private static double normal(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** What part that one gets. */
    public double of(int balancer) {
        return upTo[balancer] - (balancer == 0 ? 0 : upTo[balancer - 1]);
    }

    /** Who gets an order, by a number drawn evenly from 0 to below 1. */
    public int balancer(double drawn) {
        int found = Arrays.binarySearch(upTo, drawn);
        return Math.min(upTo.length - 1, found >= 0 ? found + 1 : -found - 1);
    }
}
