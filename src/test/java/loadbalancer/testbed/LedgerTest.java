package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.testbed.Ledger.Breach;
import loadbalancer.testbed.Ledger.Final;
import org.junit.jupiter.api.Test;

class LedgerTest {
    private final Ledger ledger = new Ledger();

    private List<Breach> found() {
        return ledger.findings().stream().map(Ledger.Finding::breach).toList();
    }

    @Test
    void whatIsInOrderIsNoFinding() {
        ledger.asked("safe", Effect.SAFE, 1);
        ledger.ran("safe", "a", true, 2);
        ledger.ran("safe", "b", true, 3);
        ledger.answered("safe", Final.SERVED, 4);
        ledger.asked("keyed", Effect.KEYED, 1);
        ledger.ran("keyed", "a", true, 2);
        ledger.ran("keyed", "a2", false, 3);
        ledger.answered("keyed", Final.FAILED, 4);
        ledger.asked("unsafe", Effect.UNSAFE, 1);
        ledger.answered("unsafe", Final.REFUSED, 2);
        assertEquals(List.of(), found());
    }

    @Test
    void aSecondBookingIsFoundWithItsHistory() {
        ledger.asked("o1", Effect.UNSAFE, 1);
        ledger.ran("o1", "a", true, 2);
        ledger.ran("o1", "b", true, 3);
        assertEquals(List.of(Breach.BOOKED_TWICE), found());
        assertEquals(
                List.of("1 asked, UNSAFE", "2 booked on a", "3 booked on b"),
                ledger.findings().get(0).history());
    }

    @Test
    void aKeyThatTwoCellsBookIsBookedTwice() {
        ledger.asked("o1", Effect.KEYED, 1);
        ledger.ran("o1", "a", true, 2);
        ledger.ran("o1", "b", true, 3);
        assertEquals(List.of(Breach.BOOKED_TWICE), found());
    }

    @Test
    void aRefusalIsAPromiseBeforeAndAfter() {
        ledger.asked("o1", Effect.UNSAFE, 1);
        ledger.ran("o1", "a", true, 2);
        ledger.answered("o1", Final.REFUSED, 3);
        ledger.asked("o2", Effect.KEYED, 1);
        ledger.answered("o2", Final.REFUSED, 2);
        ledger.ran("o2", "a", true, 3);
        assertEquals(List.of(Breach.REFUSED_AFTER_IT_RAN, Breach.REFUSED_AFTER_IT_RAN), found());
    }

    @Test
    void answersAreOneAndStandForSomething() {
        ledger.asked("o1", Effect.SAFE, 1);
        ledger.answered("o1", Final.NONE, 2);
        ledger.asked("o2", Effect.SAFE, 1);
        ledger.answered("o2", Final.SERVED, 2);
        ledger.asked("o3", Effect.SAFE, 1);
        ledger.answered("o3", Final.FAILED, 2);
        ledger.answered("o3", Final.FAILED, 3);
        ledger.asked("o4", Effect.SAFE, 1);
        ledger.sentAfterDrain("o4", "a", 5_000, 2);
        assertEquals(
                List.of(Breach.UNANSWERED, Breach.SERVED_UNBOOKED, Breach.ANSWERED_TWICE, Breach.SENT_AFTER_DRAIN),
                found());
        assertTrue(ledger.history("o4").get(1).contains("5 ms after the grace"));
    }

    @Test
    void aRunThatNobodyAskedForIsFound() {
        ledger.ran("ghost", "a", true, 2);
        assertEquals(List.of(Breach.BOOKED_TWICE), found());
    }
}
