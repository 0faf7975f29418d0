package loadbalancer.testbed;

import loadbalancer.policy.Policy;

/**
 * What a stand-in server knows of a request beyond what the request itself says.
 *
 * @param effect whether the request may be executed more than once
 * @param workMicros µs of one core at speed 1
 * @param keyTtlMicros µs for which its idempotency key is remembered
 */
record RequestProfile(Policy.Effect effect, long workMicros, long keyTtlMicros) {}
