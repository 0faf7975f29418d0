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
    private static final long NOW = PolicyFixtures.NOW;

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
            PolicyFixtures.active(PolicyFixtures.SAFE, PolicyFixtures.UNSAFE),
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

    private void list(int count) {
        endpoints.update(NOW, ListKind.COMPLETE, PolicyFixtures.servers(count));
    }

    private void fail(ServerState server, long now) {
        outliers.recordFailure(server, 1, 0, now, out);
    }

    @Test
    void theSecondFailureEjectsForAboutASecond() {
        list(3);
        ServerState server = listed(0);
        fail(server, NOW);
        assertTrue(outliers.allows(safe, server, NOW));
        fail(server, NOW);
        assertFalse(outliers.allows(safe, server, NOW + 999_999));
        assertTrue(outliers.allows(safe, server, NOW + 1_250_000));
        assertEquals(List.of("event=server_ejected server=s0 duration_ms=1000"), lines);
    }

    @Test
    void failuresThatAreFewOfManyAttemptsDoNotEject() {
        list(3);
        ServerState server = listed(0);
        server.successes = 100;
        for (int i = 0; i < 10; i++) {
            fail(server, NOW);
        }
        assertTrue(outliers.allows(safe, server, NOW));
    }

    @Test
    void aTrialTakesOneSafeAttemptAtATimeAndEndsWithThreeSuccesses() {
        list(3);
        ServerState server = listed(0);
        fail(server, NOW);
        fail(server, NOW);
        long afterwards = NOW + 2_000_000;
        assertTrue(outliers.allows(safe, server, afterwards));
        assertFalse(outliers.allows(unsafe, server, afterwards));
        server.inFlight = 1;
        assertFalse(outliers.allows(safe, server, afterwards));
        for (int i = 0; i < 3; i++) {
            outliers.recordSuccess(server, afterwards, out);
        }
        assertTrue(outliers.allows(unsafe, server, afterwards));
        assertEquals("event=server_recovered server=s0", lines.get(1));
    }

    @Test
    void aFailureOnTrialEjectsForTwiceAsLongUpToSixteenTimes() {
        list(3);
        ServerState server = listed(0);
        fail(server, NOW);
        long now = NOW;
        for (int factor : new int[] {1, 2, 4, 8, 16, 16}) {
            fail(server, now);
            long length = server.ejectedUntilMicros - now;
            long shortest = factor * 1_000_000L;
            assertTrue(length >= shortest && length < shortest * 5 / 4, "ejected for " + length);
            now = server.ejectedUntilMicros;
        }
    }

    @Test
    void aServerThatIsSilentForLongIsStalled() {
        list(3);
        ServerState server = listed(0);
        server.lastSuccessAtMicros = NOW;
        AttemptState attempt = PolicyFixtures.send(safe, server, NOW);
        long patience = 3 * 150_000 + 20_000; // three typical latencies and a tick
        assertTrue(outliers.allows(unsafe, server, NOW + patience));
        assertFalse(outliers.allows(unsafe, server, NOW + patience + 1));
        attempt.inFlight = false;
        assertTrue(outliers.allows(unsafe, server, NOW + patience + 1));
    }

    @Test
    void aServerWithoutCapacityRests() {
        list(3);
        ServerState server = listed(0);
        server.fullUntilMicros = NOW + 10;
        assertFalse(outliers.allows(safe, server, NOW));
        assertTrue(outliers.allows(safe, server, NOW + 10));
    }

    @Test
    void whenMostServersLookBadAllAreUsed() {
        list(3);
        listed(0).ejectedUntilMicros = NOW + 1_000_000;
        outliers.refresh(NOW);
        assertFalse(outliers.allows(safe, listed(0), NOW));
        listed(1).ejectedUntilMicros = NOW + 1_000_000;
        outliers.refresh(NOW);
        assertTrue(outliers.allows(safe, listed(0), NOW));
    }
}
