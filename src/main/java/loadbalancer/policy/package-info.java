/**
 * The decision module: to which server a request is sent, when, and whether at all. {@link
 * loadbalancer.policy.Policy} is its interface and {@link loadbalancer.policy.JsqDasPolicy} the implementation; the
 * other classes each hold one of its rules.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread: time and events come in as arguments, actions go out
 * through {@link loadbalancer.policy.Policy.Actions}, and randomness follows from a seed. All times are microseconds.
 */
package loadbalancer.policy;
