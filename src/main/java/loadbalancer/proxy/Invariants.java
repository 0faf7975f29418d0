package loadbalancer.proxy;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Counts violations of invariants at run time. Checks prevent each violation before it takes effect, so a count above 0
 * indicates a bug. A log line is written for a violation if the count of its kind is a power of two. To be used on the
 * event loop.
 */
public final class Invariants {
    /** The kinds of violations. */
    public enum Violation {
        /** An attempt was about to start after the final response to its request or after its client disconnected. */
        SEND_AFTER_END,
        /** An attempt of a request that must run only once was about to start while another attempt may run. */
        SECOND_RUN,
        /** A request was about to get a second final response. */
        SECOND_RESPONSE,
        /** The balancer closed a client's connection while a response on it was pending. */
        CLOSED_UNANSWERED,
        /** A request or an attempt was about to make a state transition that its state does not allow. */
        ILLEGAL_TRANSITION
    }

    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);
    private final Consumer<String> log;

    /** Creates counters of 0; {@code log} receives the log lines and must not block. */
    public Invariants(Consumer<String> log) {
        this.log = log;
    }

    /** Counts a violation by the request or connection named {@code subject}. */
    public void violated(Violation violation, String subject) {
        long count = counts.merge(violation, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            log.accept("event=invariant_violated invariant=" + name(violation) + " subject=" + subject + " count="
                    + count);
        }
    }

    /** Returns the number of violations of one kind. */
    public long count(Violation violation) {
        return counts.getOrDefault(violation, 0L);
    }

    /** Returns the kinds of violations that have occurred, with their counts, for the summary at the end of a run. */
    public String summary() {
        if (counts.isEmpty()) {
            return "no invariant violated";
        }
        return counts.entrySet().stream()
                .map(entry -> entry.getValue() + " " + name(entry.getKey()))
                .collect(Collectors.joining(", ", "violated: ", ""));
    }

    private static String name(Violation violation) {
        return violation.name().toLowerCase(Locale.ROOT);
    }
}
