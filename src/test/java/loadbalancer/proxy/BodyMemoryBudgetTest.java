package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BodyMemoryBudgetTest {
    @Test
    void bodiesAreRefusedWhereTogetherTheyTakeTooMuch() {
        BodyMemoryBudget room = new BodyMemoryBudget(10);
        assertTrue(room.tryReserve(6));
        assertFalse(room.tryReserve(5));
        assertTrue(room.tryReserve(4));
        room.release(6);
        assertTrue(room.tryReserve(5));
    }
}
