package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

class SlowStartTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;
    private static final long RAMP_MICROS = 20_000_000;

    private final SlowStart slowStart =
            new SlowStart(PolicyFixtures.activeSettings(PolicyFixtures.SAFE), new DecayScale());

    private static ServerState serverStartedAt(long startedAtMicros) {
        ServerState server = new ServerState(new Server("new", State.UP, startedAtMicros, 1, 0, 0, 0), 0);
        server.slowStartTokensUpdatedAtMicros = NOW_MICROS;
        return server;
    }

    private static ServerState[] warmServer(double successes) {
        ServerState warm = PolicyFixtures.server("warm");
        warm.successes = successes;
        return new ServerState[] {warm};
    }

    /** Attempts that a server may be sent within ten seconds, checked every millisecond. */
    private int attemptsInTenSeconds(ServerState server) {
        int sent = 0;
        for (long nowMicros = NOW_MICROS; nowMicros < NOW_MICROS + 10_000_000; nowMicros += 1_000) {
            if (slowStart.hasBudget(server, nowMicros)) {
                SlowStart.recordDispatch(server);
                sent++;
            }
        }
        return sent;
    }

    @Test
    void aServerIsWarmAfterItsRampTime() {
        assertTrue(slowStart.isWarm(serverStartedAt(0), NOW_MICROS), "started long ago");
        assertTrue(slowStart.isWarm(serverStartedAt(NOW_MICROS - RAMP_MICROS), NOW_MICROS));
        assertFalse(slowStart.isWarm(serverStartedAt(NOW_MICROS - RAMP_MICROS + 1), NOW_MICROS));
    }

    @Test
    void aWarmServerIsNotLimited() {
        ServerState server = serverStartedAt(0);
        server.slowStartTokens = -100;
        assertTrue(slowStart.hasBudget(server, NOW_MICROS));
    }

    @Test
    void aNewServerGetsAGrowingProportionOfAWarmServersRate() {
        slowStart.refresh(warmServer(1_000), NOW_MICROS); // 100 responses per second
        int sentFromStart = attemptsInTenSeconds(serverStartedAt(NOW_MICROS));
        // 2.4 times 100 per second, for ten seconds in which the warmth rises from 0.2 to 0.6.
        assertEquals(2.4 * 100 * 10 * 0.4, sentFromStart, 50);
        int sentFromHalfRamp = attemptsInTenSeconds(serverStartedAt(NOW_MICROS - RAMP_MICROS / 2));
        assertEquals(2.4 * 100 * 10 * 0.8, sentFromHalfRamp, 50);
    }

    @Test
    void withoutAnyMeasurementANewServerGetsAFewAttempts() {
        int sent = attemptsInTenSeconds(serverStartedAt(NOW_MICROS));
        assertTrue(sent > 5 && sent < 80, "sent " + sent);
    }

    @Test
    void aNewServerInTheSubsetIsMeasuredAgainstTheSubsetsRate() {
        ServerState inSubset = PolicyFixtures.server("warm");
        inSubset.successes = 1_000;
        inSubset.inSubset = true;
        ServerState idle = PolicyFixtures.server("idle", 9, 0);
        slowStart.refresh(new ServerState[] {inSubset, idle}, NOW_MICROS);
        ServerState newOutsideSubset = serverStartedAt(NOW_MICROS);
        ServerState newInSubset = serverStartedAt(NOW_MICROS);
        newInSubset.inSubset = true;
        int expectedRatio = 5; // 1.2 times all of the responses, against 2.4 times a tenth of them
        assertEquals(
                expectedRatio,
                attemptsInTenSeconds(newInSubset) / (double) attemptsInTenSeconds(newOutsideSubset),
                0.5);
    }
}
