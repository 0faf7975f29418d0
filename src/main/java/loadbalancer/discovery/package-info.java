/**
 * Service discovery: where the list of upstreams comes from. {@link loadbalancer.discovery.DiscoveryClient} fetches and
 * watches it over HTTP, {@link loadbalancer.discovery.StaticEndpointSource} takes it from the configuration; both are
 * an {@link loadbalancer.proxy.EndpointSource}.
 *
 * <p>Decisions are kept apart from I/O: {@code VersionTracker} orders lists that overtake one another, and
 * {@code WatchTimeout} says when a watch counts as lost and when the next one begins.
 */
package loadbalancer.discovery;
