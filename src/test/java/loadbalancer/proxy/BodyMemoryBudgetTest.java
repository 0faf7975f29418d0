package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BodyMemoryBudgetTest {
    @Test
    void bodiesAreRefusedWhereTogetherTheyTakeTooMuch() {
        BodyMemoryBudget room = new BodyMemoryBudget(10);
        assertTrue(room.take(6));
        assertFalse(room.take(5));
        assertTrue(room.take(4));
        room.give(6);
        assertTrue(room.take(5));
    }
}
