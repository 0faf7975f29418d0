package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * Decides how long an attempt goes on whose timeout is over although its response has begun. The timeout limits the
 * wait for a response, not the time that a long one takes: that one is timed by its first bytes, and its upstream may
 * pause for seconds. A response of unknown length may be long until it ends, so that a pause tells nothing about it; it
 * is waited for until the deadline of its request, and then passed on as far as it has come. Does no I/O and reads no
 * clock; times are in µs.
 */
final class AttemptTimeoutRules {
    /** Max. pause within a response that is known to be short, where the request may be sent again. */
    static final long MAX_PAUSE_IF_SAFE_MICROS = 100_000;

    private AttemptTimeoutRules() {}

    /**
     * Returns for how long the attempt goes on; 0 or less if its timeout takes effect now.
     *
     * @param mayBeLong whether the response may become longer than what is buffered
     * @param sinceProgressMicros time since the last bytes of the response
     * @param timeLeftMicros time until attempts of the request end at the latest
     */
    static long extensionMicros(
            Policy.Effect effect, boolean mayBeLong, long sinceProgressMicros, long timeLeftMicros) {
        boolean mayBeReplaced = effect == Policy.Effect.SAFE && !mayBeLong;
        long pauseLeftMicros = mayBeReplaced ? MAX_PAUSE_IF_SAFE_MICROS - sinceProgressMicros : Long.MAX_VALUE;
        return Math.min(pauseLeftMicros, timeLeftMicros);
    }
}
