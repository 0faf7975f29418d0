package loadbalancer.proxy;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Counts what must never happen, while the program runs: each is prevented by a guard, and a count above 0 is
 * a bug. The first of each kind is logged, then the second, the fourth and so on. On the event loop.
 */
public final class Invariants {
    /** What must never happen. */
    public enum Violation {
        /** An attempt was about to begin after its request's final response or its client's close. */
        SEND_AFTER_END,
        /** An attempt was about to begin while another one of a request that must not run twice may run. */
        SECOND_RUN,
        /** A request was about to get a second final response. */
        SECOND_RESPONSE,
        /** The program closed a client's connection while it owed a response on it. */
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

    /** It has happened, to that request or connection. */
    public void violated(Violation what, String subject) {
        long count = counts.merge(what, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            log.accept("invariant violated: " + name(what) + " " + subject + ", " + count + " so far");
        }
    }

    /** How often it has happened. */
    public long count(Violation what) {
        return counts.getOrDefault(what, 0L);
    }

    /** In a few words for the end of a run: each kind that has happened, with its count. */
    public String summary() {
        if (counts.isEmpty()) {
            return "no invariant violated";
        }
        return counts.entrySet().stream()
                .map(e -> e.getValue() + " " + name(e.getKey()))
                .collect(Collectors.joining(", ", "violated: ", ""));
    }

    private static String name(Violation what) {
        return what.name().toLowerCase(Locale.ROOT);
    }
}
