package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * An update of the endpoint list.
 *
 * @param rev the version by its source
 * @param all whether {@code list} is complete, or holds only what has changed
 * @param list the upstreams
 */
public record EndpointUpdate(long rev, boolean all, List<Endpoint> list) {
    /**
     * One upstream.
     *
     * @param server as the policy knows it
     * @param endpoint where this balancer reaches it
     * @param http3 where it serves HTTP/3, or null
     */
    public record Endpoint(Policy.Server server, InetSocketAddress endpoint, InetSocketAddress http3) {
        /** One that serves HTTP/1.1 only. */
        public Endpoint(Policy.Server server, InetSocketAddress endpoint) {
            this(server, endpoint, null);
        }
    }

    /** The upstreams as the policy knows them. */
    public List<Policy.Server> servers() {
        return list.stream().map(Endpoint::server).toList();
    }
}
