package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The tally at the end of a run, and whether the rules were kept. Does no I/O. */
final class RunReport {
    private static final int SHOWN = 5; // findings of one sort whose history is told

    private RunReport() {}

    /** Whether nothing went against the rules, and every order was taken: all of them are well formed. */
    static boolean isClean(RequestCounts counts, Ledger ledger, List<StandInFleet.Standing> boxes) {
        return ledger.findings().isEmpty()
                && counts.all().notTaken == 0
                && boxes.stream().allMatch(b -> b.falls() == 0);
    }

    static List<String> lines(RequestCounts counts, Ledger ledger, List<StandInFleet.Standing> boxes) {
        List<String> out = new ArrayList<>();
        out.add(String.format(
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
            out.add(String.format(
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
        long[] runs = ledger.runs();
        out.add("");
        out.add("runs begun by boxes: " + runs[0] + ", repeats dropped: " + runs[1]
                + ", turned away by boxes: "
                + boxes.stream().mapToLong(StandInFleet.Standing::declined).sum() + ", not taken: "
                + counts.all().notTaken);
        StringBuilder verdict = new StringBuilder();
        for (Ledger.Breach breach : Ledger.Breach.values()) {
            verdict.append(verdict.length() == 0 ? "" : ", ")
                    .append(words(breach))
                    .append(": ")
                    .append(ledger.count(breach));
        }
        verdict.append(", cold boxes pushed over: ")
                .append(boxes.stream().mapToLong(StandInFleet.Standing::falls).sum());
        out.add(verdict.toString());
        for (Ledger.Breach breach : Ledger.Breach.values()) {
            ledger.findings().stream()
                    .filter(f -> f.breach() == breach)
                    .limit(SHOWN)
                    .forEach(f -> {
                        out.add("order " + f.order() + " " + words(breach) + ":");
                        f.history().forEach(h -> out.add("    " + h));
                    });
        }
        boxes.stream()
                .filter(b -> b.falls() > 0)
                .forEach(b -> out.add("box " + b.name() + " was pushed over " + b.falls() + " times while cold"));
        return out;
    }

    static String words(Ledger.Breach breach) {
        return breach.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
