package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Map;
import loadbalancer.policy.Policy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportTest {
    private static final double UNKNOWN = Double.NaN;

    private static Policy.Load load(double inFlight, double queue, double latencyMicros) {
        return new Policy.Load(inFlight, queue, UNKNOWN, latencyMicros, UNKNOWN, UNKNOWN);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "TEXT inflight=7, queue=2, latency_ms=1.5",
                "inflight=7,queue=2,latency_ms=1.5",
                "  TEXT outstanding=7,backlog=2,recent_ms=1.5  ",
                "inflight = 7, queue=2, latency_ms=1.5, other=1, queue, util=NaN, qps=-1, eps=1e10",
                "inflight=7, queue=2, latency_ms=1.5, util=Infinity, qps=many",
            })
    void usableValuesAreReadAndAllOthersAreUnknown(String report) {
        assertEquals(load(7, 2, 1_500), LoadReport.parse(report));
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "TEXT ", "other=1", "inflight", "inflight=", "queue=-1", "=3"})
    void reportWithoutUsableValueIsNone(String report) {
        assertNull(LoadReport.parse(report));
    }

    @Test
    void valuesOfBothNamingsAreReadByName() {
        assertEquals(load(7, 2, 1_500), LoadReport.of(Map.of("outstanding", 7.0, "queue", 2.0, "recent_ms", 1.5)));
    }
}
