package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Signals within a start: the process reads its configuration from a pipe, and so waits for the test. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a pipe waits for ever
class SignalsTest {
    private static final String FILE = """
        [node]
        listen = "127.0.0.1:0"
        [[membership.server]]
        id = "a"
        address = "127.0.0.1:1"
        [[class]]
        name = "read"
        effect = "safe"
        aim = "1s"
        deadline = "2s"
        """;

    private Path folder;
    private Path pipe;
    private Process process;
    private BufferedReader out;

    @BeforeEach
    void begin() throws IOException, InterruptedException {
        folder = Files.createTempDirectory("signals");
        pipe = pipe(folder.resolve("node.toml"));
        process = CliTest.start("serve", "--config", pipe.toString());
        out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    private static Path pipe(Path at) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("mkfifo", at.toString()).start().waitFor());
        return at;
    }

    @AfterEach
    void end() throws IOException {
        process.destroyForcibly();
        Files.delete(pipe);
        Files.delete(folder);
    }

    private void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Reads until each of these has been said, in any order; returns what was. */
    private String awaitOutput(String... words) throws IOException {
        StringBuilder seen = new StringBuilder();
        while (!Stream.of(words).allMatch(w -> seen.indexOf(w) >= 0)) {
            String line = out.readLine();
            if (line == null) {
                throw new AssertionError("not all of " + List.of(words) + " in: " + seen);
            }
            seen.append(line).append('\n');
        }
        return seen.toString();
    }

    @Test
    void aReloadDuringTheStartIsAppliedAndDoesNotEndTheProcess() throws IOException, InterruptedException {
        try (var writer = Files.newBufferedWriter(pipe)) { // opens once the process reads
            signal("HUP");
            // Replaced meanwhile: what is read again is another pipe.
            Files.move(pipe(folder.resolve("next.toml")), pipe, StandardCopyOption.REPLACE_EXISTING);
            writer.write(FILE);
        }
        Files.writeString(pipe, FILE); // once it reads again
        awaitOutput("event=configuration_reloaded", "event=listening address=");
        signal("HUP"); // waits for a file that nobody writes
        signal("TERM");
        signal("TERM");
        assertTrue(awaitOutput("event=stopped ").contains("0 unanswered"));
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @Test
    void sigtermDuringTheStartEndsItGracefully() throws IOException, InterruptedException {
        try (var writer = Files.newBufferedWriter(pipe)) {
            signal("TERM");
            awaitOutput("event=stopped_before_listening");
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
            writer.write("");
        }
    }
}
