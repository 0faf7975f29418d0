package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import loadbalancer.IgnoredSignals.Signal;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The mask of ignored signals, as Linux writes it. */
class IgnoredSignalsTest {
    @ParameterizedTest
    @CsvSource({
        "0000000000000000, false, false, false",
        "0000000000000001, true, false, false",
        "0000000000000002, false, true, false",
        "8000000000004003, true, true, true",
        "fffffffffffffffc, false, false, true"
    })
    void aSignalIsIgnoredWhereItsBitIsSet(String mask, boolean hangup, boolean interrupt, boolean terminate) {
        List<String> status = List.of("Name:\tjava", "SigBlk:\tffffffffffffffff", "SigIgn:\t" + mask, "SigCgt:\t0");
        assertEquals(hangup, IgnoredSignals.isIgnored(Signal.SIGHUP, status));
        assertEquals(interrupt, IgnoredSignals.isIgnored(Signal.SIGINT, status));
        assertEquals(terminate, IgnoredSignals.isIgnored(Signal.SIGTERM, status));
    }

    @Test
    void aStatusWithoutTheMaskIsAnError() {
        assertThrows(AssertionError.class, () -> IgnoredSignals.isIgnored(Signal.SIGHUP, List.of("Name:\tjava")));
    }
}
