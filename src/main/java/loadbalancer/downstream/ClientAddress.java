package loadbalancer.downstream;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import loadbalancer.connections.ConnectionBudget;

/** Computes the key under which the connections of one client address are counted. */
public final class ClientAddress {
    private static final String UNKNOWN_ADDRESS_KEY = "unknown";

    private ClientAddress() {}

    /**
     * Returns the key of a remote address; see {@link ConnectionBudget#addressKey}. All connections without an IP
     * address, such as those over a Unix domain socket and those that are already closed, share one key.
     *
     * @param remote the address, or null if it is no longer known
     */
    public static Object key(SocketAddress remote) {
        return remote instanceof InetSocketAddress address
                ? ConnectionBudget.addressKey(address.getAddress().getAddress())
                : UNKNOWN_ADDRESS_KEY;
    }
}
