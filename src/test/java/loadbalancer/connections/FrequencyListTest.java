package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The two structures against naive twins, over random histories. */
class FrequencyListTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theHighestIsWhatACountFromScratchSays(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FrequencyList<Integer> counters = new FrequencyList<>();
        List<FrequencyList.Counter<Integer>> counts = new ArrayList<>();
        int[] naive = new int[30];
        for (int i = 0; i < naive.length; i++) {
            counts.add(new FrequencyList.Counter<>(i));
        }
        for (int step = 0; step < 20_000; step++) {
            int i = random.nextInt(naive.length);
            if (naive[i] > 0 && random.nextInt(100) < 48) {
                counters.decrement(counts.get(i));
                naive[i]--;
            } else {
                counters.increment(counts.get(i));
                naive[i]++;
            }
            int most = 0;
            for (int n : naive) {
                most = Math.max(most, n);
            }
            assertEquals(naive[i], counts.get(i).value());
            assertEquals(most, counters.maxCount());
            assertEquals(most, most == 0 ? 0 : naive[counters.itemWithMaxCount()]);
        }
        for (int i = 0; i < naive.length; i++) {
            while (naive[i]-- > 0) {
                counters.decrement(counts.get(i));
            }
        }
        assertNull(counters.itemWithMaxCount());
        assertThrows(IllegalStateException.class, () -> counters.decrement(counts.get(0)));
    }

    @Test
    void aLineKeepsTheOrderInWhichItWasJoined() {
        SplittableRandom random = new SplittableRandom(7);
        LinkedQueue<Integer> queue = new LinkedQueue<>();
        List<LinkedQueue.Entry<Integer>> entries = new ArrayList<>();
        ArrayDeque<Integer> naive = new ArrayDeque<>();
        for (int i = 0; i < 20; i++) {
            entries.add(new LinkedQueue.Entry<>(i));
        }
        for (int step = 0; step < 20_000; step++) {
            int i = random.nextInt(entries.size());
            naive.remove(i);
            if (random.nextBoolean()) {
                queue.addLast(entries.get(i));
                naive.addLast(i);
            } else {
                entries.get(i).remove();
            }
            assertEquals(naive.peekFirst(), queue.first());
            assertEquals(naive.peekLast(), queue.last());
            assertEquals(naive.size(), queue.size());
        }
    }
}
