package loadbalancer.config.toml;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.settings.SettingsReader;

/** Reads the table {@code membership}: where the endpoint list comes from, or the list itself. */
final class MembershipTable {
    static final String DEFAULT_ZONE = "default";
    private static final String DEFAULT_MODEL = "any";
    private static final int NO_CELL = -1;

    private MembershipTable() {}

    private enum Source {
        STATIC,
        DISCOVERY
    }

    /**
     * The table's values.
     *
     * @param discovery address of the discovery service; null for a static list
     * @param mode how the list is learned
     * @param pollWithinMicros within what time the list must have been polled; 0 for a static list
     * @param zones names of all zones
     * @param models names of all server models
     * @param servers the static list
     */
    record Membership(
            InetSocketAddress discovery,
            Policy.Discovery mode,
            long pollWithinMicros,
            List<String> zones,
            List<String> models,
            List<Server> servers) {

        /** The static list as the first update; {@code boot} numbers zones and models. */
        EndpointUpdate endpoints(SettingsReader.Boot boot) {
            List<EndpointUpdate.Endpoint> endpoints = new ArrayList<>();
            for (Server server : servers) {
                endpoints.add(server.endpoint(boot));
            }
            return new EndpointUpdate(0, true, endpoints);
        }

        List<String> serverIds() {
            return servers.stream().map(Server::id).toList();
        }
    }

    /** A server of the static list; {@code http3} is null where it is reached over HTTP/1.1. */
    record Server(
            String id,
            InetSocketAddress address,
            InetSocketAddress http3,
            String zone,
            String model,
            int cell,
            double weight) {

        private EndpointUpdate.Endpoint endpoint(SettingsReader.Boot boot) {
            Policy.Server server = new Policy.Server(
                    id,
                    Policy.State.UP,
                    0,
                    weight,
                    cell,
                    boot.machineModels().indexOf(model),
                    boot.zones().indexOf(zone));
            return new EndpointUpdate.Endpoint(server, address, http3);
        }
    }

    static Membership read(Table table) {
        Source source = table.word("source", Source.class, Source.STATIC);
        return source == Source.DISCOVERY ? readDiscovery(table) : readStatic(table);
    }

    private static Membership readDiscovery(Table table) {
        InetSocketAddress address = ConfigFile.address(table, "address", table.text("address", null));
        Policy.Discovery mode = table.word("mode", Policy.Discovery.class, Policy.Discovery.ASK);
        long pollWithinMicros = table.time("ask-within", "10s");
        return membership(table, address, mode, pollWithinMicros, List.of());
    }

    private static Membership readStatic(Table table) {
        List<Server> servers = table.tables("server").map(MembershipTable::server);
        return membership(table, null, Policy.Discovery.PUSH, 0, servers);
    }

    private static Membership membership(
            Table table,
            InetSocketAddress address,
            Policy.Discovery mode,
            long pollWithinMicros,
            List<Server> servers) {
        List<String> zones = table.texts("zones", distinct(servers, Server::zone));
        List<String> models = table.texts("models", distinct(servers, Server::model));
        for (int i = 0; i < servers.size(); i++) {
            checkListed(table, i, "zone", servers.get(i).zone(), zones);
            checkListed(table, i, "model", servers.get(i).model(), models);
        }
        return new Membership(address, mode, pollWithinMicros, zones, models, servers);
    }

    private static List<String> distinct(List<Server> servers, Function<Server, String> name) {
        return servers.stream().map(name).distinct().sorted().toList();
    }

    private static Server server(Table table) {
        return new Server(
                table.name("id", null),
                ConfigFile.address(table, "address", table.text("address", null)),
                table.has("http3") ? ConfigFile.address(table, "http3", table.text("http3", null)) : null,
                table.name("zone", DEFAULT_ZONE),
                table.name("model", DEFAULT_MODEL),
                (int) table.number("cell", NO_CELL, NO_CELL, 1e6),
                table.number("weight", 1, 1e-3, 1e6));
    }

    private static void checkListed(Table table, int index, String key, String value, List<String> allowed) {
        if (!allowed.contains(value)) {
            table.complain(
                    "membership.server[" + index + "]." + key,
                    table.lineOf("server", index),
                    "not one of " + allowed + ": '" + value + "'");
        }
    }
}
