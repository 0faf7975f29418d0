package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Load;
import loadbalancer.policy.Policy.Prices;
import org.junit.jupiter.api.Test;

class QueueEstimatorTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;

    private final ServerState server = PolicyFixtures.server("s");

    private static QueueEstimator estimator(Prices prices, int balancers) {
        ActiveSettings activeSettings = PolicyFixtures.activeSettings(prices, balancers);
        ClassLatencies latencies = new ClassLatencies();
        latencies.reload(activeSettings.settings().classes(), List.of(-1));
        EndpointSet endpoints = new EndpointSet(new SplittableRandom(1), new HashRing(0, balancers));
        endpoints.update(NOW_MICROS, ListKind.COMPLETE, PolicyFixtures.servers(4));
        return new QueueEstimator(activeSettings, endpoints, latencies);
    }

    private static double queueLength(QueueEstimator queues, ServerState server) {
        return queues.queueLength(server, NOW_MICROS, PolicyFixtures.NO_ACTIONS);
    }

    private static Load report(double inFlight) {
        return new Load(inFlight, 0, 0, 0, 0, 0);
    }

    @Test
    void ownAttemptsCountInProportionToTheWeight() {
        QueueEstimator queues = estimator(new Prices(0, 0), 1);
        ServerState heavy = PolicyFixtures.server("heavy", 2, 0);
        for (int i = 0; i < 4; i++) {
            queues.attemptSent(server);
            queues.attemptSent(heavy);
        }
        queues.attemptEnded(server);
        assertEquals(3, queueLength(queues, server));
        assertEquals(2, queueLength(queues, heavy));
    }

    @Test
    void aFailedAttemptKeepsItsQueuePlaceUntilThePenaltyEnds() {
        QueueEstimator queues = estimator(new Prices(0, 0), 1);
        QueueEstimator.addPenalty(server, NOW_MICROS + 10);
        assertEquals(1, queues.queueLength(server, NOW_MICROS + 9, PolicyFixtures.NO_ACTIONS));
        assertEquals(0, queues.queueLength(server, NOW_MICROS + 10, PolicyFixtures.NO_ACTIONS));
    }

    @Test
    void aQueueInAnotherZoneCountsAsLongerByTheCrossZonePrice() {
        QueueEstimator queues = estimator(new Prices(0.05, 0), 1);
        assertEquals(0, queueLength(queues, server));
        assertEquals(0.5, queueLength(queues, PolicyFixtures.server("far", 1, 1)));
    }

    @Test
    void aQueueWithoutAConnectionCountsAsLongerByTheHandshakePrice() {
        Policy.Actions disconnected = new NoOpActions() {
            @Override
            public boolean isConnected(String id) {
                return false;
            }
        };
        assertEquals(0.8, estimator(new Prices(0, 0.08), 1).queueLength(server, NOW_MICROS, disconnected));
        assertEquals(0, estimator(new Prices(0, 0), 1).queueLength(server, NOW_MICROS, disconnected));
    }

    @Test
    void aReportIsTrustedLessTheOlderItIs() {
        QueueEstimator queues = estimator(new Prices(0, 0), 3);
        QueueEstimator.recordReport(server, report(8), NOW_MICROS);
        assertEquals(8, queueLength(queues, server));
        double later = queues.queueLength(server, NOW_MICROS + 300_000, PolicyFixtures.NO_ACTIONS);
        assertEquals(8 * Math.exp(-1), later, 1e-9, "two typical latencies of 150 ms later");
    }

    @Test
    void invalidReportsAreIgnored() {
        QueueEstimator.recordReport(server, null, NOW_MICROS);
        for (double invalidInFlight : new double[] {Double.NaN, -1, 1e6, Double.POSITIVE_INFINITY}) {
            QueueEstimator.recordReport(server, report(invalidInFlight), NOW_MICROS);
        }
        assertEquals(0, server.reportedAtMicros);
    }

    @Test
    void otherBalancersAreAssumedToHaveAsManyAttemptsAsThisOne() {
        QueueEstimator queues = estimator(new Prices(0, 0), 3);
        for (int i = 0; i < 4; i++) {
            queues.attemptSent(PolicyFixtures.server("other"));
        }
        queues.update(Long.MAX_VALUE / 2);
        assertEquals(
                2,
                queueLength(queues, server),
                1e-9,
                "four attempts over four servers for each of two other balancers");
    }

    @Test
    void slownessFollowsTheLatenciesAndDecaysToOne() {
        QueueEstimator.recordSlowness(server, 3, NOW_MICROS);
        assertEquals(1.5, QueueEstimator.slowness(server, NOW_MICROS));
        QueueEstimator.recordSlowness(server, 1_000, NOW_MICROS);
        assertTrue(
                QueueEstimator.slowness(server, NOW_MICROS) <= 4, "one response counts as a slowness of four at most");
        assertEquals(1, QueueEstimator.slowness(server, NOW_MICROS + 1_000_000_000), 1e-9);
    }
}
