package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * The decision of {@link SendGuard}, made right before the first byte of an attempt, whether the attempt may start.
 *
 * @param refusal the outcome of an attempt that may not start; null if the attempt may start
 * @param expiresAtMicros the time by which the first byte must be sent, by the balancer's clock, if the attempt may
 *     start
 */
public record SendPermit(Policy.Outcome refusal, long expiresAtMicros) {
    static SendPermit refused(Policy.Outcome outcome) {
        return new SendPermit(outcome, Long.MIN_VALUE);
    }

    /** Whether the attempt may start. */
    public boolean granted() {
        return refusal == null;
    }
}
