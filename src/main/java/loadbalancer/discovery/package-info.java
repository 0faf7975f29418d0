/**
 * Service discovery, which provides the list of upstreams. {@link loadbalancer.discovery.DiscoveryClient} fetches and
 * watches the list over HTTP, {@link loadbalancer.discovery.StaticEndpointSource} takes it from the configuration; both
 * implement {@link loadbalancer.proxy.EndpointSource}.
 *
 * <p>Decisions are separated from I/O: {@code VersionTracker} orders lists that arrive out of order, and
 * {@code WatchTimeout} decides when a watch is considered lost and when the next one begins.
 */
package loadbalancer.discovery;
