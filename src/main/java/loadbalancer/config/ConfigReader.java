package loadbalancer.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.connections.ConnectionLimits;
import loadbalancer.discovery.EndpointUpdateReader;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.settings.SettingsReader;

/**
 * Reads a {@link Config} from environment variables and a JSON file. A variable wins over the file's field of the same
 * meaning. Every method throws {@link Config.Bad} for the first value that is missing or malformed.
 */
final class ConfigReader {
    private static final String INHERITED_DESCRIPTOR = "0";
    private static final int HEXADECIMAL = 16;

    private final Map<String, String> environment;
    private final Map<String, Object> json;

    private ConfigReader(Map<String, String> environment, Map<String, Object> json) {
        this.environment = environment;
        this.json = json;
    }

    /** Reads the file that {@code ROUTER_CONFIG} names, and the other variables. */
    static Config readFile(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new Config.Bad("ROUTER_CONFIG is not set");
        }
        Map<String, Object> json;
        try {
            json = JSON.std.mapFrom(Files.readString(Path.of(file)));
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new Config.Bad("can't read the configuration " + file + ": " + firstLine + " ("
                    + e.getClass().getSimpleName() + ")");
        }
        return read(environment, json == null ? Map.of() : json);
    }

    /** Reads a configuration whose file is parsed already. */
    static Config read(Map<String, String> environment, Map<String, Object> json) {
        return new ConfigReader(environment, json).config();
    }

    // The order of reading decides which of several errors is reported.
    private Config config() {
        String name = requiredText("ROUTER_NAME", "name");
        InetSocketAddress listen = address("listen", requiredText("ROUTER_LISTEN", "listen"));
        InetSocketAddress discovery = address("discovery", requiredText("ROUTER_DISCOVERY", "discovery"));
        String managementText = text("ROUTER_MANAGEMENT", "management");
        InetSocketAddress management = managementText == null ? null : address("management", managementText);
        Map<String, String> settings = settings();
        SettingsReader.Boot boot =
                SettingsReader.read(settings, (path, problem) -> new Config.Bad("settings: " + path + ": " + problem));
        Set<String> keys = keys(settings);
        EndpointUpdate known = knownEndpoints(boot);
        return new Config(
                name,
                listen,
                discovery,
                seed(),
                connectionLimits(),
                known,
                boot,
                null,
                management,
                inheritsListener(),
                keys);
    }

    private Map<String, String> settings() {
        Object settings = json.get("settings");
        if (!(settings instanceof Map)) {
            throw new Config.Bad("the configuration has no settings");
        }
        Map<String, String> values = new HashMap<>();
        SettingsReader.flatten("", settings, values);
        return values;
    }

    /** The keys of the settings, and those of the file itself with a slash before them. */
    private Set<String> keys(Map<String, String> settings) {
        Set<String> keys = new TreeSet<>(SettingsReload.keys(settings));
        json.forEach((key, value) -> {
            if (value != null) {
                keys.add("/" + key);
            }
        });
        return keys;
    }

    private EndpointUpdate knownEndpoints(SettingsReader.Boot boot) {
        Object known = json.get("known");
        if (known == null) {
            return new EndpointUpdate(0, true, List.of());
        }
        try {
            return EndpointUpdateReader.fromJsonValue(known, boot);
        } catch (IllegalArgumentException e) {
            throw new Config.Bad("known: " + e.getMessage());
        }
    }

    /** The limits for as many descriptors as both the file and the system allow. */
    private ConnectionLimits connectionLimits() {
        Object limits = json.get("limits");
        Object sockets = limits instanceof Map<?, ?> table ? table.get("sockets") : null;
        int configured = sockets instanceof Number number ? number.intValue() : DescriptorLimit.UNLIMITED;
        int descriptors = Math.min(configured, DescriptorLimit.ofProcess());
        return Config.connectionLimits(DescriptorLimit.orDefault(descriptors));
    }

    /** A number, or text that is hexadecimal. */
    private long seed() {
        Object value = json.get("seed");
        if (value instanceof Number number) {
            return number.longValue();
        }
        try {
            return Long.parseUnsignedLong(String.valueOf(value), HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new Config.Bad("seed: not hexadecimal: '" + value + "'");
        }
    }

    // The JVM hands on descriptor 0 and no other.
    private boolean inheritsListener() {
        String descriptor = environment.get("ROUTER_INHERITED_FD");
        if (descriptor == null || descriptor.isBlank()) {
            return false;
        }
        if (!descriptor.strip().equals(INHERITED_DESCRIPTOR)) {
            throw new Config.Bad("ROUTER_INHERITED_FD: only descriptor 0 can be taken over: '" + descriptor + "'");
        }
        return true;
    }

    private String requiredText(String variable, String field) {
        String value = text(variable, field);
        if (value == null) {
            throw new Config.Bad(variable + " is not set, and the configuration has no " + field);
        }
        return value;
    }

    /** The value of the variable or else of the field; null where both are missing or blank. */
    private String text(String variable, String field) {
        String value = environment.get(variable);
        if (value != null && !value.isBlank()) {
            return value;
        }
        return json.get(field) instanceof String text && !text.isBlank() ? text : null;
    }

    private static InetSocketAddress address(String name, String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new Config.Bad(name + ": " + e.getMessage());
        }
    }
}
