package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;

/** Reads messages line by line and counts the lines, starting at 1. */
final class SimulatorMessageReader {
    private final BufferedReader input;
    private long lineNumber;

    SimulatorMessageReader(BufferedReader input) {
        this.input = input;
    }

    /** The next message, or null at the end of the input. */
    SimulatorMessage next() throws IOException {
        String line = input.readLine();
        lineNumber++;
        return line == null ? null : new SimulatorMessage(lineNumber, line);
    }

    /**
     * The number of the line that was read last; at the end of the input, that of the line that would have followed.
     */
    long lineNumber() {
        return lineNumber;
    }
}
