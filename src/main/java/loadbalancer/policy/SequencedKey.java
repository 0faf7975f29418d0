package loadbalancer.policy;

import java.util.ArrayDeque;

/** The open requests with one key, of classes that require ordering: only the first one may be sent. */
final class SequencedKey {
    final ArrayDeque<RequestState> requests = new ArrayDeque<>();
    /** Time until which attempts of the previous request may still run. */
    long blockedUntilMicros;
}
