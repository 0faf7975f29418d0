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
import loadbalancer.testbed.Scenario.What;
import loadbalancer.testbed.fleet.Fault;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads scenarios from TOML and tells of every problem at once, each with its place. */
final class ScenarioReader {
    private static final double COUNT_MOST = 10_000;
    private static final int PROCESSES_MOST = 300; // of some 70 MB each

    private ScenarioReader() {}

    static Scenario read(Path file) throws IOException, Problems.Bad {
        return read(Toml.parse(file), new Problems(file.toString()));
    }

    /** {@code name} stands for the file in what is complained of. */
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

    /** A fleet's plan: a scenario with [fleet] and [[trouble]] besides. */
    static FleetRunPlan fleet(Path file) throws IOException, Problems.Bad {
        return fleet(Toml.parse(file), new Problems(file.toString()));
    }

    static FleetRunPlan fleet(String name, String text) throws Problems.Bad {
        return fleet(Toml.parse(text), new Problems(name));
    }

    private static FleetRunPlan fleet(TomlParseResult toml, Problems problems) throws Problems.Bad {
        Table top = Table.of(toml, problems);
        problems.check();
        FleetRunPlan plan = top.table("fleet")
                .map(t -> new FleetRunPlan(
                        null,
                        (int) t.number("processes", null, 1, PROCESSES_MOST),
                        (int) t.number("wave", 12, 1, PROCESSES_MOST),
                        t.number("uneven", 0, 0, 3),
                        t.time("settle", "2s"),
                        List.of()))
                .get(0);
        List<Fault> troubles = top.optional("trouble")
                .map(t -> new Fault(
                        t.time("at", null),
                        t.word("what", Fault.What.class),
                        t.number("share", 0.1, 0.0001, 1),
                        t.time("lasting", "2s")));
        Scenario scenario = scenario(top);
        problems.check();
        return new FleetRunPlan(scenario, plan.processes(), plan.wave(), plan.uneven(), plan.settle(), troubles);
    }

    private static Scenario scenario(Table top) {
        String name = top.text("name", "scenario");
        long seed = (long) top.number("seed", 1, 0, 1e15);
        long lasting = top.time("lasting", "30s");
        double rate = top.number("rate", null, 0.1, 1e6);
        int connections = (int) top.number("connections", 256, 1, COUNT_MOST);
        Scenario.Cold cold = top.table("cold")
                .map(t -> new Scenario.Cold(
                        t.number("from", 0.3, 0.01, 1),
                        t.time("ramp", "8s"),
                        t.number("overload", 3, 1, 1e3),
                        t.time("fall", "1s"),
                        t.time("down", "5s")))
                .get(0);
        List<Scenario.Boxes> boxes = top.tables("boxes")
                .map(t -> new Scenario.Boxes(
                        t.text("name", null),
                        (int) t.number("count", 1, 1, COUNT_MOST),
                        (int) t.number("cores", 2, 1, 1e3),
                        t.number("speed", 1, 0.001, 1e3),
                        (int) t.number("queue", 64, 0, 1e6),
                        t.text("zone", "a"),
                        t.text("model", t.text("name", "?")),
                        (int) t.number("cell", 1, 1, COUNT_MOST)));
        List<Scenario.Kind> kinds = top.tables("class")
                .map(t -> new Scenario.Kind(
                        t.text("name", null),
                        t.word("effect", Policy.Effect.class),
                        t.number("share", 1, 0, 1e6),
                        t.time("work", null),
                        t.time("aim", null),
                        t.time("deadline", null),
                        t.number("worth", 1, 0, 1e6),
                        t.number("late", 0.2, 0, 1),
                        t.time("window", "5s")));
        List<Scenario.Fault> faults = top.optional("fault")
                .map(t -> new Scenario.Fault(
                        t.time("at", null),
                        t.text("boxes", "*"),
                        t.word("what", What.class),
                        t.time("lasting", "5s"),
                        t.number("amount", 1, 0, 1e3)));
        top.end();
        Scenario all = new Scenario(name, seed, lasting, rate, connections, cold, boxes, kinds, faults);
        check(top, all);
        return all;
    }

    private static void check(Table top, Scenario all) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < all.boxes().size(); i++) {
            if (!seen.add(all.boxes().get(i).name())) {
                top.complain(
                        "boxes[" + i + "].name",
                        top.lineOf("boxes", i),
                        "a second group of this name: '" + all.boxes().get(i).name() + "'");
            }
        }
        seen.clear();
        for (int i = 0; i < all.kinds().size(); i++) {
            Scenario.Kind kind = all.kinds().get(i);
            if (!seen.add(kind.name())) {
                top.complain(
                        "class[" + i + "].name",
                        top.lineOf("class", i),
                        "a second class of this name: '" + kind.name() + "'");
            }
            if (kind.aim() > kind.deadline()) {
                top.complain("class[" + i + "].aim", top.lineOf("class", i), "longer than its deadline");
            }
        }
        List<String> names = all.boxNames();
        for (int i = 0; i < all.faults().size(); i++) {
            Scenario.Fault fault = all.faults().get(i);
            if (names.stream().noneMatch(fault::strikes)) {
                top.complain(
                        "fault[" + i + "].boxes",
                        top.lineOf("fault", i),
                        "no such box: '"
                                + fault.boxes()
                                + "'; there are " + names.stream().limit(8).collect(Collectors.joining(", ")));
            }
        }
    }
}
