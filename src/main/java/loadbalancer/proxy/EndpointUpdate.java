package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.policy.Policy;

/** A list of upstreams, in the version {@code rev} of its source: all of them, or those that changed. */
public record EndpointUpdate(long rev, boolean all, List<Endpoint> list) {
    /**
     * An upstream as the module knows it, and where this balancer reaches it; {@code http3}: where it speaks
     * that as well, or null.
     */
    public record Endpoint(Policy.Server server, InetSocketAddress endpoint, InetSocketAddress http3) {
        /** One that speaks HTTP/1.1 only. */
        public Endpoint(Policy.Server server, InetSocketAddress endpoint) {
            this(server, endpoint, null);
        }
    }

    public List<Policy.Server> servers() {
        return list.stream().map(Endpoint::server).toList();
    }
}
