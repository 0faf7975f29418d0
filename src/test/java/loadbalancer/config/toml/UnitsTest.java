package loadbalancer.config.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UnitsTest {
    @ParameterizedTest
    @CsvSource({"7us, 7", "250ms, 250000", "1.5s, 1500000", "2 m, 120000000", "' 0s ', 0", "0.4us, 0", "0.5us, 1"})
    void timeIsReadInMicroseconds(String text, long micros) {
        assertEquals(micros, Units.micros(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "5", "s", "-1s", "1h", "1.s", "1s 2ms", "1234567890s", "1e3s"})
    void textWithoutNumberAndUnitIsRejected(String text) {
        assertEquals(
                "not a time like 250ms or 1.5s: '" + text + "'",
                assertThrows(IllegalArgumentException.class, () -> Units.micros(text))
                        .getMessage());
    }
}
