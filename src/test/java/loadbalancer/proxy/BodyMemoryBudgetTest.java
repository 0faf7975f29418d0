package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BodyMemoryBudgetTest {
    @Test
    void reservationsBeyondTheBudgetAreRefused() {
        BodyMemoryBudget budget = new BodyMemoryBudget(10);
        assertTrue(budget.tryReserve(6));
        assertFalse(budget.tryReserve(5));
        assertTrue(budget.tryReserve(4));
        budget.release(6);
        assertTrue(budget.tryReserve(5));
    }
}
