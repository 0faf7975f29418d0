package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;

/**
 * The record of all requests of a run: when each was sent, where its execution started, and how it ended. All
 * clients and all stand-in servers write to it, so that a request that was executed twice, refused after its
 * execution or never answered is found, with its history. Does no I/O; may be called from any thread.
 */
final class Ledger {
    /** How a request ended for its client. The names appear in histories. */
    enum RequestOutcome {
        SERVED,
        REFUSED,
        FAILED,
        NOT_TAKEN,
        NONE,
        /** No response, because the run itself killed its balancer or stalled it for too long. */
        LOST,
        /** No response, because the client closed its connection before: none was pending any more. */
        LEFT
    }

    /** Ways to break the rules. The names appear in reports. */
    enum Breach {
        BOOKED_TWICE,
        REFUSED_AFTER_IT_RAN,
        UNANSWERED,
        ANSWERED_TWICE,
        SERVED_UNBOOKED,
        SENT_AFTER_DRAIN,
        /** A keyed request reached a server when the group had forgotten the key of an attempt that may have run. */
        SENT_AFTER_WINDOW,
        /** A request reached a server long after its client had closed its connection. */
        SENT_AFTER_CLOSE
    }

    /** µs after a client's close within which its request may still be forwarded. */
    static final long CLOSE_GRACE = 100_000;

    /** A breach, the request that it concerns, and the history of that request. */
    record Finding(Breach breach, String request, List<String> history) {}

    private record Arrival(String server, long at) {}

    private static final class Entry {
        final Policy.Effect effect;
        final List<String> history = new ArrayList<>(4);
        int balancer = DrainNotifications.SHARED;
        int executions;
        int effects;
        int outcomes;
        RequestOutcome lastOutcome = RequestOutcome.NONE;
        long responseBegunAt = Long.MAX_VALUE;
        long leftAt = Long.MAX_VALUE;
        final List<Arrival> arrivals = new ArrayList<>(2); // that may have run, since its client last sent it

        Entry(Policy.Effect effect) {
            this.effect = effect;
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final List<Finding> findings = new ArrayList<>();
    private final Map<RequestOutcome, Long> outcomes = new EnumMap<>(RequestOutcome.class);
    private long executions;
    private long repeats;

    /** A client sends a request, to a balancer that is not said. */
    synchronized void recordSent(String request, Policy.Effect effect, long at) {
        Entry entry = new Entry(effect);
        entry.history.add(at + " asked, " + effect);
        entries.put(request, entry);
    }

    /** A client sends a request to the balancer at that place. */
    synchronized void recordSent(String request, Policy.Effect effect, int place, long at) {
        recordSent(request, effect, at);
        recordBalancer(request, place, at);
    }

    /** A client sends a request once more, to the balancer at that place. */
    synchronized void recordSentAgain(String request, String reason, int place, long at) {
        note(request, "sent again: " + reason, at);
        recordBalancer(request, place, at);
    }

    private void recordBalancer(String request, int place, long at) {
        note(request, "sent to balancer " + place, at);
        entries.get(request).balancer = place;
        entries.get(request).arrivals.clear();
    }

    /** The balancer that a request was last sent to; {@link DrainNotifications#SHARED} where that is not said. */
    synchronized int balancer(String request) {
        Entry entry = entries.get(request);
        return entry == null ? DrainNotifications.SHARED : entry.balancer;
    }

    /**
     * A server starts to execute a request.
     *
     * @param effect false where its cell knows the idempotency key and drops the repeat
     */
    synchronized void recordExecution(String request, String server, boolean effect, long at) {
        executions++;
        Entry entry = entries.get(request);
        if (entry == null) {
            findings.add(new Finding(
                    Breach.BOOKED_TWICE, request, List.of(at + " ran on " + server + ", and nobody asked for it")));
            return;
        }
        entry.executions++;
        entry.history.add(at + (effect ? " booked on " : " dropped as a repeat on ") + server);
        if (effect) {
            entry.effects++;
        } else {
            repeats++;
        }
        if (entry.effect != Policy.Effect.SAFE && entry.effects > 1 && effect) {
            addFinding(Breach.BOOKED_TWICE, request, entry);
        }
        if (entry.lastOutcome == RequestOutcome.REFUSED && entry.effect != Policy.Effect.SAFE) {
            addFinding(Breach.REFUSED_AFTER_IT_RAN, request, entry);
        }
    }

    /** The client of a request has closed its connection before any response, which ends the request. */
    synchronized void recordClientClose(String request, long at) {
        Entry entry = entries.get(request);
        entry.leftAt = at;
        recordOutcome(request, RequestOutcome.LEFT, at);
    }

    /** A client that had left sends its request once more, under the same id: it may run if it has not. */
    synchronized void recordReturn(String request, int place, long at) {
        entries.get(request).leftAt = Long.MAX_VALUE;
        recordSentAgain(request, "its client has come back", place, at);
    }

    /** A request of a client that came back was refused, which says that nothing has run. */
    synchronized void recordRefusedReturn(String request, long at) {
        Entry entry = entries.get(request);
        note(request, "refused", at);
        if (entry.effect != Policy.Effect.SAFE && entry.effects > 0) {
            addFinding(Breach.REFUSED_AFTER_IT_RAN, request, entry);
        }
    }

    /**
     * A complete request has reached a server.
     *
     * @param keyTtlMicros for how long the servers of a cell drop repeats, from the first attempt that may have run
     * @param slack µs by which {@code at} may be later than the request was sent: those of the rules, and the
     *     lag of the event loop that read it
     */
    synchronized void recordArrival(String request, String server, long keyTtlMicros, long slack, long at) {
        Entry entry = entries.get(request);
        if (entry == null) {
            return;
        }
        entry.history.add(at + " reached " + server);
        if (at - entry.leftAt > CLOSE_GRACE + slack) {
            addFinding(Breach.SENT_AFTER_CLOSE, request, entry);
        }
        if (entry.effect == Policy.Effect.KEYED
                && !entry.arrivals.isEmpty()
                && at - entry.arrivals.get(0).at() > keyTtlMicros + slack) {
            addFinding(Breach.SENT_AFTER_WINDOW, request, entry);
        }
        entry.arrivals.add(new Arrival(server, at));
    }

    /** A server has declined a request that has reached it: this attempt never runs. */
    synchronized void recordDeclined(String request, String server, long at) {
        note(request, "turned away by " + server, at);
        Entry entry = entries.get(request);
        if (entry != null) {
            entry.arrivals.removeIf(arrival -> arrival.server().equals(server) && arrival.at() == at);
        }
    }

    /** A server begins to write the response to a request. */
    synchronized void recordResponseBegun(String request, long at) {
        Entry entry = entries.get(request);
        if (entry != null) {
            entry.responseBegunAt = Math.min(entry.responseBegunAt, at);
            note(request, "response begun", at);
        }
    }

    /** Whether a server had begun to write the response to a request by then. */
    synchronized boolean hasResponseBegunBy(String request, long at) {
        return entries.get(request).responseBegunAt <= at;
    }

    /** Adds to the history of a request what is no breach by itself. */
    synchronized void note(String request, String what, long at) {
        Entry entry = entries.get(request);
        if (entry != null) {
            entry.history.add(at + " " + what);
        }
    }

    /** A client has its final response, or got none in time. */
    synchronized void recordOutcome(String request, RequestOutcome what, long at) {
        Entry entry = entries.get(request);
        outcomes.merge(what, 1L, Long::sum);
        entry.history.add(at + " " + what);
        entry.outcomes++;
        entry.lastOutcome = what;
        if (entry.outcomes > 1) {
            addFinding(Breach.ANSWERED_TWICE, request, entry);
        } else if (what == RequestOutcome.NONE) {
            addFinding(Breach.UNANSWERED, request, entry);
        } else if (what == RequestOutcome.SERVED && entry.executions == 0) {
            addFinding(Breach.SERVED_UNBOOKED, request, entry);
        } else if (what == RequestOutcome.REFUSED && entry.effect != Policy.Effect.SAFE && entry.effects > 0) {
            addFinding(Breach.REFUSED_AFTER_IT_RAN, request, entry);
        }
    }

    /** A request has reached a server {@code late} µs after the grace of its drain. */
    synchronized void recordSendAfterDrain(String request, String server, long late, long at) {
        Entry entry = entries.get(request);
        if (entry != null) {
            entry.history.add(at + " sent to " + server + ", " + late / 1000 + " ms after the grace of its drain");
            addFinding(Breach.SENT_AFTER_DRAIN, request, entry);
        }
    }

    private void addFinding(Breach breach, String request, Entry entry) {
        findings.add(new Finding(breach, request, List.copyOf(entry.history)));
    }

    synchronized List<Finding> findings() {
        return List.copyOf(findings);
    }

    synchronized long count(Breach breach) {
        return findings.stream().filter(f -> f.breach() == breach).count();
    }

    synchronized long count(RequestOutcome what) {
        return outcomes.getOrDefault(what, 0L);
    }

    /**
     * What servers executed.
     *
     * @param started executions that began, the repeats included
     * @param repeats those that were dropped as their idempotency key was known
     */
    record Executions(long started, long repeats) {}

    synchronized Executions executions() {
        return new Executions(executions, repeats);
    }

    /** All that was noted of a request so far. */
    synchronized List<String> history(String request) {
        Entry entry = entries.get(request);
        return entry == null ? List.of() : List.copyOf(entry.history);
    }
}
