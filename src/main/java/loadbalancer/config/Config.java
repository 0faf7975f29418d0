package loadbalancer.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.connections.ConnectionLimits;
import loadbalancer.discovery.EndpointUpdateReader;
import loadbalancer.http3.Http3Settings;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.settings.SettingsReader;

/**
 * What a balancer is told at its start, whichever form it stands in; {@code discovery} is null where the
 * list of
 * upstreams is {@code known} from here alone, {@code http3} where it is off, {@code management} where
 * operators have no address to call at; {@code inherited}: clients' listening socket is descriptor 0, handed
 * down by whoever started this process; {@code keys}: those that the file holds, for a fresh one to hold too.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        ConnectionLimits connections,
        EndpointUpdate known,
        SettingsReader.Boot boot,
        Http3Settings http3,
        InetSocketAddress management,
        boolean inherited,
        Set<String> keys) {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final int SOCKETS = 1024; // assumed where neither file nor system tells

    /** One without HTTP/3. */
    public Config(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            ConnectionLimits connections,
            EndpointUpdate known,
            SettingsReader.Boot boot) {
        this(name, listen, discovery, seed, connections, known, boot, null, null, false, Set.of());
    }

    /** What is wrong with the configuration, in one line. */
    public static final class Bad extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public Bad(String message) {
            super(message);
        }
    }

    /** What differs in another one and can't change in service: names for a line of the log. */
    public List<String> waiting(Config fresh) {
        List<String> waiting = new ArrayList<>();
        if (!fresh.listen.equals(listen)) {
            waiting.add("listener");
        }
        if (!Objects.equals(fresh.management, management)) {
            waiting.add("management");
        }
        if (!fresh.connections.equals(connections)) {
            waiting.add("connections");
        }
        if ((fresh.discovery == null) != (discovery == null)) {
            waiting.add("source of the list");
        }
        boolean both = http3 != null && fresh.http3 != null;
        if (both ? !http3.sameButIdentity(fresh.http3) : http3 != fresh.http3) {
            waiting.add("http3");
        }
        return waiting;
    }

    /** This one, with what can be taken over in service from another one. */
    public Config with(Config fresh) {
        return new Config(
                name,
                listen,
                fresh.discovery,
                seed,
                connections,
                fresh.known,
                fresh.boot,
                fresh.http3,
                management,
                inherited,
                fresh.keys);
    }

    /** Why nothing of another one can be taken over in service; null where it can. */
    public String problem(Config fresh) {
        List<String> missing =
                keys.stream().filter(key -> !fresh.keys.contains(key)).toList();
        return missing.isEmpty() ? SettingsReload.problem(boot, fresh.boot) : "missing: " + String.join(", ", missing);
    }

    /** Reads the file that {@code ROUTER_CONFIG} names; the other variables win over what it says. */
    public static Config read(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new Bad("ROUTER_CONFIG is not set");
        }
        Map<String, Object> json;
        try {
            json = JSON.std.mapFrom(Files.readString(Path.of(file)));
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            throw new Bad("can't read the configuration " + file + ": "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse("") + " ("
                    + e.getClass().getSimpleName() + ")");
        }
        return of(environment, json == null ? Map.of() : json);
    }

    /** Reads the file anew: where it names another discovery, that is the one to use from here on. */
    public static Config again(Map<String, String> environment) {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("ROUTER_DISCOVERY");
        return read(others);
    }

    public static Config of(Map<String, String> environment, Map<String, Object> json) {
        String name = told(environment, "ROUTER_NAME", json, "name");
        InetSocketAddress listen = address("listen", told(environment, "ROUTER_LISTEN", json, "listen"));
        InetSocketAddress discovery = address("discovery", told(environment, "ROUTER_DISCOVERY", json, "discovery"));
        String door = optional(environment, "ROUTER_MANAGEMENT", json, "management");
        InetSocketAddress management = door == null ? null : address("management", door);
        Object settings = json.get("settings");
        if (!(settings instanceof Map)) {
            throw new Bad("the configuration has no settings");
        }
        Map<String, String> values = new HashMap<>();
        SettingsReader.flatten("", settings, values);
        SettingsReader.Boot boot =
                SettingsReader.read(values, (path, what) -> new Bad("settings: " + path + ": " + what));
        Set<String> keys = new TreeSet<>(SettingsReload.keys(values));
        json.forEach((key, value) -> {
            if (value != null) {
                keys.add("/" + key);
            }
        });
        EndpointUpdate known = new EndpointUpdate(0, true, List.of());
        if (json.get("known") != null) {
            try {
                known = EndpointUpdateReader.of(json.get("known"), boot);
            } catch (IllegalArgumentException e) {
                throw new Bad("known: " + e.getMessage());
            }
        }
        Object limits = json.get("limits");
        Object sockets = limits instanceof Map ? ((Map<?, ?>) limits).get("sockets") : null;
        int told = sockets instanceof Number ? ((Number) sockets).intValue() : Integer.MAX_VALUE;
        int most = Math.min(told, most());
        return new Config(
                name,
                listen,
                discovery,
                seed(json.get("seed")),
                ConnectionLimits.of(most == Integer.MAX_VALUE ? SOCKETS : most),
                known,
                boot,
                null,
                management,
                inherits(environment.get("ROUTER_INHERITED_FD")),
                keys);
    }

    // The JVM hands on descriptor 0 and no other.
    private static boolean inherits(String descriptor) {
        if (descriptor == null || descriptor.isBlank()) {
            return false;
        }
        if (!descriptor.strip().equals("0")) {
            throw new Bad("ROUTER_INHERITED_FD: only descriptor 0 can be taken over: '" + descriptor + "'");
        }
        return true;
    }

    private static String told(
            Map<String, String> environment, String variable, Map<String, Object> json, String field) {
        String value = optional(environment, variable, json, field);
        if (value != null) {
            return value;
        }
        throw new Bad(variable + " is not set, and the configuration has no " + field);
    }

    // Null where neither tells.
    private static String optional(
            Map<String, String> environment, String variable, Map<String, Object> json, String field) {
        String value = environment.get(variable);
        Object other = json.get(field);
        if (value != null && !value.isBlank()) {
            return value;
        }
        return other instanceof String text && !text.isBlank() ? text : null;
    }

    private static InetSocketAddress address(String what, String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new Bad(what + ": " + e.getMessage());
        }
    }

    private static long seed(Object value) {
        if (value instanceof Number) {
            return ((Number) value).longValue();
        }
        try {
            return Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new Bad("seed: not hexadecimal: '" + value + "'");
        }
    }

    /** The soft limit on descriptors, read without the management classes: they make a start longer. */
    private static int most() {
        try {
            for (String line : Files.readAllLines(LIMITS)) {
                if (line.toLowerCase(Locale.ROOT).startsWith("max open files")) {
                    return (int) Math.min(
                            Integer.MAX_VALUE, Long.parseLong(line.trim().split("\\s+")[3]));
                }
            }
        } catch (IOException | NumberFormatException e) {
            return Integer.MAX_VALUE; // unlimited, or not this kind of system
        }
        return Integer.MAX_VALUE;
    }

    /** Descriptors that this process may hold, as far as the system tells. */
    public static int descriptors() {
        int most = most();
        return most == Integer.MAX_VALUE ? SOCKETS : most;
    }
}
