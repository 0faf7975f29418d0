package loadbalancer.http3;

import java.net.InetSocketAddress;
import java.security.cert.X509Certificate;
import java.util.List;

/**
 * What a balancer is told of HTTP/3; {@code listen} and {@code identity} are null where it takes none from
 * clients. {@code trust}: who signs the upstreams' certificates, empty where none of them speaks it;
 * {@code serverName}: whom these name, null where they name the address. Times in ms.
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
    /** Whether another one differs at most in what can change in service. */
    public boolean sameButIdentity(Http3Settings other) {
        return new Http3Settings(
                                listen, other.identity, sessions, streams, idle, advertise, trust, serverName, upstream)
                        .equals(other)
                && (identity == null) == (other.identity == null);
    }
}
