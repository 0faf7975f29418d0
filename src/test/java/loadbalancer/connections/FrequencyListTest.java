package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the list with an array of counts over random operations. */
class FrequencyListTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void maximumEqualsThatOfAnArrayOverRandomHistories(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FrequencyList<Integer> list = new FrequencyList<>();
        List<FrequencyList.Counter<Integer>> counters = new ArrayList<>();
        int[] expected = new int[30];
        for (int i = 0; i < expected.length; i++) {
            counters.add(new FrequencyList.Counter<>(i));
        }
        for (int step = 0; step < 20_000; step++) {
            int index = random.nextInt(expected.length);
            if (expected[index] > 0 && random.nextInt(100) < 48) {
                list.decrement(counters.get(index));
                expected[index]--;
            } else {
                list.increment(counters.get(index));
                expected[index]++;
            }
            int expectedMax = 0;
            for (int value : expected) {
                expectedMax = Math.max(expectedMax, value);
            }
            assertEquals(expected[index], counters.get(index).value());
            assertEquals(expectedMax, list.maxCount());
            assertEquals(expectedMax, expectedMax == 0 ? 0 : expected[list.itemWithMaxCount()]);
        }
        for (int i = 0; i < expected.length; i++) {
            while (expected[i]-- > 0) {
                list.decrement(counters.get(i));
            }
        }
        assertNull(list.itemWithMaxCount());
        assertThrows(IllegalStateException.class, () -> list.decrement(counters.get(0)));
    }
}
