/**
 * The load-balancing policy: which server a request is sent to, when, and whether it is sent at all.
 * {@link loadbalancer.policy.Policy} is its interface and {@link loadbalancer.policy.JsqDasPolicy} the implementation;
 * the other classes each implement one of its rules.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread: time and events come in as arguments, actions go out
 * through {@link loadbalancer.policy.Policy.Actions}, and randomness is derived from a seed. All times are
 * microseconds.
 */
package loadbalancer.policy;
