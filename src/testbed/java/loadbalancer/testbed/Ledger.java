package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;

/**
 * The one book of all orders: when each was asked, where its work began, and which final answers came. Every
 * front's client and every kind of box writes here, so that what was booked twice, promised falsely or never
 * answered shows, with its history. Does no I/O; all of it may be called from any thread.
 */
final class Ledger {
    /** What a client got. */
    enum Final {
        SERVED,
        REFUSED,
        FAILED,
        NOT_TAKEN,
        NONE,
        /** None, because its balancer was killed, or stood still for its time, by the run's own script. */
        LOST,
        /** None, because it closed its connection before it came: nothing is owed. */
        LEFT
    }

    /** What goes against the rules. */
    enum Breach {
        BOOKED_TWICE,
        REFUSED_AFTER_IT_RAN,
        UNANSWERED,
        ANSWERED_TWICE,
        SERVED_UNBOOKED,
        SENT_AFTER_DRAIN,
        /** A request reached a server long after its client had closed its connection. */
        SENT_AFTER_CLOSE
    }

    /** µs after a client's close until which a request may still be sent on. */
    static final long CLOSE_GRACE = 100_000;

    /** A breach, the order it concerns and all that was noted of it. */
    record Finding(Breach breach, String order, List<String> history) {}

    private static final class Entry {
        final Policy.Effect effect;
        final List<String> history = new ArrayList<>(4);
        int runs;
        int effects;
        int finals;
        Final last = Final.NONE;
        long leftAt = Long.MAX_VALUE;

        Entry(Policy.Effect effect) {
            this.effect = effect;
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final List<Finding> findings = new ArrayList<>();
    private final long[] finals = new long[Final.values().length];
    private long runs;
    private long repeats;

    /** An order is sent to the balancer. */
    synchronized void asked(String order, Policy.Effect effect, long at) {
        Entry entry = new Entry(effect);
        entry.history.add(at + " asked, " + effect);
        entries.put(order, entry);
    }

    /** A box begins its work; {@code effect} is false where its cell knows the key and drops the repeat. */
    synchronized void ran(String order, String box, boolean effect, long at) {
        runs++;
        Entry entry = entries.get(order);
        if (entry == null) {
            findings.add(new Finding(
                    Breach.BOOKED_TWICE, order, List.of(at + " ran on " + box + ", and nobody asked for it")));
            return;
        }
        entry.runs++;
        entry.history.add(at + (effect ? " booked on " : " dropped as a repeat on ") + box);
        if (effect) {
            entry.effects++;
        } else {
            repeats++;
        }
        if (entry.effect != Policy.Effect.SAFE && entry.effects > 1 && effect) {
            find(Breach.BOOKED_TWICE, order, entry);
        }
        if (entry.last == Final.REFUSED && entry.effect != Policy.Effect.SAFE) {
            find(Breach.REFUSED_AFTER_IT_RAN, order, entry);
        }
    }

    /** Its client has closed its connection before any response; that is its end. */
    synchronized void left(String order, long at) {
        Entry entry = entries.get(order);
        entry.leftAt = at;
        answered(order, Final.LEFT, at);
    }

    /**
     * A whole request has reached a server.
     *
     * @param slack µs by which {@code at} may be later than it was sent: those of the rules, and the delay of
     *     whoever noted it
     */
    synchronized void reached(String order, String server, long slack, long at) {
        Entry entry = entries.get(order);
        if (entry == null) {
            return;
        }
        entry.history.add(at + " reached " + server);
        if (at - entry.leftAt > CLOSE_GRACE + slack) {
            find(Breach.SENT_AFTER_CLOSE, order, entry);
        }
    }

    /** A note for its history that is no breach by itself. */
    synchronized void note(String order, String what, long at) {
        Entry entry = entries.get(order);
        if (entry != null) {
            entry.history.add(at + " " + what);
        }
    }

    /** A client has its final answer, or none in time. */
    synchronized void answered(String order, Final what, long at) {
        Entry entry = entries.get(order);
        finals[what.ordinal()]++;
        entry.history.add(at + " " + what);
        entry.finals++;
        entry.last = what;
        if (entry.finals > 1) {
            find(Breach.ANSWERED_TWICE, order, entry);
        } else if (what == Final.NONE) {
            find(Breach.UNANSWERED, order, entry);
        } else if (what == Final.SERVED && entry.runs == 0) {
            find(Breach.SERVED_UNBOOKED, order, entry);
        } else if (what == Final.REFUSED && entry.effect != Policy.Effect.SAFE && entry.effects > 0) {
            find(Breach.REFUSED_AFTER_IT_RAN, order, entry);
        }
    }

    /** A request reached a box that had been drained for longer than the rules allow. */
    synchronized void sentAfterDrain(String order, String box, long late, long at) {
        Entry entry = entries.get(order);
        if (entry != null) {
            entry.history.add(at + " sent to " + box + ", " + late / 1000 + " ms after the grace of its drain");
            find(Breach.SENT_AFTER_DRAIN, order, entry);
        }
    }

    private void find(Breach breach, String order, Entry entry) {
        findings.add(new Finding(breach, order, List.copyOf(entry.history)));
    }

    synchronized List<Finding> findings() {
        return List.copyOf(findings);
    }

    synchronized long count(Breach breach) {
        return findings.stream().filter(f -> f.breach() == breach).count();
    }

    synchronized long count(Final what) {
        return finals[what.ordinal()];
    }

    /** Begun by boxes, and of these dropped as repeats. */
    synchronized long[] runs() {
        return new long[] {runs, repeats};
    }

    synchronized List<String> history(String order) {
        Entry entry = entries.get(order);
        return entry == null ? List.of() : List.copyOf(entry.history);
    }
}
