package loadbalancer.proxy;

import java.util.List;
import loadbalancer.policy.Policy;

/**
 * Decides until when an attempt of a request with an idempotency key may be sent (rule 2). Servers drop a repeat only
 * within the group of the server to which the request was sent first, and only for some time from then on. Which
 * attempt is the repeat depends on the order in which attempts are sent, not on that in which they were chosen: the
 * connection of an attempt may be established after a later attempt was sent, and the request may have run meanwhile.
 * Does no I/O and reads no clock; times are in µs.
 */
final class RepeatGuard {
    /** The result for an attempt that servers would not drop as a repeat. */
    static final long NEVER = Long.MIN_VALUE;
    /** The result for an attempt that is no repeat, or that servers may run again. */
    static final long NO_LIMIT = Long.MAX_VALUE;

    private RepeatGuard() {}

    /**
     * Returns the time from which {@code attempt} may not be sent any more.
     *
     * @param requestClass the class of the request, by the settings under which it was accepted
     * @param attempts all attempts of the request
     * @param server the present entry of the attempt's server in the endpoint list
     */
    static long sendDeadlineMicros(
            Policy.RequestClass requestClass, List<ProxyAttempt> attempts, ProxyAttempt attempt, Policy.Server server) {
        if (requestClass.effect() != Policy.Effect.KEYED) {
            return NO_LIMIT;
        }
        long deadlineMicros = NO_LIMIT;
        for (ProxyAttempt other : attempts) {
            if (other == attempt || !other.isSent() || other.neverRan()) {
                continue;
            }
            if (!requestClass.scope().isSameGroup(other.sentTo(), server)) {
                return NEVER;
            }
            deadlineMicros = Math.min(deadlineMicros, other.sentAtMicros() + requestClass.keyTtlMicros());
        }
        return deadlineMicros;
    }
}
