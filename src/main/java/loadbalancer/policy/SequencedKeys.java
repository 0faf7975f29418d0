package loadbalancer.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.policy.Policy.Outcome;

/** Rule 5: requests with one key, of classes that ask for order, run one at a time in the order of arrival. */
final class SequencedKeys {
    private final Map<Long, SequencedKey> sequences = new LinkedHashMap<>();

    void add(RequestState request) {
        request.sequence = sequences.computeIfAbsent(request.key, key -> new SequencedKey());
        request.sequence.requests.add(request);
    }

    /** Whether all earlier requests of the key are over, and attempts they left behind may no longer run. */
    static boolean mayRun(RequestState request, long now) {
        SequencedKey sequence = request.sequence;
        if (sequence == null) {
            return true;
        }
        boolean first = sequence.requests.peekFirst() == request;
        return first && (now >= sequence.restUntil || !request.attempts.isEmpty());
    }

    /** Lets the key rest after an attempt of which nobody knows whether it still runs. */
    static void attemptEnded(RequestState request, AttemptState attempt, Outcome outcome, long now, long pauseMicros) {
        SequencedKey sequence = request.sequence;
        if (sequence != null && attempt.mayHaveRun && outcome != Outcome.OK && outcome != Outcome.ERROR) {
            sequence.restUntil = Math.max(sequence.restUntil, now + pauseMicros);
        }
    }

    static void remove(RequestState request) {
        if (request.sequence != null) {
            request.sequence.requests.remove(request);
        }
    }

    void removeIdle(long now) {
        sequences.values().removeIf(sequence -> sequence.requests.isEmpty() && now >= sequence.restUntil);
    }
}
