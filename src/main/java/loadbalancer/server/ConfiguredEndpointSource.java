package loadbalancer.server;

import loadbalancer.config.Config;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.StaticEndpointSource;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.EndpointSource;

/**
 * The endpoint source that the configuration names: a discovery service, or the list in the configuration itself. Which
 * of the two it is holds for the life of the process.
 */
final class ConfiguredEndpointSource {
    private final DiscoveryClient discovery; // null with a static list
    private final StaticEndpointSource staticList; // null with discovery

    ConfiguredEndpointSource(ServerComponents server, ReadinessTracker readiness) {
        Config config = server.config;
        if (config.discovery() != null) {
            discovery = new DiscoveryClient(
                    server.loop,
                    config.discovery(),
                    config.boot(),
                    config.known().version(),
                    readiness::updateEndpoints,
                    server.log);
            staticList = null;
        } else {
            discovery = null;
            staticList = new StaticEndpointSource(config.known(), readiness::updateEndpoints);
        }
    }

    EndpointSource source() {
        return discovery != null ? discovery : staticList;
    }

    /** Starts to deliver endpoint lists; on the loop. */
    void start() {
        if (discovery != null) {
            discovery.start();
        } else {
            staticList.start();
        }
    }

    /** Whether {@code fresh} names a source of the same kind; from any thread. */
    boolean canReload(Config fresh) {
        return (discovery != null) == (fresh.discovery() != null);
    }

    /** Takes over the address or the list of a configuration that {@link #canReload}; on the loop. */
    void reload(Config fresh) {
        if (discovery != null) {
            discovery.switchTo(fresh.discovery());
        } else {
            staticList.replace(fresh.known());
        }
    }

    /** What the log says of the source that {@code fresh} names; from any thread. */
    String describe(Config fresh) {
        return discovery != null
                ? "discovery=" + Addresses.text(fresh.discovery())
                : "endpoints=" + fresh.known().endpoints().size();
    }
}
