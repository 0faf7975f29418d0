package loadbalancer.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How load is shared out over a fleet, how its evenness is measured, and which members a fault affects. */
class LoadSpreadTest {
    private static final double[] EQUAL = {1, 1, 1, 1};

    @Test
    void requestsInProportionToWeightHaveNoDeviation() {
        LoadSpread even = LoadSpread.of(new long[] {100, 100, 200, 400}, new double[] {1, 1, 2, 4});
        assertEquals(0, even.deviation(), 1e-9);
        assertEquals(0, even.beyond(), 1e-9);
        assertEquals(1, even.min(), 1e-9);
        assertEquals(1, even.max(), 1e-9);
    }

    @Test
    void aServerWithoutRequestsAndOneWithTwiceItsShareAreReported() {
        LoadSpread spread = LoadSpread.of(new long[] {0, 200, 100, 100}, EQUAL);
        assertEquals(Math.sqrt(0.5), spread.deviation(), 1e-9);
        assertEquals(Math.sqrt(0.0075), spread.chance(), 1e-9);
        assertEquals(Math.sqrt(0.5 - 0.0075), spread.beyond(), 1e-9);
        assertEquals(0, spread.min());
        assertEquals(2, spread.max());
        assertEquals(1, spread.idle());
        assertEquals(4, LoadSpread.of(new long[4], EQUAL).idle(), "nothing was asked");
        assertThrows(IllegalArgumentException.class, () -> LoadSpread.of(new long[3], EQUAL));
    }

    /** What is drawn has the deviation that chance alone gives. */
    @Test
    void randomPlacementIsReportedAsChance() {
        SplittableRandom random = new SplittableRandom(4);
        double[] weights = new double[400];
        long[] got = new long[400];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = 1 + i % 2;
        }
        for (int i = 0; i < 12_000; i++) {
            int drawn = random.nextInt(600);
            got[drawn < 200 ? 2 * drawn : (drawn - 200) / 2 * 2 + 1]++;
        }
        LoadSpread spread = LoadSpread.of(got, weights);
        assertEquals(1, spread.deviation() / spread.chance(), 0.1);
    }

    @Test
    void sharesSumToOneAndRequestsFollowThem() {
        LoadShares shares = LoadShares.of(50, 0.8, 3);
        double sum = 0;
        double max = 0;
        int[] got = new int[50];
        for (int i = 0; i < 100_000; i++) {
            got[shares.balancer(i / 100_000.0)]++;
        }
        for (int i = 0; i < 50; i++) {
            sum += shares.of(i);
            max = Math.max(max, shares.of(i));
            assertEquals(shares.of(i), got[i] / 1e5, 2e-5);
        }
        assertEquals(1, sum, 1e-9);
        assertTrue(max > 0.04, "uneven: " + max);
        assertEquals(0.1, LoadShares.of(10, 0, 3).of(7), 1e-9, "even");
        assertEquals(9, LoadShares.of(10, 0, 3).balancer(Math.nextDown(1.0)));
        assertThrows(IllegalArgumentException.class, () -> LoadShares.of(0, 1, 1));
    }

    @Test
    void aFaultAffectsItsShareAndTheSameMembersForTheSameSeed() {
        Fault kill = new Fault(1_000, Fault.Kind.KILL, 0.7, 1_000);
        List<Integer> affected = kill.affected(100, 5);
        assertEquals(70, affected.stream().distinct().count());
        assertEquals(affected, kill.affected(100, 5));
        assertTrue(!affected.equals(kill.affected(100, 6)), "drawn by the seed");
        assertEquals(1, new Fault(0, Fault.Kind.STALL, 0.001, 1).affected(3, 1).size(), "one at least");
    }
}
