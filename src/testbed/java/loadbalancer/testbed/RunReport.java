package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The report at the end of a run: what clients got, and whether the rules were kept. Does no I/O. */
final class RunReport {
    private static final int MAX_SHOWN = 5; // findings of each kind whose history is shown

    private RunReport() {}

    /** Whether no rule was broken, no server collapsed and every request was accepted, as all are well formed. */
    static boolean isClean(RequestCounts counts, Ledger ledger, List<StandInFleet.ServerStatus> servers) {
        return ledger.findings().isEmpty()
                && counts.all().notTaken == 0
                && servers.stream().allMatch(server -> server.collapses() == 0);
    }

    /** The lines of the report. */
    static List<String> lines(RequestCounts counts, Ledger ledger, List<StandInFleet.ServerStatus> servers) {
        List<String> lines = new ArrayList<>();
        addCounts(lines, counts);
        lines.add("");
        addExecutions(lines, counts, ledger, servers);
        addVerdict(lines, ledger, servers);
        addFindings(lines, ledger);
        for (StandInFleet.ServerStatus server : servers) {
            if (server.collapses() > 0) {
                lines.add("box " + server.name() + " was pushed over " + server.collapses() + " times while cold");
            }
        }
        return lines;
    }

    private static void addCounts(List<String> lines, RequestCounts counts) {
        lines.add(String.format(
                Locale.ROOT,
                "%-16s %8s %8s %7s %8s %7s %5s %9s %9s %9s %6s",
                "class",
                "taken",
                "in time",
                "late",
                "refused",
                "failed",
                "none",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "worth"));
        for (RequestCounts.Line line : counts.lines()) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%-16s %8d %8d %7d %8d %7d %5d %9.1f %9.1f %9.1f %6.3f",
                    line.name,
                    line.taken,
                    line.inTime,
                    line.late,
                    line.refused,
                    line.failed,
                    line.unanswered,
                    line.latency.getValueAtPercentile(50) / 1e3,
                    line.latency.getValueAtPercentile(99) / 1e3,
                    line.latency.getValueAtPercentile(99.9) / 1e3,
                    line.worthInTime()));
        }
    }

    private static void addExecutions(
            List<String> lines, RequestCounts counts, Ledger ledger, List<StandInFleet.ServerStatus> servers) {
        Ledger.Executions executions = ledger.executions();
        long declined =
                servers.stream().mapToLong(StandInFleet.ServerStatus::declined).sum();
        lines.add("runs begun by boxes: " + executions.started() + ", repeats dropped: " + executions.repeats()
                + ", turned away by boxes: " + declined + ", not taken: " + counts.all().notTaken);
    }

    private static void addVerdict(List<String> lines, Ledger ledger, List<StandInFleet.ServerStatus> servers) {
        StringBuilder verdict = new StringBuilder();
        for (Ledger.Breach breach : Ledger.Breach.values()) {
            verdict.append(verdict.length() == 0 ? "" : ", ")
                    .append(phrase(breach))
                    .append(": ")
                    .append(ledger.count(breach));
        }
        long collapses =
                servers.stream().mapToLong(StandInFleet.ServerStatus::collapses).sum();
        lines.add(verdict.append(", cold boxes pushed over: ").append(collapses).toString());
    }

    private static void addFindings(List<String> lines, Ledger ledger) {
        for (Ledger.Breach breach : Ledger.Breach.values()) {
            ledger.findings().stream()
                    .filter(finding -> finding.breach() == breach)
                    .limit(MAX_SHOWN)
                    .forEach(finding -> {
                        lines.add("order " + finding.request() + " " + phrase(breach) + ":");
                        finding.history().forEach(event -> lines.add("    " + event));
                    });
        }
    }

    /** The name of a breach as the report prints it. */
    static String phrase(Ledger.Breach breach) {
        return breach.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
