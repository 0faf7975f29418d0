package loadbalancer.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses literal socket addresses. Host names are rejected, so that a DNS lookup never blocks the caller. */
public final class Addresses {
    private Addresses() {}

    /** Parses {@code address:port}; throws IllegalArgumentException if {@code text} has another form. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon <= 0 || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new IllegalArgumentException("not address:port: '" + text + "'");
        }
        String host = text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]?")) {
            throw new IllegalArgumentException("not an address: '" + host + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: '" + host + "'");
        }
    }

    /** Formats an address in the form that {@link #parse} accepts. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
