package loadbalancer.proxy;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Counts violated invariants at run time: each violation is prevented by a check, and a count above 0 is a bug.
 * The first of each kind is logged, then the second, the fourth and so on. On the event loop.
 */
public final class Invariants {
    /** What must never happen. */
    public enum Violation {
        /** An attempt was about to begin after its request's final response or its client's close. */
        SEND_AFTER_END,
        /** An attempt of a request that must run once only was about to begin while another one may run. */
        SECOND_RUN,
        /** A request was about to get a second final response. */
        SECOND_RESPONSE,
        /** The balancer closed a client's connection while a response on it was pending. */
        CLOSED_UNANSWERED,
        /** A request or attempt was about to leave a state that it can only be in once. */
        ILLEGAL_TRANSITION
    }

    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);
    private final Consumer<String> log;

    /** {@code log} must not block. */
    public Invariants(Consumer<String> log) {
        this.log = log;
    }

    /** Counts a violation; {@code subject}: the request or connection that it happened to. */
    public void violated(Violation violation, String subject) {
        long count = counts.merge(violation, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            log.accept("event=invariant_violated invariant=" + name(violation) + " subject=" + subject + " count="
                    + count);
        }
    }

    /** How often that violation has happened. */
    public long count(Violation violation) {
        return counts.getOrDefault(violation, 0L);
    }

    /** For the end of a run: each kind that has happened, with its count. */
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
