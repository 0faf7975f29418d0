package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as it is started: arguments, exit codes and what goes to which stream. */
class MainTest {
    private record Run(int exit, String out, String err) { }

    private static Run run(String input, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp", "target/classes",
            "junctionhead.Main"));
        command.addAll(List.of(arguments));
        Path in = Files.createTempFile("junctionhead", ".in");
        Path out = Files.createTempFile("junctionhead", ".out");
        Path err = Files.createTempFile("junctionhead", ".err");
        Files.writeString(in, input);
        int exit = new ProcessBuilder(command).redirectInput(in.toFile()).redirectOutput(out.toFile())
            .redirectError(err.toFile()).start().waitFor();
        Run run = new Run(exit, Files.readString(out, StandardCharsets.UTF_8),
            Files.readString(err, StandardCharsets.UTF_8));
        for (Path file : List.of(in, out, err)) {
            Files.delete(file);
        }
        return run;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "adapter", "wirehost extra"})
    void wrongArgumentsGetAUsageLine(String arguments) throws IOException, InterruptedException {
        Run run = run("", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(new Run(2, "", "usage: java -jar junctionhead.jar serve | wirehost\n"), run);
    }

    @Test
    void theEndOfInputBetweenBatchesIsNormal() throws IOException, InterruptedException {
        assertEquals(new Run(0, "DONE\nDONE\n", ""), run("TICK\t1\nGO\nTICK\t2\nGO\n", "wirehost"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "TICK 1 NOISE | line 2: NOISE: field Balancer: no AT line names the instance",
        "TICK 1 | line 2: GO: field GO: the input ends within a batch",
    })
    void malformedInputIsOneMessageAndExitOne(String words, String complaint)
            throws IOException, InterruptedException {
        String input = words.strip().replace(" NOISE", "\nNOISE").replace("TICK 1", "TICK\t1") + "\n";
        Run run = run(input, "wirehost");
        assertEquals(1, run.exit());
        assertTrue(run.err().equals("junctionhead: " + complaint.strip() + "\n"), run.err());
        assertEquals("", run.out());
    }
}
