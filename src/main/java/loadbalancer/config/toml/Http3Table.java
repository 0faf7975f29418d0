package loadbalancer.config.toml;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.List;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.http3.Http3Settings;
import loadbalancer.http3.TlsIdentity;

/** Reads the table {@code http3}; the files that it names are read with it, beside the configuration. */
final class Http3Table {
    private static final long SMALL = 1 << 20; // bytes of a file of certificates

    private Http3Table() {}

    static Http3Settings read(Table t, String file) {
        boolean clients = t.has("listen");
        InetSocketAddress listen = clients ? ConfigFile.address(t, "listen", t.text("listen", null)) : null;
        TlsIdentity identity = identity(t, file, clients);
        Http3ConnectionLimiter.Limits sessions = new Http3ConnectionLimiter.Limits(
                (int) t.number("connections", 500, 1, 1e6),
                (int) t.number("per-address", 250, 1, 1e6),
                (int) t.number("handshakes", 100, 2, 1e6),
                (long) t.number("unread-mib", 8, 1, 1 << 20) << 20,
                t.time("rest", "1s") * 1_000,
                t.time("handshake", "3s") * 1_000);
        int streams = (int) t.number("streams", 100, 1, 1e5);
        long idle = Math.max(1_000, t.time("idle", "30s") / 1_000);
        boolean advertise = t.flag("advertise", true);
        List<X509Certificate> trust = List.of();
        if (t.has("trust")) {
            String pem = text(t, "trust", file);
            try {
                trust = pem == null ? List.of() : TlsIdentity.certificates(pem);
            } catch (IllegalArgumentException e) {
                t.complain("trust", e.getMessage());
            }
        }
        String name = t.has("server-name") ? t.name("server-name", null) : null;
        Http3ConnectionPlan.Limits plan = new Http3ConnectionPlan.Limits(
                (int) t.number("upstream-connections", 4, 1, 1_000),
                (int) t.number("upstream-streams", 100, 1, 1e5),
                t.time("back-off", "1s"),
                t.time("back-off-most", "30s"));
        if (!clients && !t.has("trust")) {
            t.complain("listen", "missing, and no trust: the table switches nothing on");
        }
        return new Http3Settings(listen, identity, sessions, streams, idle, advertise, trust, name, plan);
    }

    private static TlsIdentity identity(Table t, String file, boolean needed) {
        if (!needed && !t.has("certificate") && !t.has("key")) {
            return null;
        }
        String chain = text(t, "certificate", file);
        String key = text(t, "key", file);
        if (chain == null || key == null) {
            return null;
        }
        try {
            TlsIdentity.certificates(chain);
        } catch (IllegalArgumentException e) {
            t.complain("certificate", e.getMessage());
            return null;
        }
        try {
            return TlsIdentity.parse(chain, key);
        } catch (IllegalArgumentException e) {
            t.complain("key", e.getMessage());
            return null;
        }
    }

    // Null where there is none that can be read: told then.
    private static String text(Table t, String key, String file) {
        if (!t.has(key)) {
            t.text(key, null); // complains
            return null;
        }
        String name = t.text(key, null);
        try {
            Path path = Path.of(file).resolveSibling(name);
            if (Files.size(path) > SMALL) {
                t.complain(key, "longer than 1 MiB: '" + name + "'");
                return null;
            }
            return Files.readString(path, StandardCharsets.US_ASCII);
        } catch (IOException | InvalidPathException e) {
            t.complain(key, "can't read '" + name + "' (" + e.getClass().getSimpleName() + ")");
            return null;
        }
    }
}
