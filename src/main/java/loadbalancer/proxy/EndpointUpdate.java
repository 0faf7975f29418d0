package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * An update of the endpoint list.
 *
 * @param version the version of the list, as numbered by its source
 * @param complete whether {@code endpoints} is the complete list; otherwise it holds the changed endpoints only
 * @param endpoints the endpoints of the upstreams
 */
public record EndpointUpdate(long version, boolean complete, List<Endpoint> endpoints) {
    /**
     * The endpoint of one upstream.
     *
     * @param server the upstream in the form that the policy uses
     * @param address the address for HTTP/1.1
     * @param http3Address the address for HTTP/3, or null
     * @param isTakenOver whether another upstream listens at the address by now
     */
    public record Endpoint(
            Policy.Server server, InetSocketAddress address, InetSocketAddress http3Address, boolean isTakenOver) {
        /** Creates an endpoint at an address of its own. */
        public Endpoint(Policy.Server server, InetSocketAddress address, InetSocketAddress http3Address) {
            this(server, address, http3Address, false);
        }

        /** Creates an endpoint that serves HTTP/1.1 only. */
        public Endpoint(Policy.Server server, InetSocketAddress address) {
            this(server, address, null);
        }

        /** Returns the entry of an upstream that has gone, since another one listens at its address. */
        Endpoint takenOver() {
            return new Endpoint(server.withState(Policy.State.GONE), address, http3Address, true);
        }
    }

    /** Returns the upstreams in the form that the policy uses. */
    public List<Policy.Server> servers() {
        return endpoints.stream().map(Endpoint::server).toList();
    }
}
