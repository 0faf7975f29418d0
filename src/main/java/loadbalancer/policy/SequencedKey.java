package loadbalancer.policy;

import java.util.ArrayDeque;

/** The requests with one key of classes that are served in order: only the first of them is sent. */
final class SequencedKey {
    final ArrayDeque<RequestState> requests = new ArrayDeque<>();
    /** Time in microseconds until which attempts of the previous request may still run. */
    long blockedUntilMicros;
}
