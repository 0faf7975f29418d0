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
    private static final long NOW = PolicyFixtures.NOW;
    private static final long PAUSE = 1_000;

    private final SequencedKeys keys = new SequencedKeys();

    private RequestState add(String id) {
        RequestState request = PolicyFixtures.request(id, PolicyFixtures.UNSAFE, 600_000, false);
        keys.add(request);
        return request;
    }

    private static void end(RequestState request, Outcome outcome) {
        AttemptState attempt = PolicyFixtures.send(request, PolicyFixtures.server("s"), NOW);
        attempt.mayHaveRun = !outcome.neverRan();
        SequencedKeys.attemptEnded(request, attempt, outcome, NOW, PAUSE);
        SequencedKeys.remove(request);
    }

    @Test
    void requestsRunOneAfterTheOther() {
        RequestState first = add("first");
        RequestState second = add("second");
        assertTrue(SequencedKeys.mayRun(first, NOW));
        assertFalse(SequencedKeys.mayRun(second, NOW));
        end(first, Outcome.OK);
        assertTrue(SequencedKeys.mayRun(second, NOW));
    }

    @Test
    void aRequestWithoutOrderMayRunAtAnyTime() {
        assertTrue(SequencedKeys.mayRun(PolicyFixtures.request(PolicyFixtures.UNSAFE), NOW));
    }

    @Test
    void theKeyRestsAfterTheOutcomesThatLeaveInDoubtWhetherTheAttemptRuns() {
        Set<Outcome> rests = EnumSet.noneOf(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            RequestState first = add("first");
            RequestState second = add("second");
            first.sequencedKey.blockedUntilMicros = 0;
            end(first, outcome);
            if (!SequencedKeys.mayRun(second, NOW + PAUSE - 1)) {
                rests.add(outcome);
            }
            assertTrue(SequencedKeys.mayRun(second, NOW + PAUSE));
            SequencedKeys.remove(second);
        }
        assertEquals(EnumSet.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED), rests);
    }

    @Test
    void idleKeysAreForgottenWhenTheirRestIsOver() {
        RequestState first = add("first");
        SequencedKey sequence = first.sequencedKey;
        end(first, Outcome.RESET);
        keys.removeIdle(NOW + PAUSE - 1);
        assertEquals(sequence, add("second").sequencedKey);
        SequencedKeys.remove(add("third"));
        sequence.requests.clear();
        keys.removeIdle(NOW + PAUSE);
        assertNotSame(sequence, add("fourth").sequencedKey);
    }
}
