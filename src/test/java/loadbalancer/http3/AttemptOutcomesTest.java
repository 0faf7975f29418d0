package loadbalancer.http3;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import loadbalancer.http3.AttemptOutcomes.How;
import loadbalancer.policy.Policy.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The table of docs/http3.md. */
class AttemptOutcomesTest {
    @ParameterizedTest
    @CsvSource({
        "NOT_CONNECTED, false, -1, CONNECT_FAILED",
        "NO_STREAM, false, -1, NOT_SENT",
        "BEYOND_GOAWAY, true, -1, NOT_SENT",
        "STREAM_RESET, true, 0x10b, FULL",
        "STREAM_RESET, false, 0x10b, FULL",
        "STREAM_RESET, true, 0x10c, RESET",
        "STREAM_RESET, true, 0x100, RESET",
        "STREAM_RESET, true, 0x102, RESET",
        "STREAM_RESET, false, 0x102, CONNECT_FAILED",
        "CONNECTION_LOST, true, -1, RESET",
        "CONNECTION_LOST, false, -1, CONNECT_FAILED",
        "BAD_ANSWER, true, -1, RESET",
        "TOO_LONG, true, -1, RESET"
    })
    void theEndOfAnAttemptHasTheOutcomeOfTheTable(How how, boolean requestSent, String code, Outcome outcome) {
        assertEquals(outcome, AttemptOutcomes.outcome(how, requestSent, Long.decode(code)));
    }

    @ParameterizedTest
    @EnumSource(
            value = How.class,
            names = {"STREAM_RESET", "CONNECTION_LOST", "BAD_ANSWER", "TOO_LONG"})
    void aSentRequestMayHaveRunUnlessTheSpecificationSaysOtherwise(How how) {
        for (long code = -1; code < 0x400; code++) {
            if (code != Http3ErrorCodes.REQUEST_REJECTED) {
                assertFalse(AttemptOutcomes.outcome(how, true, code).neverRan(), how + " " + code);
            }
        }
    }

    @Test
    void aRejectionCountsOnlyWhereTheStreamWasReset() {
        assertFalse(AttemptOutcomes.outcome(How.CONNECTION_LOST, true, Http3ErrorCodes.REQUEST_REJECTED)
                .neverRan());
    }
}
