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

/** Reads the table {@code http3} and the PEM files that it names, which stand beside the configuration file. */
final class Http3Table {
    private static final long MAX_PEM_BYTES = 1 << 20;
    private static final int BYTES_PER_MIB_SHIFT = 20;
    private static final int MAX_MIB = 1 << 20;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MIN_IDLE_MILLIS = 1_000;

    private final Table table;
    private final String configFile;

    private Http3Table(Table table, String configFile) {
        this.table = table;
        this.configFile = configFile;
    }

    static Http3Settings read(Table table, String configFile) {
        return new Http3Table(table, configFile).settings();
    }

    private Http3Settings settings() {
        boolean servesClients = table.has("listen");
        InetSocketAddress listen =
                servesClients ? ConfigFile.address(table, "listen", table.text("listen", null)) : null;
        TlsIdentity identity = identity(servesClients);
        Http3ConnectionLimiter.Limits connectionLimits = connectionLimits();
        int maxStreams = (int) table.number("streams", 100, 1, 1e5);
        long idleMillis = Math.max(MIN_IDLE_MILLIS, table.time("idle", "30s") / MICROS_PER_MILLI);
        boolean advertise = table.flag("advertise", true);
        List<X509Certificate> trust = trust();
        String serverName = table.has("server-name") ? table.name("server-name", null) : null;
        Http3ConnectionPlan.Limits upstreamLimits = upstreamLimits();
        if (!servesClients && !table.has("trust")) {
            table.complain("listen", "missing, and no trust: the table switches nothing on");
        }
        return new Http3Settings(
                listen,
                identity,
                connectionLimits,
                maxStreams,
                idleMillis,
                advertise,
                trust,
                serverName,
                upstreamLimits);
    }

    private Http3ConnectionLimiter.Limits connectionLimits() {
        return new Http3ConnectionLimiter.Limits(
                (int) table.number("connections", 500, 1, 1e6),
                (int) table.number("per-address", 250, 1, 1e6),
                (int) table.number("handshakes", 100, 2, 1e6),
                (long) table.number("unread-mib", 8, 1, MAX_MIB) << BYTES_PER_MIB_SHIFT,
                table.time("rest", "1s") * NANOS_PER_MICRO,
                table.time("handshake", "3s") * NANOS_PER_MICRO);
    }

    private Http3ConnectionPlan.Limits upstreamLimits() {
        return new Http3ConnectionPlan.Limits(
                (int) table.number("upstream-connections", 4, 1, 1_000),
                (int) table.number("upstream-streams", 100, 1, 1e5),
                table.time("back-off", "1s"),
                table.time("back-off-most", "30s"));
    }

    /** The certificates that upstreams are checked against; none where the file names none. */
    private List<X509Certificate> trust() {
        String pem = table.has("trust") ? pemFile("trust") : null;
        if (pem == null) {
            return List.of();
        }
        try {
            return TlsIdentity.certificates(pem);
        } catch (IllegalArgumentException e) {
            table.complain("trust", e.getMessage());
            return List.of();
        }
    }

    /** Null where it is neither required nor given, or has a problem. */
    private TlsIdentity identity(boolean required) {
        if (!required && !table.has("certificate") && !table.has("key")) {
            return null;
        }
        String chain = pemFile("certificate");
        String key = pemFile("key");
        if (chain == null || key == null) {
            return null;
        }
        try {
            TlsIdentity.certificates(chain);
        } catch (IllegalArgumentException e) {
            table.complain("certificate", e.getMessage());
            return null;
        }
        try {
            return TlsIdentity.parse(chain, key);
        } catch (IllegalArgumentException e) {
            table.complain("key", e.getMessage());
            return null;
        }
    }

    /** The text of the file that {@code key} names; null where there is a problem, which is noted. */
    private String pemFile(String key) {
        if (!table.has(key)) {
            table.text(key, null); // notes that it is missing
            return null;
        }
        String name = table.text(key, null);
        try {
            Path path = Path.of(configFile).resolveSibling(name);
            if (Files.size(path) > MAX_PEM_BYTES) {
                table.complain(key, "longer than 1 MiB: '" + name + "'");
                return null;
            }
            return Files.readString(path, StandardCharsets.US_ASCII);
        } catch (IOException | InvalidPathException e) {
            table.complain(key, "can't read '" + name + "' (" + e.getClass().getSimpleName() + ")");
            return null;
        }
    }
}
