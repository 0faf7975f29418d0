package loadbalancer.config.toml;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import loadbalancer.config.Config;
import loadbalancer.connections.ConnectionLimits;
import loadbalancer.http3.Http3Settings;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.settings.SettingsReader;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Reads the one configuration file of a balancer (docs/configuration.md) into the same model as the
 * platform's
 * variables do. Every problem is told at once; a file with any is not used. For one thread.
 */
public final class ConfigFile {
    private static final String NO_ADDRESS = "127.0.0.1:0";

    private enum Source {
        STATIC,
        DISCOVERY
    }

    private ConfigFile() {}

    /** @throws IOException where the file can't be read at all */
    public static Config read(Path file) throws IOException, Problems.Bad {
        return read(Toml.parse(file), new Problems(file.toString()));
    }

    /** {@code name} stands for the file in what is complained of. */
    public static Config read(String name, String text) throws Problems.Bad {
        return read(Toml.parse(text), new Problems(name));
    }

    private static Config read(TomlParseResult toml, Problems problems) throws Problems.Bad {
        Table top = Table.of(toml, problems);
        problems.check();
        Config config = config(top, problems);
        problems.check();
        return config;
    }

    private record Node(
            String name,
            InetSocketAddress listen,
            InetSocketAddress management,
            long seed,
            int balancers,
            int rank,
            String zone) {}

    private record Members(
            Source source,
            InetSocketAddress address,
            Policy.Discovery mode,
            long askWithin,
            List<String> zones,
            List<String> models,
            List<Server> servers) {}

    private record Server(
            String id,
            InetSocketAddress address,
            InetSocketAddress http3,
            String zone,
            String model,
            int cell,
            double weight) {}

    private static Config config(Table top, Problems problems) throws Problems.Bad {
        Map<String, String> wire = new HashMap<>();
        Node node = top.table("node").map(ConfigFile::node).get(0);
        Members members = top.table("membership").map(ConfigFile::members).get(0);
        List<String> classes = top.tables("class").map(t -> kind(t, wire, members));
        List<String> tenants = top.optional("tenant").map(t -> tenant(t, wire));
        top.table("retries").map(t -> {
            put(wire, "Limits.TryLimit", (long) t.number("tries", 3, 1, 100));
            put(wire, "Limits.MayDuplicate", t.flag("hedge", true));
            put(wire, "Limits.Cancel", t.flag("cancel", true));
            put(wire, "Limits.Probes", t.flag("probes", false));
            return t;
        });
        ConnectionLimits connections =
                top.table("limits").map(t -> limits(t, wire)).get(0);
        top.table("rules").map(t -> {
            put(wire, "Rules.AnswerSlack", t.time("answer-slack", "8ms"));
            put(wire, "Rules.DrainGrace", t.time("drain-grace", "1s"));
            put(wire, "Rules.ColdFrom", t.number("cold-from", 0.3, 0.01, 1));
            put(wire, "Rules.RampTime", t.time("cold-ramp", "8s"));
            put(wire, "Rules.OverloadFactor", t.number("cold-overload", 3, 0.1, 1e3));
            put(wire, "Rules.Fall", t.time("cold-fall", "1s"));
            return t;
        });
        Http3Settings http3 = !top.has("http3")
                ? null
                : top.table("http3")
                        .map(t -> Http3Table.read(t, problems.file()))
                        .get(0);
        top.end();
        unique(top, "class", classes);
        unique(top, "tenant", tenants);
        unique(
                top.lineOf("membership", 0),
                top,
                members.servers().stream().map(Server::id).toList());
        if (!members.zones().isEmpty() && !members.zones().contains(node.zone())) {
            top.complain(
                    "node.zone", top.lineOf("node", 0), "not one of " + members.zones() + ": '" + node.zone() + "'");
        }
        if (node.rank() >= node.balancers()) {
            top.complain("node.rank", top.lineOf("node", 0), "not below node.balancers, which is " + node.balancers());
        }
        problems.check();
        put(wire, "Classes.count", classes.size());
        put(wire, "Realms.count", tenants.size());
        put(wire, "Balancers", node.balancers());
        put(wire, "Rank", node.rank());
        put(wire, "Quantum", 2_000);
        put(wire, "Locality", Math.max(0, members.zones().indexOf(node.zone())));
        put(wire, "Areas", String.join(",", members.zones()));
        put(wire, "Kinds", String.join(",", members.models()));
        put(wire, "MembershipMode", members.mode());
        put(wire, "Rules.AskWithin", members.askWithin());
        put(wire, "WorthBy", "work");
        put(wire, "Stats.How", "answers");
        SettingsReader.Boot boot = boot(top, wire, problems);
        return new Config(
                node.name(),
                node.listen(),
                members.address(),
                node.seed(),
                connections,
                known(members, boot),
                boot,
                http3,
                node.management(),
                false,
                Set.of());
    }

    // What the checks above let through and the model does not take: told like any other problem.
    private static SettingsReader.Boot boot(Table top, Map<String, String> wire, Problems problems)
            throws Problems.Bad {
        try {
            return SettingsReader.read(wire, (path, what) -> {
                top.complain(path, 1, what);
                return new IllegalArgumentException(path + ": " + what);
            });
        } catch (IllegalArgumentException e) {
            problems.check();
            throw e;
        }
    }

    private static void put(Map<String, String> wire, String path, Object value) {
        wire.put(path, String.valueOf(value));
    }

    private static Node node(Table t) {
        long drawn = new SplittableRandom().nextLong(1, 1L << 50);
        return new Node(
                t.text("name", "honeyspindle"),
                address(t, "listen", t.text("listen", "127.0.0.1:8080")),
                t.has("management") ? address(t, "management", t.text("management", null)) : null,
                (long) t.number("seed", drawn, 0, 1e15),
                (int) t.number("balancers", 1, 1, 10_000),
                (int) t.number("rank", 0, 0, 9_999),
                t.name("zone", "default"));
    }

    static InetSocketAddress address(Table t, String key, String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            t.complain(key, e.getMessage());
            return Addresses.parse(NO_ADDRESS);
        }
    }

    private static Members members(Table t) {
        Source source = t.word("source", Source.class, Source.STATIC);
        boolean asked = source == Source.DISCOVERY;
        InetSocketAddress address = asked ? address(t, "address", t.text("address", null)) : null;
        Policy.Discovery mode =
                asked ? t.word("mode", Policy.Discovery.class, Policy.Discovery.ASK) : Policy.Discovery.PUSH;
        long askWithin = asked ? t.time("ask-within", "10s") : 0;
        List<Server> servers = asked
                ? List.of()
                : t.tables("server")
                        .map(s -> new Server(
                                s.name("id", null),
                                address(s, "address", s.text("address", null)),
                                s.has("http3") ? address(s, "http3", s.text("http3", null)) : null,
                                s.name("zone", "default"),
                                s.name("model", "any"),
                                (int) s.number("cell", -1, -1, 1e6),
                                s.number("weight", 1, 1e-3, 1e6)));
        List<String> zones = t.texts(
                "zones", servers.stream().map(Server::zone).distinct().sorted().toList());
        List<String> models = t.texts(
                "models",
                servers.stream().map(Server::model).distinct().sorted().toList());
        for (int i = 0; i < servers.size(); i++) {
            among(t, i, "zone", servers.get(i).zone(), zones);
            among(t, i, "model", servers.get(i).model(), models);
        }
        return new Members(source, address, mode, askWithin, zones, models, servers);
    }

    private static void among(Table t, int number, String key, String value, List<String> allowed) {
        if (!allowed.contains(value)) {
            t.complain(
                    "membership.server[" + number + "]." + key,
                    t.lineOf("server", number),
                    "not one of " + allowed + ": '" + value + "'");
        }
    }

    private static String kind(Table t, Map<String, String> wire, Members members) {
        String name = t.name("name", null);
        int number = (int)
                wire.keySet().stream().filter(k -> k.endsWith(".Idempotency")).count();
        String at = "Classes." + number + ".";
        put(wire, at + "Name", name);
        Policy.Effect effect = t.word("effect", Policy.Effect.class, null);
        put(wire, at + "Idempotency", effect);
        put(wire, at + "DedupScope", t.word("scope", Policy.Scope.class, Policy.Scope.CELL));
        put(wire, at + "KeyTtl", t.time("window", "0s"));
        if (effect == Policy.Effect.KEYED && wire.get(at + "KeyTtl").equals("0")) {
            t.complain("window", "missing: for how long a keyed request's key is remembered");
        }
        long aim = t.time("aim", null);
        long deadline = t.time("deadline", null);
        if (aim > deadline) {
            t.complain("aim", "longer than the deadline");
        }
        put(wire, at + "GoalTime", aim);
        put(wire, at + "GiveUp", deadline);
        put(wire, at + "Gain", t.number("worth", 1, 0, 1e9));
        put(wire, at + "LateShare", t.number("late", 0, 0, 1));
        put(wire, at + "AimStretch", t.number("aim-stretch", 0, 0, 1e3));
        put(wire, at + "InOrder", t.flag("in-order", false));
        put(wire, at + "AllowedIn", places(t, "zones", members.zones()));
        put(wire, at + "RunsOn", places(t, "models", members.models()));
        return name;
    }

    private static String places(Table t, String key, List<String> all) {
        List<String> named = t.texts(key, List.of());
        List<String> unknown = named.stream().filter(n -> !all.contains(n)).toList();
        if (!unknown.isEmpty()) {
            t.complain(key, "not among " + all + ": " + unknown);
        }
        return named.stream()
                .map(n -> Integer.toString(Math.max(0, all.indexOf(n))))
                .collect(Collectors.joining(","));
    }

    private static String tenant(Table t, Map<String, String> wire) {
        String name = t.name("name", null);
        int number = (int) wire.keySet().stream()
                .filter(k -> k.startsWith("Realms.") && k.endsWith(".Name"))
                .count();
        put(wire, "Realms." + number + ".Name", name);
        put(wire, "Realms." + number + ".AllowancePerS", t.number("allowance", null, 0, 1e9));
        return name;
    }

    private static ConnectionLimits limits(Table t, Map<String, String> wire) {
        put(wire, "Limits.DialTimeout", t.time("connect", "500ms"));
        put(wire, "Limits.IdleClose", t.time("idle-close", "30s"));
        long retryAfter = t.time("retry-after", "2s");
        put(wire, "Limits.RetryAfter", retryAfter > 0);
        put(wire, "Limits.MaxRetryAfter", retryAfter);
        ConnectionLimits usual = ConnectionLimits.of((int) t.number("descriptors", Config.descriptors(), 16, 1e6));
        int most = (int) t.number("connections", usual.most(), 2, 1e6);
        double clients = t.number("client-floor", usual.clientFloor(), 0.01, 0.99);
        double upstreams = t.number("upstream-floor", usual.upstreamFloor(), 0.01, 0.99);
        long[] times = new long[5];
        String[] keys = {"rest-least", "rest-most", "silent-most", "ask-least", "ask-most"};
        long[] otherwise = {usual.restLeast(), usual.restMost(), usual.silentMost(), usual.askLeast(), usual.askMost()};
        for (int i = 0; i < keys.length; i++) {
            times[i] = t.time(keys[i], otherwise[i] / 1_000 + "us") * 1_000;
        }
        try {
            return new ConnectionLimits(most, clients, upstreams, times[0], times[1], times[2], times[3], times[4]);
        } catch (IllegalArgumentException e) {
            t.complain("client-floor", "with the others of the table " + e.getMessage());
            return usual;
        }
    }

    private static EndpointUpdate known(Members members, SettingsReader.Boot boot) {
        List<EndpointUpdate.Endpoint> list = new ArrayList<>();
        for (Server s : members.servers()) {
            list.add(new EndpointUpdate.Endpoint(
                    new Policy.Server(
                            s.id(),
                            Policy.State.UP,
                            0,
                            s.weight(),
                            s.cell(),
                            boot.kinds().indexOf(s.model()),
                            boot.zones().indexOf(s.zone())),
                    s.address(),
                    s.http3()));
        }
        return new EndpointUpdate(0, true, list);
    }

    private static void unique(Table top, String key, List<String> names) {
        unique(top, names, i -> key + "[" + i + "].name", i -> top.lineOf(key, i));
    }

    private static void unique(int line, Table top, List<String> names) {
        unique(top, names, i -> "membership.server[" + i + "].id", i -> line);
    }

    private static void unique(
            Table top, List<String> names, Function<Integer, String> path, Function<Integer, Integer> line) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            if (!seen.add(names.get(i))) {
                top.complain(path.apply(i), line.apply(i), "stands twice: '" + names.get(i) + "'");
            }
        }
    }
}
