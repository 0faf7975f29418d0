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
        FrequencyList<Integer> ladder = new FrequencyList<>();
        List<FrequencyList.Count<Integer>> counts = new ArrayList<>();
        int[] naive = new int[30];
        for (int i = 0; i < naive.length; i++) {
            counts.add(new FrequencyList.Count<>(i));
        }
        for (int step = 0; step < 20_000; step++) {
            int i = random.nextInt(naive.length);
            if (naive[i] > 0 && random.nextInt(100) < 48) {
                ladder.down(counts.get(i));
                naive[i]--;
            } else {
                ladder.up(counts.get(i));
                naive[i]++;
            }
            int most = 0;
            for (int n : naive) {
                most = Math.max(most, n);
            }
            assertEquals(naive[i], counts.get(i).value());
            assertEquals(most, ladder.most());
            assertEquals(most, most == 0 ? 0 : naive[ladder.highest()]);
        }
        for (int i = 0; i < naive.length; i++) {
            while (naive[i]-- > 0) {
                ladder.down(counts.get(i));
            }
        }
        assertNull(ladder.highest());
        assertThrows(IllegalStateException.class, () -> ladder.down(counts.get(0)));
    }

    @Test
    void aLineKeepsTheOrderInWhichItWasJoined() {
        SplittableRandom random = new SplittableRandom(7);
        LinkedQueue<Integer> line = new LinkedQueue<>();
        List<LinkedQueue.Place<Integer>> places = new ArrayList<>();
        ArrayDeque<Integer> naive = new ArrayDeque<>();
        for (int i = 0; i < 20; i++) {
            places.add(new LinkedQueue.Place<>(i));
        }
        for (int step = 0; step < 20_000; step++) {
            int i = random.nextInt(places.size());
            naive.remove(i);
            if (random.nextBoolean()) {
                line.join(places.get(i));
                naive.addLast(i);
            } else {
                places.get(i).leave();
            }
            assertEquals(naive.peekFirst(), line.first());
            assertEquals(naive.peekLast(), line.last());
            assertEquals(naive.size(), line.size());
        }
    }
}
