package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Keeps the decision module in a size that an engineer can review. */
class SourceLimitsTest {
    private static final Path POLICY = Path.of("src/main/java/loadbalancer/policy");
    private static final int MAX_LINES_PER_FILE = 400;
    /** Equivalent to 2,550 non-blank lines of short names; comments and the length of names do not count. */
    private static final int MAX_TOKENS_OF_PACKAGE = 15_326;

    private static final Pattern TOKEN_OR_COMMENT =
            Pattern.compile("\"(?:\\\\.|[^\"\\\\])*\"|'(?:\\\\.|[^'\\\\])+'|//[^\\n]*|(?s:/\\*.*?\\*/)|\\w+|\\S");

    @Test
    void noFileOfTheDecisionModuleIsLong() throws IOException {
        for (Path file : sources()) {
            int lines = Files.readAllLines(file).size();
            assertTrue(lines <= MAX_LINES_PER_FILE, file + " holds " + lines + " lines, at most " + MAX_LINES_PER_FILE);
        }
    }

    @Test
    void theDecisionModuleCanBeReviewed() throws IOException {
        long tokens = 0;
        for (Path file : sources()) {
            tokens += countTokens(Files.readString(file));
        }
        assertTrue(
                tokens <= MAX_TOKENS_OF_PACKAGE,
                "the package holds " + tokens + " tokens, at most " + MAX_TOKENS_OF_PACKAGE);
    }

    private static long countTokens(String source) {
        return TOKEN_OR_COMMENT
                .matcher(source)
                .results()
                .map(MatchResult::group)
                .filter(token -> !token.startsWith("//") && !token.startsWith("/*"))
                .count();
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
