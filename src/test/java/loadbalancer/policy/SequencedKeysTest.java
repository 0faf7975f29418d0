package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;

class SequencedKeysTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;
    private static final long ORDER_PAUSE_MICROS = 1_000;

    private final SequencedKeys keys = new SequencedKeys();

    private RequestState add(String id) {
        RequestState request = PolicyFixtures.request(id, PolicyFixtures.UNSAFE, 600_000, false);
        keys.add(request);
        return request;
    }

    private static void endRequest(RequestState request, Outcome outcome) {
        AttemptState attempt = PolicyFixtures.send(request, PolicyFixtures.server("s"), NOW_MICROS);
        attempt.mayHaveRun = !outcome.neverRan();
        SequencedKeys.attemptEnded(request, attempt, outcome, NOW_MICROS, ORDER_PAUSE_MICROS);
        SequencedKeys.remove(request);
    }

    @Test
    void requestsOfAKeyRunOneAtATime() {
        RequestState first = add("first");
        RequestState second = add("second");
        assertTrue(SequencedKeys.mayRun(first, NOW_MICROS));
        assertFalse(SequencedKeys.mayRun(second, NOW_MICROS));
        endRequest(first, Outcome.OK);
        assertTrue(SequencedKeys.mayRun(second, NOW_MICROS));
    }

    @Test
    void aRequestWithoutASequenceMayRunAtAnyTime() {
        assertTrue(SequencedKeys.mayRun(PolicyFixtures.request(PolicyFixtures.UNSAFE), NOW_MICROS));
    }

    @Test
    void theKeyRestsAfterOutcomesThatLeaveUnknownWhetherTheAttemptRuns() {
        Set<Outcome> outcomesWithRest = EnumSet.noneOf(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            RequestState first = add("first");
            RequestState second = add("second");
            first.sequencedKey.blockedUntilMicros = 0;
            endRequest(first, outcome);
            if (!SequencedKeys.mayRun(second, NOW_MICROS + ORDER_PAUSE_MICROS - 1)) {
                outcomesWithRest.add(outcome);
            }
            assertTrue(SequencedKeys.mayRun(second, NOW_MICROS + ORDER_PAUSE_MICROS));
            SequencedKeys.remove(second);
        }
        assertEquals(EnumSet.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED), outcomesWithRest);
    }

    @Test
    void idleKeysAreRemovedWhenTheirRestIsOver() {
        RequestState first = add("first");
        SequencedKey sequence = first.sequencedKey;
        endRequest(first, Outcome.RESET);
        keys.removeIdle(NOW_MICROS + ORDER_PAUSE_MICROS - 1);
        assertEquals(sequence, add("second").sequencedKey);
        SequencedKeys.remove(add("third"));
        sequence.requests.clear();
        keys.removeIdle(NOW_MICROS + ORDER_PAUSE_MICROS);
        assertNotSame(sequence, add("fourth").sequencedKey);
    }
}
