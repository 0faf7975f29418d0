package loadbalancer.downstream;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import loadbalancer.connections.ConnectionBudget;

/** Under which key the connections of one client address are counted. */
public final class ClientAddress {
    private static final String UNKNOWN_ADDRESS_KEY = "unknown";

    private ClientAddress() {}

    /**
     * The key of a remote address: see {@link ConnectionBudget#addressKey}. All connections without an IP address,
     * as those of a domain socket or those already closed, share one key.
     *
     * @param remote the address, or null where it is not known any more
     */
    public static Object key(SocketAddress remote) {
        return remote instanceof InetSocketAddress address
                ? ConnectionBudget.addressKey(address.getAddress().getAddress())
                : UNKNOWN_ADDRESS_KEY;
    }
}
