package loadbalancer.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.policy.Policy.Outcome;

/** Rule 5: requests with the same key, of classes that require ordering, run one at a time in the order of arrival. */
final class SequencedKeys {
    private final Map<Long, SequencedKey> sequencedKeys = new LinkedHashMap<>();

    void add(RequestState request) {
        request.sequencedKey = sequencedKeys.computeIfAbsent(request.keyHash, keyHash -> new SequencedKey());
        request.sequencedKey.requests.add(request);
    }

    /** Whether all earlier requests of the key have finished and none of their attempts may still run. */
    static boolean mayRun(RequestState request, long nowMicros) {
        SequencedKey sequencedKey = request.sequencedKey;
        if (sequencedKey == null) {
            return true;
        }
        boolean isFirst = sequencedKey.requests.peekFirst() == request;
        return isFirst && (nowMicros >= sequencedKey.blockedUntilMicros || !request.attempts.isEmpty());
    }

    /** Blocks the key for a while after an attempt that may still be running. */
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
