package loadbalancer.config.toml;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;
import loadbalancer.config.Config;
import loadbalancer.connections.ConnectionLimits;
import loadbalancer.http3.Http3Settings;
import loadbalancer.proxy.Addresses;
import loadbalancer.settings.SettingsReader;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Reads a balancer's TOML configuration file (docs/configuration.md) into the same {@link Config} as the environment
 * variables are read into. Every problem is reported at once; a file with any is not used. For one thread.
 */
public final class ConfigFile {
    /** Stands in for an address that can't be read. */
    private static final String NO_ADDRESS = "127.0.0.1:0";

    /** The policy's timer interval; not configurable. */
    private static final int QUANTUM_MICROS = 2_000;

    private final Table top;
    private final Problems problems;
    private final SettingValues settings = new SettingValues();

    private ConfigFile(Table top, Problems problems) {
        this.top = top;
        this.problems = problems;
    }

    /**
     * Reads a file and the files that it names.
     *
     * @throws IOException where the file can't be read at all
     * @throws Problems.Bad where something in it is wrong
     */
    public static Config read(Path file) throws IOException, Problems.Bad {
        return read(Toml.parse(file), new Problems(file.toString()));
    }

    /**
     * Reads a file's text.
     *
     * @param name the file's name: in the messages, and the place beside which the files stand that it names
     * @throws Problems.Bad where something in it is wrong
     */
    public static Config read(String name, String text) throws Problems.Bad {
        return read(Toml.parse(text), new Problems(name));
    }

    private static Config read(TomlParseResult toml, Problems problems) throws Problems.Bad {
        Table top = Table.of(toml, problems);
        problems.check();
        Config config = new ConfigFile(top, problems).config();
        problems.check();
        return config;
    }

    /** Reads an address; a malformed one is noted, and a usable one stands in for it. */
    static InetSocketAddress address(Table table, String key, String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            table.complain(key, e.getMessage());
            return Addresses.parse(NO_ADDRESS);
        }
    }

    private Config config() throws Problems.Bad {
        NodeTable.Node node = top.table("node").map(NodeTable::read).get(0);
        MembershipTable.Membership membership =
                top.table("membership").map(MembershipTable::read).get(0);
        List<String> classes = top.tables("class").map(new ClassTables(settings, membership)::read);
        List<String> tenants = top.optional("tenant").map(new TenantTables(settings)::read);
        readRetries();
        ConnectionLimits connections = top.table("limits")
                .map(table -> LimitsTable.read(table, settings))
                .get(0);
        readRules();
        Http3Settings http3 = readHttp3();
        top.end();
        checkNames(classes, tenants, membership);
        checkPlace(node, membership);
        problems.check();
        putDerivedSettings(node, membership, classes.size(), tenants.size());
        SettingsReader.Boot boot = boot();
        return new Config(
                node.name(),
                node.listen(),
                membership.discovery(),
                node.seed(),
                connections,
                membership.endpoints(boot),
                boot,
                http3,
                node.management(),
                false,
                Set.of());
    }

    private void readRetries() {
        top.table("retries").map(table -> {
            settings.put("Limits.TryLimit", (long) table.number("tries", 3, 1, 100));
            settings.put("Limits.MayDuplicate", table.flag("hedge", true));
            settings.put("Limits.Cancel", table.flag("cancel", true));
            settings.put("Limits.Probes", table.flag("probes", false));
            return table;
        });
    }

    private void readRules() {
        top.table("rules").map(table -> {
            settings.put("Rules.AnswerSlack", table.time("answer-slack", "8ms"));
            settings.put("Rules.DrainGrace", table.time("drain-grace", "1s"));
            settings.put("Rules.ColdFrom", table.number("cold-from", 0.3, 0.01, 1));
            settings.put("Rules.RampTime", table.time("cold-ramp", "8s"));
            settings.put("Rules.OverloadFactor", table.number("cold-overload", 3, 0.1, 1e3));
            settings.put("Rules.Fall", table.time("cold-fall", "1s"));
            return table;
        });
    }

    /** Null where the file has no such table: HTTP/3 is off then. */
    private Http3Settings readHttp3() {
        if (!top.has("http3")) {
            return null;
        }
        return top.table("http3")
                .map(table -> Http3Table.read(table, problems.file()))
                .get(0);
    }

    private void checkNames(List<String> classes, List<String> tenants, MembershipTable.Membership membership) {
        checkUnique(classes, i -> "class[" + i + "].name", i -> top.lineOf("class", i));
        checkUnique(tenants, i -> "tenant[" + i + "].name", i -> top.lineOf("tenant", i));
        int membershipLine = top.lineOf("membership", 0);
        checkUnique(membership.serverIds(), i -> "membership.server[" + i + "].id", i -> membershipLine);
    }

    private void checkUnique(List<String> names, IntFunction<String> path, IntUnaryOperator line) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            if (!seen.add(names.get(i))) {
                top.complain(path.apply(i), line.applyAsInt(i), "stands twice: '" + names.get(i) + "'");
            }
        }
    }

    private void checkPlace(NodeTable.Node node, MembershipTable.Membership membership) {
        List<String> zones = membership.zones();
        int line = top.lineOf("node", 0);
        if (!zones.isEmpty() && !zones.contains(node.zone())) {
            top.complain("node.zone", line, "not one of " + zones + ": '" + node.zone() + "'");
        }
        if (node.rank() >= node.balancers()) {
            top.complain("node.rank", line, "not below node.balancers, which is " + node.balancers());
        }
    }

    /** Adds the settings that follow from several tables, and those that are the same for every balancer. */
    private void putDerivedSettings(
            NodeTable.Node node, MembershipTable.Membership membership, int classCount, int tenantCount) {
        settings.put("Classes.count", classCount);
        settings.put("Realms.count", tenantCount);
        settings.put("Balancers", node.balancers());
        settings.put("Rank", node.rank());
        settings.put("Quantum", QUANTUM_MICROS);
        settings.put("Locality", Math.max(0, membership.zones().indexOf(node.zone())));
        settings.put("Areas", String.join(",", membership.zones()));
        settings.put("Kinds", String.join(",", membership.models()));
        settings.put("MembershipMode", membership.mode());
        settings.put("Rules.AskWithin", membership.pollWithinMicros());
        settings.put("WorthBy", "work");
        settings.put("Stats.How", "answers");
    }

    /** What the checks above accept and the policy rejects is reported like any other problem. */
    private SettingsReader.Boot boot() throws Problems.Bad {
        try {
            return SettingsReader.read(settings.asMap(), (path, problem) -> {
                top.complain(path, 1, problem);
                return new IllegalArgumentException(path + ": " + problem);
            });
        } catch (IllegalArgumentException e) {
            problems.check();
            throw e;
        }
    }
}
