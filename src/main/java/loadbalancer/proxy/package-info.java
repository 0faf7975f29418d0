/**
 * The protocol-neutral middle of the balancer: the request and its response as types, the life cycle of
 * requests and attempts, and the interfaces to downstreams, upstreams and endpoint discovery.
 *
 * <p>{@link loadbalancer.proxy.Dispatcher} accepts requests from downstreams, notifies the
 * {@link loadbalancer.policy.Policy} and carries out its actions through an
 * {@link loadbalancer.proxy.AttemptTransport}. {@link loadbalancer.proxy.SendGuard} is the last check before
 * an attempt's first byte, {@link loadbalancer.proxy.Invariants} counts what must never happen. Everything runs
 * on one event loop; no class here does I/O of its own.
 */
package loadbalancer.proxy;
