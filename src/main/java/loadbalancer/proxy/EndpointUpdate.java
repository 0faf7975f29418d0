package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * An update of the endpoint list.
 *
 * @param version the version by its source
 * @param complete whether {@code endpoints} is complete, or holds only what has changed
 * @param endpoints the upstreams
 */
public record EndpointUpdate(long version, boolean complete, List<Endpoint> endpoints) {
    /**
     * One upstream.
     *
     * @param server as the policy knows it
     * @param address where this balancer reaches it
     * @param http3Address where it serves HTTP/3, or null
     */
    public record Endpoint(Policy.Server server, InetSocketAddress address, InetSocketAddress http3Address) {
        /** One that serves HTTP/1.1 only. */
        public Endpoint(Policy.Server server, InetSocketAddress address) {
            this(server, address, null);
        }
    }

    /** The upstreams as the policy knows them. */
    public List<Policy.Server> servers() {
        return endpoints.stream().map(Endpoint::server).toList();
    }
}
