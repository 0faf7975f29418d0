package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import loadbalancer.connections.ConnectionLimits;
import loadbalancer.http3.Http3Settings;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.settings.SettingsReader;

/**
 * The configuration that a balancer is started with, whichever form it was written in. Immutable.
 *
 * @param name this balancer's name among others, used in log lines and headers
 * @param listen address for clients
 * @param discovery address of the discovery service; null where {@code known} is the only endpoint list
 * @param seed seed of the policy's random draws
 * @param connections limits of the connection budget
 * @param known endpoint list to start with
 * @param boot the policy's settings and the names that its numbers stand for
 * @param http3 HTTP/3 settings; null where HTTP/3 is off
 * @param management address of the admin endpoint; null where there is none
 * @param inherited whether the clients' listening socket is descriptor 0, inherited from the parent process
 * @param keys keys present in the file; a file of a later reload must hold them too
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

    /** A configuration without HTTP/3, admin endpoint and inherited socket. */
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

    /** Thrown for an invalid configuration; the message says in one line what is wrong. */
    public static final class Bad extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /** An exception with that message, which operators read. */
        public Bad(String message) {
            super(message);
        }
    }

    /** Returns the limits of a process that may open so many descriptors, within the heap that the JVM was given. */
    public static ConnectionLimits connectionLimits(int descriptors) {
        return ConnectionLimits.of(descriptors)
                .withinHeap(
                        Runtime.getRuntime().maxMemory(), MemoryBudget.MAX_BYTES, MemoryBudget.MIN_CONNECTION_BYTES);
    }

    /** Returns what differs in {@code reloaded} and takes effect after a restart only: names for a log line. */
    public List<String> waiting(Config reloaded) {
        List<String> waiting = new ArrayList<>();
        if (!reloaded.listen.equals(listen)) {
            waiting.add("listener");
        }
        if (!Objects.equals(reloaded.management, management)) {
            waiting.add("management");
        }
        if (!reloaded.connections.equals(connections)) {
            waiting.add("connections");
        }
        if ((reloaded.discovery == null) != (discovery == null)) {
            waiting.add("source of the list");
        }
        if (http3NeedsRestart(reloaded)) {
            waiting.add("http3");
        }
        return waiting;
    }

    private boolean http3NeedsRestart(Config reloaded) {
        if (http3 == null || reloaded.http3 == null) {
            return (http3 == null) != (reloaded.http3 == null);
        }
        return !http3.sameButIdentity(reloaded.http3);
    }

    /** Returns this configuration with everything of {@code reloaded} that can change without a restart. */
    public Config with(Config reloaded) {
        return new Config(
                name,
                listen,
                reloaded.discovery,
                seed,
                connections,
                reloaded.known,
                reloaded.boot,
                reloaded.http3,
                management,
                inherited,
                reloaded.keys);
    }

    /** Returns why {@code reloaded} can't be used without a restart; null where it can. */
    public String problem(Config reloaded) {
        List<String> missing =
                keys.stream().filter(key -> !reloaded.keys.contains(key)).toList();
        return missing.isEmpty()
                ? SettingsReload.problem(boot, reloaded.boot)
                : "missing: " + String.join(", ", missing);
    }

    /**
     * Reads the JSON file that {@code ROUTER_CONFIG} names; the other variables win over what it says. Blocks on file
     * I/O.
     *
     * @throws Bad where the file can't be read, or a value is missing or malformed
     */
    public static Config read(Map<String, String> environment) {
        return ConfigReader.readFile(environment);
    }

    /**
     * Reads the file for a reload: where it names another discovery service, that one wins over
     * {@code ROUTER_DISCOVERY}. Blocks on file I/O.
     *
     * @throws Bad where the file can't be read, or a value is missing or malformed
     */
    public static Config again(Map<String, String> environment) {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("ROUTER_DISCOVERY");
        return read(others);
    }

    /**
     * Makes a configuration of variables and a parsed JSON file.
     *
     * @throws Bad where a value is missing or malformed
     */
    public static Config of(Map<String, String> environment, Map<String, Object> json) {
        return ConfigReader.read(environment, json);
    }

    /** Returns how many descriptors this process may hold open: the system's soft limit, or 1024 where unknown. */
    public static int descriptors() {
        return DescriptorLimit.orDefault(DescriptorLimit.ofProcess());
    }
}
