package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.testbed.Ledger.Breach;
import loadbalancer.testbed.Ledger.RequestOutcome;
import org.junit.jupiter.api.Test;

class LedgerTest {
    private final Ledger ledger = new Ledger();

    private List<Breach> breaches() {
        return ledger.findings().stream().map(Ledger.Finding::breach).toList();
    }

    @Test
    void requestsThatKeepTheRulesAreNoFindings() {
        ledger.recordSent("safe", Effect.SAFE, 1);
        ledger.recordExecution("safe", "a", true, 2);
        ledger.recordExecution("safe", "b", true, 3);
        ledger.recordOutcome("safe", RequestOutcome.SERVED, 4);
        ledger.recordSent("keyed", Effect.KEYED, 1);
        ledger.recordExecution("keyed", "a", true, 2);
        ledger.recordExecution("keyed", "a2", false, 3);
        ledger.recordOutcome("keyed", RequestOutcome.FAILED, 4);
        ledger.recordSent("unsafe", Effect.UNSAFE, 1);
        ledger.recordOutcome("unsafe", RequestOutcome.REFUSED, 2);
        assertEquals(List.of(), breaches());
    }

    @Test
    void aSecondExecutionIsFoundWithItsHistory() {
        ledger.recordSent("o1", Effect.UNSAFE, 1);
        ledger.recordExecution("o1", "a", true, 2);
        ledger.recordExecution("o1", "b", true, 3);
        assertEquals(List.of(Breach.BOOKED_TWICE), breaches());
        assertEquals(
                List.of("1 asked, UNSAFE", "2 booked on a", "3 booked on b"),
                ledger.findings().get(0).history());
    }

    @Test
    void anIdempotentRequestExecutedByTwoCellsIsFound() {
        ledger.recordSent("o1", Effect.KEYED, 1);
        ledger.recordExecution("o1", "a", true, 2);
        ledger.recordExecution("o1", "b", true, 3);
        assertEquals(List.of(Breach.BOOKED_TWICE), breaches());
    }

    @Test
    void aKeyedRequestThatIsSentBehindItsWindowIsFound() {
        for (String request : List.of("within", "behind", "declined", "again")) {
            ledger.recordSent(request, Effect.KEYED, 0, 1);
            ledger.recordArrival(request, "a", 500, 50, 2);
        }
        ledger.recordArrival("within", "b", 500, 50, 552);
        ledger.recordArrival("behind", "b", 500, 50, 553);
        ledger.recordDeclined("declined", "a", 2);
        ledger.recordArrival("declined", "b", 500, 50, 2_000);
        ledger.recordSentAgain("again", "its balancer was killed", 1, 600);
        ledger.recordArrival("again", "b", 500, 50, 700);
        assertEquals(List.of(Breach.SENT_AFTER_WINDOW), breaches());
        assertEquals("behind", ledger.findings().get(0).request());
    }

    @Test
    void anExecutionBeforeOrAfterARefusalIsFound() {
        ledger.recordSent("o1", Effect.UNSAFE, 1);
        ledger.recordExecution("o1", "a", true, 2);
        ledger.recordOutcome("o1", RequestOutcome.REFUSED, 3);
        ledger.recordSent("o2", Effect.KEYED, 1);
        ledger.recordOutcome("o2", RequestOutcome.REFUSED, 2);
        ledger.recordExecution("o2", "a", true, 3);
        assertEquals(List.of(Breach.REFUSED_AFTER_IT_RAN, Breach.REFUSED_AFTER_IT_RAN), breaches());
    }

    @Test
    void missingDuplicateAndFalseResponsesAreFound() {
        ledger.recordSent("o1", Effect.SAFE, 1);
        ledger.recordOutcome("o1", RequestOutcome.NONE, 2);
        ledger.recordSent("o2", Effect.SAFE, 1);
        ledger.recordOutcome("o2", RequestOutcome.SERVED, 2);
        ledger.recordSent("o3", Effect.SAFE, 1);
        ledger.recordOutcome("o3", RequestOutcome.FAILED, 2);
        ledger.recordOutcome("o3", RequestOutcome.FAILED, 3);
        ledger.recordSent("o4", Effect.SAFE, 1);
        ledger.recordSendAfterDrain("o4", "a", 5_000, 2);
        assertEquals(
                List.of(Breach.UNANSWERED, Breach.SERVED_UNBOOKED, Breach.ANSWERED_TWICE, Breach.SENT_AFTER_DRAIN),
                breaches());
        assertTrue(ledger.history("o4").get(1).contains("5 ms after the grace"));
    }

    @Test
    void anExecutionWithoutARequestIsFound() {
        ledger.recordExecution("ghost", "a", true, 2);
        assertEquals(List.of(Breach.BOOKED_TWICE), breaches());
    }
}
