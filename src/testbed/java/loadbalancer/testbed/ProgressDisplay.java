package loadbalancer.testbed;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Shows how a {@link Demo} goes: a line each second, or on a terminal a table that is drawn in place. */
final class ProgressDisplay {
    /** How progress is printed. */
    enum Mode {
        /** One line after the other. */
        PLAIN,
        /** A table that is overwritten by ANSI escape sequences. */
        TERMINAL
    }

    private static final String CLEAR_LINE = "\u001b[2K";
    private static final int MAX_SERVERS = 24;

    private final PrintStream out;
    private final Mode mode;
    private final RequestCounts counts;
    private int height; // lines of the table that is on the terminal

    ProgressDisplay(PrintStream out, Mode mode, RequestCounts counts) {
        this.out = out;
        this.mode = mode;
        this.counts = counts;
    }

    /** Shows the present state, {@code micros} after the beginning of the load. */
    void show(long micros, List<StandInFleet.ServerStatus> servers) {
        String summary = summary(micros);
        if (mode == Mode.PLAIN) {
            printLine(summary, servers);
            return;
        }
        if (height > 0) {
            out.print("\u001b[" + height + "A"); // cursor up
        }
        printTable(summary, servers);
    }

    private String summary(long micros) {
        RequestCounts.Recent recent = counts.recent();
        RequestCounts.Line all = counts.all();
        return String.format(
                Locale.ROOT,
                "%5.0f s %6d/s p50 %7.1f ms p99 %7.1f ms  worth %.3f  refused %d failed %d none %d",
                micros / 1e6,
                recent.ends(),
                recent.p50() / 1e3,
                recent.p99() / 1e3,
                all.worthInTime(),
                all.refused,
                all.failed,
                all.unanswered);
    }

    private void printLine(String summary, List<StandInFleet.ServerStatus> servers) {
        StringBuilder line = new StringBuilder(summary);
        for (StandInFleet.ServerStatus server : servers) {
            if (!server.state().equals("up")) {
                line.append("  ").append(server.name()).append(' ').append(server.state());
            }
        }
        out.println(line);
    }

    private void printTable(String summary, List<StandInFleet.ServerStatus> servers) {
        height = 1;
        out.println(CLEAR_LINE + summary);
        for (RequestCounts.Line line : counts.lines()) {
            out.printf(
                    Locale.ROOT,
                    CLEAR_LINE + "  %-16s worth %.3f  p50 %7.1f ms  p99 %7.1f ms%n",
                    line.name,
                    line.worthInTime(),
                    line.latency.getValueAtPercentile(50) / 1e3,
                    line.latency.getValueAtPercentile(99) / 1e3);
            height++;
        }
        for (StandInFleet.ServerStatus server : servers.subList(0, Math.min(servers.size(), MAX_SERVERS))) {
            out.printf(
                    Locale.ROOT,
                    CLEAR_LINE + "  %-12s %-9s in flight %4d  served %8d%n",
                    server.name(),
                    server.state(),
                    server.inFlight(),
                    server.served());
            height++;
        }
        out.flush();
    }
}
