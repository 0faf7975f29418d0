package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Signals that this JVM was started with as ignored. Each process that a test starts inherits that, and a JVM installs
 * no handler for a signal that was ignored at its start: a test that sends it would wait in vain.
 */
public final class IgnoredSignals {
    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String IGNORED_MASK = "SigIgn:";

    /** The signals that tests send, by their number on Linux. */
    public enum Signal {
        SIGHUP(1),
        SIGINT(2),
        SIGTERM(15);

        private final int number;

        Signal(int number) {
            this.number = number;
        }
    }

    private IgnoredSignals() {}

    /** Fails at once, and says why, where a process that this test starts would not get {@code signal}. */
    public static void assertNotIgnored(Signal signal) throws IOException {
        assertFalse(
                isIgnored(signal, Files.readAllLines(STATUS)),
                () -> "this test sends " + signal + ", which is ignored in the process that runs the tests (started by"
                        + " nohup, in the background, or behind a trap?): run them where " + signal
                        + " is not ignored");
    }

    /** {@code status}: the lines of proc(5)'s status file. */
    static boolean isIgnored(Signal signal, List<String> status) {
        for (String line : status) {
            if (line.startsWith(IGNORED_MASK)) {
                long mask = Long.parseUnsignedLong(
                        line.substring(IGNORED_MASK.length()).strip(), 16);
                return (mask >> (signal.number - 1) & 1) != 0;
            }
        }
        throw new AssertionError("no " + IGNORED_MASK + " in " + STATUS);
    }
}
