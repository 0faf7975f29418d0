package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.ListKind;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;

    private final List<String> lines = new ArrayList<>();
    private final Policy.Actions out = new NoOpActions() {
        @Override
        public void log(String line) {
            lines.add(line);
        }
    };
    private final DecayScale scale = new DecayScale();
    private final SplittableRandom random = new SplittableRandom(1);
    private final EndpointSet endpoints = new EndpointSet(random, new HashRing(0, 1));
    private final OutlierDetector outliers = new OutlierDetector(
            PolicyFixtures.activeSettings(PolicyFixtures.SAFE, PolicyFixtures.UNSAFE),
            endpoints,
            new AccomplishmentRanking(scale),
            scale,
            random,
            new OperatorLog());
    private final RequestState safe = PolicyFixtures.request(PolicyFixtures.SAFE);
    private final RequestState unsafe = PolicyFixtures.request(PolicyFixtures.UNSAFE);

    private ServerState listed(int index) {
        return endpoints.upServers().get(index);
    }

    private void updateEndpoints(int count) {
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, PolicyFixtures.servers(count));
    }

    private void recordFailure(ServerState server, long nowMicros) {
        outliers.recordFailure(server, 1, 0, nowMicros, out);
    }

    @Test
    void theSecondFailureEjectsTheServerForAboutOneSecond() {
        updateEndpoints(3);
        ServerState server = listed(0);
        recordFailure(server, NOW_MICROS);
        assertTrue(outliers.allows(safe, server, NOW_MICROS));
        recordFailure(server, NOW_MICROS);
        assertFalse(outliers.allows(safe, server, NOW_MICROS + 999_999));
        assertTrue(outliers.allows(safe, server, NOW_MICROS + 1_250_000));
        assertEquals(List.of("event=server_ejected server=s0 duration_ms=1000"), lines);
    }

    @Test
    void aLowFailureRateDoesNotEject() {
        updateEndpoints(3);
        ServerState server = listed(0);
        server.successes = 100;
        for (int i = 0; i < 10; i++) {
            recordFailure(server, NOW_MICROS);
        }
        assertTrue(outliers.allows(safe, server, NOW_MICROS));
    }

    @Test
    void aTrialAllowsOneSafeAttemptAtATimeAndEndsAfterThreeSuccesses() {
        updateEndpoints(3);
        ServerState server = listed(0);
        recordFailure(server, NOW_MICROS);
        recordFailure(server, NOW_MICROS);
        long afterEjection = NOW_MICROS + 2_000_000;
        assertTrue(outliers.allows(safe, server, afterEjection));
        assertFalse(outliers.allows(unsafe, server, afterEjection));
        server.inFlight = 1;
        assertFalse(outliers.allows(safe, server, afterEjection));
        for (int i = 0; i < 3; i++) {
            outliers.recordSuccess(server, afterEjection, out);
        }
        assertTrue(outliers.allows(unsafe, server, afterEjection));
        assertEquals("event=server_recovered server=s0", lines.get(1));
    }

    @Test
    void aFailureOnTrialDoublesTheEjectionUpToSixteenTimes() {
        updateEndpoints(3);
        ServerState server = listed(0);
        recordFailure(server, NOW_MICROS);
        long nowMicros = NOW_MICROS;
        for (int factor : new int[] {1, 2, 4, 8, 16, 16}) {
            recordFailure(server, nowMicros);
            long ejectionMicros = server.ejectedUntilMicros - nowMicros;
            long minEjectionMicros = factor * 1_000_000L;
            assertTrue(
                    ejectionMicros >= minEjectionMicros && ejectionMicros < minEjectionMicros * 5 / 4,
                    "ejection in µs: " + ejectionMicros);
            nowMicros = server.ejectedUntilMicros;
        }
    }

    @Test
    void aServerWithoutResponsesIsTakenForStalled() {
        updateEndpoints(3);
        ServerState server = listed(0);
        server.lastSuccessAtMicros = NOW_MICROS;
        AttemptState attempt = PolicyFixtures.send(safe, server, NOW_MICROS);
        long stallMicros = 3 * 150_000 + 20_000; // three typical latencies and a tick
        assertTrue(outliers.allows(unsafe, server, NOW_MICROS + stallMicros));
        assertFalse(outliers.allows(unsafe, server, NOW_MICROS + stallMicros + 1));
        attempt.inFlight = false;
        assertTrue(outliers.allows(unsafe, server, NOW_MICROS + stallMicros + 1));
    }

    @Test
    void aServerWithoutCapacityIsNotUsedUntilItsRestEnds() {
        updateEndpoints(3);
        ServerState server = listed(0);
        server.fullUntilMicros = NOW_MICROS + 10;
        assertFalse(outliers.allows(safe, server, NOW_MICROS));
        assertTrue(outliers.allows(safe, server, NOW_MICROS + 10));
    }

    @Test
    void whenMostServersAreOutliersAllAreUsed() {
        updateEndpoints(3);
        listed(0).ejectedUntilMicros = NOW_MICROS + 1_000_000;
        outliers.refresh(NOW_MICROS);
        assertFalse(outliers.allows(safe, listed(0), NOW_MICROS));
        listed(1).ejectedUntilMicros = NOW_MICROS + 1_000_000;
        outliers.refresh(NOW_MICROS);
        assertTrue(outliers.allows(safe, listed(0), NOW_MICROS));
    }
}
