package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import loadbalancer.config.toml.Problems;
import loadbalancer.config.toml.Table;
import loadbalancer.policy.Policy;
import loadbalancer.testbed.Scenario.ServerFaultKind;
import loadbalancer.testbed.fleet.Fault;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads scenarios and fleet plans from TOML and reports every problem at once, each with its line. */
final class ScenarioReader {
    private static final double MAX_COUNT = 10_000;
    private static final int MAX_PROCESSES = 300; // of some 70 MB each

    private static final int MAX_NAMES = 8; // that a complaint lists

    private ScenarioReader() {}

    /**
     * Reads a scenario.
     *
     * @throws Problems.Bad with all problems of the file
     */
    static Scenario read(Path file) throws IOException, Problems.Bad {
        return read(Toml.parse(file), new Problems(file.toString()));
    }

    /** Reads TOML text; {@code name} stands for the file in messages. */
    static Scenario read(String name, String text) throws Problems.Bad {
        return read(Toml.parse(text), new Problems(name));
    }

    private static Scenario read(TomlParseResult toml, Problems problems) throws Problems.Bad {
        Table top = Table.of(toml, problems);
        problems.check();
        Scenario scenario = scenario(top);
        problems.check();
        return scenario;
    }

    /** Reads a fleet plan: a scenario with a table [fleet] and tables [[trouble]]. */
    static FleetRunPlan fleet(Path file) throws IOException, Problems.Bad {
        return fleet(Toml.parse(file), new Problems(file.toString()));
    }

    /** Reads a fleet plan from TOML text; {@code name} stands for the file in messages. */
    static FleetRunPlan fleet(String name, String text) throws Problems.Bad {
        return fleet(Toml.parse(text), new Problems(name));
    }

    private static FleetRunPlan fleet(TomlParseResult toml, Problems problems) throws Problems.Bad {
        Table top = Table.of(toml, problems);
        problems.check();
        FleetRunPlan plan = top.table("fleet")
                .map(table -> new FleetRunPlan(
                        null,
                        (int) table.number("processes", null, 1, MAX_PROCESSES),
                        (int) table.number("wave", 12, 1, MAX_PROCESSES),
                        table.number("uneven", 0, 0, 3),
                        table.time("settle", "2s"),
                        List.of()))
                .get(0);
        List<Fault> faults = top.optional("trouble")
                .map(table -> new Fault(
                        table.time("at", null),
                        table.word("what", Fault.Kind.class),
                        table.number("share", 0.1, 0.0001, 1),
                        table.time("lasting", "2s")));
        Scenario scenario = scenario(top);
        problems.check();
        return new FleetRunPlan(scenario, plan.processes(), plan.wave(), plan.uneven(), plan.settleMicros(), faults);
    }

    private static Scenario scenario(Table top) {
        String name = top.text("name", "scenario");
        long seed = (long) top.number("seed", 1, 0, 1e15);
        long durationMicros = top.time("lasting", "30s");
        double rate = top.number("rate", null, 0.1, 1e6);
        int connections = (int) top.number("connections", 256, 1, MAX_COUNT);
        Scenario.SlowStart slowStart =
                top.table("cold").map(ScenarioReader::slowStart).get(0);
        List<Scenario.ServerGroup> serverGroups = top.tables("boxes").map(ScenarioReader::serverGroup);
        List<Scenario.RequestClass> classes = top.tables("class").map(ScenarioReader::requestClass);
        List<Scenario.ServerFault> faults = top.optional("fault").map(ScenarioReader::fault);
        top.end();
        Scenario scenario =
                new Scenario(name, seed, durationMicros, rate, connections, slowStart, serverGroups, classes, faults);
        checkServerGroups(top, scenario);
        checkClasses(top, scenario);
        checkFaults(top, scenario);
        return scenario;
    }

    private static Scenario.SlowStart slowStart(Table table) {
        return new Scenario.SlowStart(
                table.number("from", 0.3, 0.01, 1),
                table.time("ramp", "8s"),
                table.number("overload", 3, 1, 1e3),
                table.time("fall", "1s"),
                table.time("down", "5s"));
    }

    private static Scenario.ServerGroup serverGroup(Table table) {
        return new Scenario.ServerGroup(
                table.text("name", null),
                (int) table.number("count", 1, 1, MAX_COUNT),
                (int) table.number("cores", 2, 1, 1e3),
                table.number("speed", 1, 0.001, 1e3),
                (int) table.number("queue", 64, 0, 1e6),
                table.text("zone", "a"),
                table.text("model", table.text("name", "?")),
                (int) table.number("cell", 1, 1, MAX_COUNT));
    }

    private static Scenario.RequestClass requestClass(Table table) {
        return new Scenario.RequestClass(
                table.text("name", null),
                table.word("effect", Policy.Effect.class),
                table.number("share", 1, 0, 1e6),
                table.time("work", null),
                table.time("aim", null),
                table.time("deadline", null),
                table.number("worth", 1, 0, 1e6),
                table.number("late", 0.2, 0, 1),
                table.time("window", "5s"));
    }

    private static Scenario.ServerFault fault(Table table) {
        return new Scenario.ServerFault(
                table.time("at", null),
                table.text("boxes", "*"),
                table.word("what", ServerFaultKind.class),
                table.time("lasting", "5s"),
                table.number("amount", 1, 0, 1e3));
    }

    private static void checkServerGroups(Table top, Scenario scenario) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < scenario.serverGroups().size(); i++) {
            String name = scenario.serverGroups().get(i).name();
            if (!seen.add(name)) {
                top.complain(
                        "boxes[" + i + "].name", top.lineOf("boxes", i), "a second group of this name: '" + name + "'");
            }
        }
    }

    private static void checkClasses(Table top, Scenario scenario) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < scenario.classes().size(); i++) {
            Scenario.RequestClass requestClass = scenario.classes().get(i);
            if (!seen.add(requestClass.name())) {
                top.complain(
                        "class[" + i + "].name",
                        top.lineOf("class", i),
                        "a second class of this name: '" + requestClass.name() + "'");
            }
            if (requestClass.latencyObjectiveMicros() > requestClass.deadlineMicros()) {
                top.complain("class[" + i + "].aim", top.lineOf("class", i), "longer than its deadline");
            }
        }
    }

    private static void checkFaults(Table top, Scenario scenario) {
        List<String> names = scenario.serverNames();
        for (int i = 0; i < scenario.faults().size(); i++) {
            Scenario.ServerFault fault = scenario.faults().get(i);
            if (names.stream().noneMatch(fault::matches)) {
                top.complain(
                        "fault[" + i + "].boxes",
                        top.lineOf("fault", i),
                        "no such box: '" + fault.servers() + "'; there are "
                                + names.stream().limit(MAX_NAMES).collect(Collectors.joining(", ")));
            }
        }
    }
}
