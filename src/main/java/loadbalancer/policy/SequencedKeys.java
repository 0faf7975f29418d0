package loadbalancer.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.policy.Policy.Outcome;

/** Rule 5: requests with one key, of classes that ask for order, run one at a time in the order of arrival. */
final class SequencedKeys {
    private final Map<Long, SequencedKey> sequencedKeys = new LinkedHashMap<>();

    void add(RequestState request) {
        request.sequencedKey = sequencedKeys.computeIfAbsent(request.keyHash, keyHash -> new SequencedKey());
        request.sequencedKey.requests.add(request);
    }

    /** Whether all earlier requests of the key are over, and attempts they left behind may no longer run. */
    static boolean mayRun(RequestState request, long nowMicros) {
        SequencedKey sequencedKey = request.sequencedKey;
        if (sequencedKey == null) {
            return true;
        }
        boolean isFirst = sequencedKey.requests.peekFirst() == request;
        return isFirst && (nowMicros >= sequencedKey.blockedUntilMicros || !request.attempts.isEmpty());
    }

    /** Lets the key rest after an attempt of which nobody knows whether it still runs. */
    static void attemptEnded(
            RequestState request, AttemptState attempt, Outcome outcome, long nowMicros, long pauseMicros) {
        SequencedKey sequencedKey = request.sequencedKey;
        if (sequencedKey != null && attempt.mayHaveRun && outcome != Outcome.OK && outcome != Outcome.ERROR) {
            sequencedKey.blockedUntilMicros = Math.max(sequencedKey.blockedUntilMicros, nowMicros + pauseMicros);
        }
    }

    static void remove(RequestState request) {
        if (request.sequencedKey != null) {
            request.sequencedKey.requests.remove(request);
        }
    }

    void removeIdle(long nowMicros) {
        sequencedKeys
                .values()
                .removeIf(sequencedKey ->
                        sequencedKey.requests.isEmpty() && nowMicros >= sequencedKey.blockedUntilMicros);
    }
}
