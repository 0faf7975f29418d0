package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Keeps the decision module in a size that an engineer can review. */
class SourceLimitsTest {
    private static final Path POLICY = Path.of("src/main/java/loadbalancer/policy");
    private static final int MAX_LINES_PER_FILE = 400;
    private static final int MAX_NON_BLANK_LINES_OF_PACKAGE = 2_550;

    @Test
    void noFileOfTheDecisionModuleIsLong() throws IOException {
        for (Path file : sources()) {
            int lines = Files.readAllLines(file).size();
            assertTrue(lines <= MAX_LINES_PER_FILE, file + " holds " + lines + " lines, at most " + MAX_LINES_PER_FILE);
        }
    }

    @Test
    void theDecisionModuleCanBeReviewed() throws IOException {
        long lines = 0;
        for (Path file : sources()) {
            lines += Files.readAllLines(file).stream()
                    .filter(line -> !line.isBlank())
                    .count();
        }
        assertTrue(
                lines <= MAX_NON_BLANK_LINES_OF_PACKAGE,
                "the package holds " + lines + " non-blank lines, at most " + MAX_NON_BLANK_LINES_OF_PACKAGE);
    }

    private static List<Path> sources() throws IOException {
        List<Path> sources = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(POLICY, "*.java")) {
            files.forEach(sources::add);
        }
        assertFalse(sources.isEmpty(), "no sources in " + POLICY);
        return sources;
    }
}
