/**
 * The protocol-neutral core of the balancer: the types of requests and responses, the life cycle of requests and
 * attempts, and the interfaces to downstreams, upstreams and endpoint discovery.
 *
 * <p>{@link loadbalancer.proxy.Dispatcher} accepts requests from downstreams, notifies the
 * {@link loadbalancer.policy.Policy} and executes its actions through an
 * {@link loadbalancer.proxy.AttemptTransport}. {@link loadbalancer.proxy.SendGuard} is the last check before the
 * first byte of an attempt, and {@link loadbalancer.proxy.Invariants} counts violations of invariants. Everything
 * runs on one event loop; no class of this package does I/O itself.
 */
package loadbalancer.proxy;
