package loadbalancer.config.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EditDistanceTest {
    @ParameterizedTest
    @CsvSource({"'', '', 0", "seed, seed, 0", "seed, '', 4", "sede, seed, 2", "weight, wieght, 2", "kitten, sitting, 3"
    })
    void distanceCountsInsertionsDeletionsAndReplacements(String left, String right, int distance) {
        assertEquals(distance, EditDistance.between(left, right));
        assertEquals(distance, EditDistance.between(right, left));
    }

    @Test
    void nearestIsTheFirstByAlphabetAmongEquals() {
        assertEquals("rank", EditDistance.nearest("rnak", List.of("zone", "rank", "name")));
        assertEquals("cat", EditDistance.nearest("at", List.of("hat", "cat")));
        assertEquals("", EditDistance.nearest("at", List.of()));
    }
}
