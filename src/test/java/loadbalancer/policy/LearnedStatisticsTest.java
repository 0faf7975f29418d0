package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The small classes that the policy's parts share: latencies, rates, decaying counts, the retry budget, the log. */
class LearnedStatisticsTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;

    private final ClassLatency latency = new ClassLatency(PolicyFixtures.SAFE);

    @Test
    void theTypicalLatencyStartsAtAQuarterOfTheObjectiveAndFollowsResponses() {
        assertEquals(150_000, latency.typicalMicros());
        for (int i = 0; i < 1_000; i++) {
            latency.recordLatency(10_000);
        }
        assertEquals(10_000, latency.typicalMicros(), 1);
    }

    @Test
    void aLargerWorkEstimateRaisesTheExpectedLatency() {
        assertEquals(1, latency.recordWork(100), "the first estimate is the mean");
        double relativeWork = latency.recordWork(200);
        assertTrue(
                relativeWork > 1.6 && relativeWork < 1.7,
                "0.7 of the latency is proportional to the work: " + relativeWork);
    }

    @Test
    void theAgeOfAResubmissionFollowsFromTheTimeLeft() {
        assertEquals(0, latency.submissionAgeMicros(3_000_000, 3_000_000, false));
        assertEquals(1_000_000, latency.submissionAgeMicros(3_000_000, 2_000_000, true));
        assertEquals(0, latency.submissionAgeMicros(3_000_000, 2_950_000, true), "within the tolerance");
        assertEquals(0, latency.submissionAgeMicros(3_000_000, 1_000_000, false), "not marked as a resubmission");
    }

    @Test
    void aReloadKeepsTheLatencyOfAKnownClass() {
        ClassLatencies latencies = new ClassLatencies();
        latencies.reload(List.of(PolicyFixtures.SAFE), List.of(-1));
        ClassLatency known = latencies.of(0);
        known.recordLatency(0);
        latencies.reload(List.of(PolicyFixtures.UNSAFE, PolicyFixtures.SAFE), List.of(-1, 0));
        assertSame(known, latencies.of(1));
        assertNotSame(known, latencies.of(0));
        assertEquals(known.typicalMicros(), latencies.shortestMicros());
    }

    @Test
    void theArrivalRateAfterAStartIsAveragedOverSeveralSeconds() {
        ArrivalRate arrivals = new ArrivalRate();
        for (int i = 0; i < 10; i++) {
            arrivals.record(NOW_MICROS, false);
            arrivals.record(NOW_MICROS, true);
        }
        assertEquals(10, arrivals.arrivalCount(), "resubmissions don't count");
        assertTrue(arrivals.perSecond(NOW_MICROS) < 10 / 2.8, "per second: " + arrivals.perSecond(NOW_MICROS));
    }

    @Test
    void theArrivalRateConvergesUnderSteadyTraffic() {
        ArrivalRate arrivals = new ArrivalRate();
        long nowMicros = NOW_MICROS;
        for (int i = 0; i < 60_000; i++) {
            nowMicros += 10_000;
            arrivals.decay(Math.exp(-10_000 / DecayScale.TIME_CONSTANT_MICROS));
            arrivals.record(nowMicros, false);
        }
        assertEquals(100, arrivals.perSecond(nowMicros), 1);
    }

    @Test
    void theUnitGrowsAsCountsDecay() {
        DecayScale scale = new DecayScale();
        scale.decay(0.25);
        assertEquals(4, scale.unit());
        assertFalse(scale.mustRescale());
        scale.decay(0);
        assertTrue(scale.mustRescale());
        scale.reset();
        assertEquals(1, scale.unit());
    }

    @Test
    void theShareOfAKeyDoesNotCountItsFirstRequest() {
        DecayScale scale = new DecayScale();
        ArrivalRate arrivals = new ArrivalRate();
        KeyAffinity keys = new KeyAffinity(scale, arrivals);
        for (int i = 0; i < 10; i++) {
            arrivals.record(NOW_MICROS, false);
            keys.recordRequest(i < 6 ? "hot" : "k" + i);
        }
        assertEquals(0.5, keys.keyShare(Hashing.hash("hot")));
        assertEquals(0, keys.keyShare(Hashing.hash("k7")));
        assertEquals(0, keys.keyShare(Hashing.hash("unknown")));
        scale.decay(0.49);
        keys.removeRare();
        assertTrue(keys.keyShare(Hashing.hash("hot")) > 0);
        keys.clear();
        assertEquals(0, keys.keyShare(Hashing.hash("hot")));
    }

    @Test
    void fiveRequestsAddOneRetryToTheBudget() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.allowsRetry());
            budget.consume();
        }
        assertFalse(budget.allowsRetry());
        for (int i = 0; i < 6; i++) {
            budget.recordRequest();
        }
        assertTrue(budget.allowsRetry());
        budget.consume();
        assertFalse(budget.allowsRetry());
    }

    @Test
    void theOperatorLogWritesAtMostOneLinePerSecond() {
        List<String> lines = new ArrayList<>();
        Policy.Actions out = new NoOpActions() {
            @Override
            public void log(String line) {
                lines.add(line);
            }
        };
        OperatorLog log = new OperatorLog();
        log.write(NOW_MICROS, "first", out);
        assertFalse(log.isDue(NOW_MICROS + 999_999));
        log.write(NOW_MICROS + 999_999, "dropped", out);
        log.write(NOW_MICROS + 1_000_000, "second", out);
        assertEquals(List.of("first", "second"), lines);
    }
}
