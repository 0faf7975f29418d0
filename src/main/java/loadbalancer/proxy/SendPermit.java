package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * Whether an attempt may begin, as {@link SendGuard} decided right before the first byte.
 *
 * @param refusal the outcome of an attempt that may not begin; null where it may
 * @param expiresAtMicros where it may begin: its first byte has to leave before, in µs of the balancer's clock
 */
public record SendPermit(Policy.Outcome refusal, long expiresAtMicros) {
    static SendPermit refused(Policy.Outcome outcome) {
        return new SendPermit(outcome, Long.MIN_VALUE);
    }

    /** Whether it may begin. */
    public boolean granted() {
        return refusal == null;
    }
}
