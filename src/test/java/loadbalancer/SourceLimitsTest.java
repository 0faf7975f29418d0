package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SourceLimitsTest {
    private static final int MOST = 1_000; // the operators run none longer than 1,200

    @Test
    void theModuleCanBeReviewedInAnHour() throws IOException {
        long lines = Files.readAllLines(Path.of("src/main/java/loadbalancer/policy/JsqDasPolicy.java")).stream()
                .filter(line -> !line.isBlank())
                .count();
        assertTrue(lines <= MOST, "JsqDasPolicy.java holds " + lines + " non-blank lines, " + MOST + " at most");
    }
}
