package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Scope;
import org.junit.jupiter.api.Test;

/**
 * A request of which one attempt fails while another one waits for its connection. The failure guarded against: no
 * further attempt was sent until the connection came up, and then it was too late for any.
 */
class RetryBesideWaitingAttemptTest {
    private static final String REQUEST = "r";
    private static final int KEYED = 0;
    private static final int SAFE = 1;
    private static final long TYPICAL_MICROS = 50_000;
    private static final long HEDGED_AFTER_MICROS = 450_000; // within the objective, and later than any hedge

    private final PolicyTestHarness harness = new PolicyTestHarness(
                    PolicyTestHarness.settings(
                            PolicyTestHarness.requestClass(Effect.KEYED, Scope.CELL),
                            PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL)),
                    1)
            .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(8));
    private PolicyTestHarness.SentAttempt first;
    private PolicyTestHarness.SentAttempt hedge;

    /** Sends a request that is hedged; the hedging attempt waits for its connection. */
    private void hedge(int requestClass) {
        harness.warmUp(30, requestClass, TYPICAL_MICROS);
        first = harness.request(REQUEST, requestClass);
        harness.advanceTime(requestClass == SAFE ? HEDGED_AFTER_MICROS + TYPICAL_MICROS : HEDGED_AFTER_MICROS);
        assertEquals(2, harness.attemptsOf(REQUEST).size(), "the request was not hedged");
        hedge = harness.attemptsOf(REQUEST).get(1);
        harness.awaitingConnection.add(REQUEST);
    }

    private List<PolicyTestHarness.SentAttempt> retries() {
        return harness.attemptsOf(REQUEST).stream().skip(2).toList();
    }

    @Test
    void aFailedAttemptIsRetriedAtOnceWithinTheGroupAndTheWindow() {
        hedge(KEYED);
        harness.endAttempt(first, Outcome.RESET);
        assertEquals(1, retries().size());
        String server = retries().get(0).server;
        assertNotEquals(hedge.server, server, "another connection to the same server would be as late");
        assertEquals(first.server.charAt(1) % 2, server.charAt(1) % 2, "cells alternate over the fleet");
        assertTrue(harness.lastSendWithinMicros.get(REQUEST) < 2_000_000 - HEDGED_AFTER_MICROS);
        harness.endAttempt(retries().get(0), Outcome.OK);
        assertEquals(List.of(REQUEST + "/1"), harness.cancelledAttempts);
        assertEquals(0, harness.duplicateFinalResponses);
    }

    @Test
    void aSafeRequestIsRetriedAsWell() {
        hedge(SAFE);
        harness.endAttempt(first, Outcome.CONNECT_FAILED);
        assertEquals(1, retries().size());
    }

    @Test
    void noRetryIsSentBesideAnAttemptThatHasBeenSent() {
        hedge(KEYED);
        harness.awaitingConnection.clear();
        harness.endAttempt(first, Outcome.RESET);
        assertEquals(0, retries().size());
        assertEquals(Map.of(), responses());
    }

    /** No retry is possible: the request goes on as long as an attempt is left, and then gets its response at once. */
    @Test
    void theRequestIsAnsweredWhenItsLastAttemptEnds() {
        hedge(KEYED);
        harness.advanceTime(PolicyTestHarness.OBJECTIVE_MICROS);
        harness.endAttempt(first, Outcome.RESET);
        assertEquals(0, retries().size());
        assertEquals(Map.of(), responses());
        harness.endAttempt(hedge, Outcome.NOT_SENT);
        assertEquals(Map.of(REQUEST, "failed"), responses());
    }

    private Map<String, String> responses() {
        return harness.finalResponses.containsKey(REQUEST)
                ? Map.of(REQUEST, harness.finalResponses.get(REQUEST))
                : Map.of();
    }
}
