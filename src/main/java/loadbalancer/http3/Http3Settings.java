package loadbalancer.http3;

import java.net.InetSocketAddress;
import java.security.cert.X509Certificate;
import java.util.List;

/**
 * The HTTP/3 part of the configuration. Immutable.
 *
 * @param listen where clients connect; null where the balancer accepts no HTTP/3 from clients
 * @param identity the certificate for clients; null with {@code listen}
 * @param sessions limits of the clients' connections
 * @param streams requests at once on a client's connection
 * @param idle the idle timeout of a connection, in ms
 * @param advertise whether responses over HTTP/1.1 name the HTTP/3 endpoint
 * @param trust the certificates of those who sign the upstreams'; empty where no upstream speaks HTTP/3
 * @param serverName the name in the upstreams' certificates; null where they name the address
 * @param upstream limits of the connections to each upstream
 */
public record Http3Settings(
        InetSocketAddress listen,
        TlsIdentity identity,
        Http3ConnectionLimiter.Limits sessions,
        int streams,
        long idle,
        boolean advertise,
        List<X509Certificate> trust,
        String serverName,
        Http3ConnectionPlan.Limits upstream) {
    /** Whether the other differs at most in what a reload can change: one identity for another. */
    public boolean sameButIdentity(Http3Settings other) {
        return new Http3Settings(
                                listen, other.identity, sessions, streams, idle, advertise, trust, serverName, upstream)
                        .equals(other)
                && (identity == null) == (other.identity == null);
    }
}
