package loadbalancer.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The soft limit on file descriptors, read without the JDK's management classes: they make a start longer. */
final class DescriptorLimit {
    /** The limit where the system names none, or can't be asked. */
    static final int UNLIMITED = Integer.MAX_VALUE;

    /** Assumed where neither the configuration nor the system names a limit. */
    private static final int DEFAULT = 1024;

    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String LIMIT_NAME = "max open files";
    private static final int SOFT_LIMIT_COLUMN = 3; // behind the three words of the name

    private DescriptorLimit() {}

    /** Returns the limit of this process, or {@link #UNLIMITED}. */
    static int ofProcess() {
        try {
            for (String line : Files.readAllLines(LIMITS_FILE)) {
                if (line.toLowerCase(Locale.ROOT).startsWith(LIMIT_NAME)) {
                    long limit = Long.parseLong(line.trim().split("\\s+", -1)[SOFT_LIMIT_COLUMN]);
                    return (int) Math.min(UNLIMITED, limit);
                }
            }
        } catch (IOException | NumberFormatException e) {
            return UNLIMITED; // the limit reads "unlimited", or this is no Linux
        }
        return UNLIMITED;
    }

    /** Returns the limit, or the default where there is none. */
    static int orDefault(int limit) {
        return limit == UNLIMITED ? DEFAULT : limit;
    }
}
