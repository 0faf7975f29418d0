package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the queue with an {@link ArrayDeque} over random operations. */
class LinkedQueueTest {
    @Test
    void queueKeepsTheOrderOfAdditionsOverARandomHistory() {
        SplittableRandom random = new SplittableRandom(7);
        LinkedQueue<Integer> queue = new LinkedQueue<>();
        List<LinkedQueue.Entry<Integer>> entries = new ArrayList<>();
        ArrayDeque<Integer> expected = new ArrayDeque<>();
        for (int i = 0; i < 20; i++) {
            entries.add(new LinkedQueue.Entry<>(i));
        }
        for (int step = 0; step < 20_000; step++) {
            int index = random.nextInt(entries.size());
            expected.remove(index);
            if (random.nextBoolean()) {
                queue.addLast(entries.get(index));
                expected.addLast(index);
            } else {
                entries.get(index).remove();
            }
            assertEquals(expected.peekFirst(), queue.first());
            assertEquals(expected.peekLast(), queue.last());
            assertEquals(expected.size(), queue.size());
        }
    }
}
