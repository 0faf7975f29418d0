package junctionhead.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import junctionhead.Policy;
import junctionhead.rig.Scenario.What;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads scenarios from TOML and tells of every problem at once, each with its place. */
final class ScenarioReader {
    /** All that is wrong with a scenario, a line each, in the order of the file. */
    static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<String> problems;

        Bad(List<String> problems) {
            super(String.join("\n", problems));
            this.problems = List.copyOf(problems);
        }

        List<String> problems() {
            return problems;
        }
    }

    private record Problem(int line, String text) { }

    private static final double COUNT_MOST = 10_000;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    private ScenarioReader(String file) {
        this.file = file;
    }

    static Scenario read(Path file) throws IOException, Bad {
        return new ScenarioReader(file.toString()).read(Toml.parse(file));
    }

    /** {@code name} stands for the file in what is complained of. */
    static Scenario read(String name, String text) throws Bad {
        return new ScenarioReader(name).read(Toml.parse(text));
    }

    private Scenario read(TomlParseResult toml) throws Bad {
        toml.errors().forEach(e -> problems.add(new Problem(e.position().line(), "not TOML: "
            + e.getMessage())));
        Scenario scenario = problems.isEmpty() ? scenario(new Table(toml, "", 1)) : null;
        if (!problems.isEmpty()) {
            throw new Bad(problems.stream().sorted(Comparator.comparingInt(Problem::line))
                .map(p -> file + ":" + p.line() + ": " + p.text()).toList());
        }
        return scenario;
    }

    private Scenario scenario(Table top) {
        String name = top.text("name", "scenario");
        long seed = (long) top.number("seed", 1, 0, 1e15);
        long lasting = top.time("lasting", "30s");
        double rate = top.number("rate", null, 0.1, 1e6);
        int connections = (int) top.number("connections", 256, 1, COUNT_MOST);
        Scenario.Cold cold = top.table("cold").map(t -> new Scenario.Cold(t.number("from", 0.3, 0.01, 1),
            t.time("ramp", "8s"), t.number("overload", 3, 1, 1e3), t.time("fall", "1s"),
            t.time("down", "5s"))).get(0);
        List<Scenario.Boxes> boxes = top.tables("boxes").map(t -> new Scenario.Boxes(t.text("name", null),
            (int) t.number("count", 1, 1, COUNT_MOST), (int) t.number("cores", 2, 1, 1e3),
            t.number("speed", 1, 0.001, 1e3), (int) t.number("queue", 64, 0, 1e6), t.text("zone", "a"),
            t.text("model", t.text("name", "?")), (int) t.number("cell", 1, 1, COUNT_MOST)));
        List<Scenario.Kind> kinds = top.tables("class").map(t -> new Scenario.Kind(t.text("name", null),
            t.word("effect", Policy.Effect.class), t.number("share", 1, 0, 1e6), t.time("work", null),
            t.time("aim", null), t.time("deadline", null), t.number("worth", 1, 0, 1e6),
            t.number("late", 0.2, 0, 1), t.time("window", "5s")));
        List<Scenario.Fault> faults = top.optional("fault").map(t -> new Scenario.Fault(t.time("at", null),
            t.text("boxes", "*"), t.word("what", What.class), t.time("lasting", "5s"),
            t.number("amount", 1, 0, 1e3)));
        top.end();
        Scenario all = new Scenario(name, seed, lasting, rate, connections, cold, boxes, kinds, faults);
        check(top, all);
        return all;
    }

    private void check(Table top, Scenario all) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < all.boxes().size(); i++) {
            if (!seen.add(all.boxes().get(i).name())) {
                top.complain("boxes[" + i + "].name", top.lineOf("boxes", i), "a second group of this name: '"
                    + all.boxes().get(i).name() + "'");
            }
        }
        seen.clear();
        for (int i = 0; i < all.kinds().size(); i++) {
            Scenario.Kind kind = all.kinds().get(i);
            if (!seen.add(kind.name())) {
                top.complain("class[" + i + "].name", top.lineOf("class", i), "a second class of this name: '"
                    + kind.name() + "'");
            }
            if (kind.aim() > kind.deadline()) {
                top.complain("class[" + i + "].aim", top.lineOf("class", i), "longer than its deadline");
            }
        }
        List<String> names = all.boxNames();
        for (int i = 0; i < all.faults().size(); i++) {
            Scenario.Fault fault = all.faults().get(i);
            if (names.stream().noneMatch(fault::strikes)) {
                top.complain("fault[" + i + "].boxes", top.lineOf("fault", i), "no such box: '"
                    + fault.boxes()
                    + "'; there are " + names.stream().limit(8).collect(Collectors.joining(", ")));
            }
        }
    }

    /** Tables under one key; mapped one by one, so that each one's problems are told. */
    private record Tables(List<Table> tables) {
        <T> List<T> map(Function<Table, T> each) {
            return tables.stream().map(t -> {
                T value = each.apply(t);
                t.end();
                return value;
            }).toList();
        }
    }

    private final class Table {
        private final TomlTable table;
        private final String path;
        private final int line;
        private final Set<String> known = new HashSet<>();

        Table(TomlTable table, String path, int line) {
            this.table = table;
            this.path = path;
            this.line = line;
        }

        void complain(String at, int where, String what) {
            problems.add(new Problem(where, at + ": " + what));
        }

        private int line(String key) {
            TomlPosition position = table.inputPositionOf(List.of(key));
            return position == null ? line : position.line();
        }

        int lineOf(String key, int index) {
            TomlArray array = table.getArrayOrEmpty(List.of(key));
            return index < array.size() ? array.inputPositionOf(index).line() : line;
        }

        private Object value(String key, boolean required) {
            known.add(key);
            Object value = table.get(List.of(key));
            if (value == null && required) {
                complain(path + key, line, "missing");
            }
            return value;
        }

        String text(String key, String otherwise) {
            Object value = value(key, otherwise == null);
            if (value == null || value instanceof String s && !s.isBlank()) {
                return value == null ? String.valueOf(otherwise) : (String) value;
            }
            complain(path + key, line(key), "not a text: " + value);
            return "?";
        }

        double number(String key, Number otherwise, double least, double most) {
            Object value = value(key, otherwise == null);
            if (value == null) {
                return otherwise == null ? least : otherwise.doubleValue();
            }
            if (!(value instanceof Number n)) {
                complain(path + key, line(key), "not a number: " + value);
                return least;
            }
            if (!(n.doubleValue() >= least && n.doubleValue() <= most)) {
                complain(path + key, line(key), "not between " + plain(least) + " and " + plain(most) + ": "
                    + value);
                return least;
            }
            return n.doubleValue();
        }

        private String plain(double number) {
            return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
        }

        long time(String key, String otherwise) {
            Object value = value(key, otherwise == null);
            try {
                return value == null ? otherwise == null ? 1 : Units.micros(otherwise)
                    : Units.micros(value.toString());
            } catch (IllegalArgumentException e) {
                complain(path + key, line(key), e.getMessage());
                return 1;
            }
        }

        <E extends Enum<E>> E word(String key, Class<E> type) {
            Object value = value(key, true);
            E first = type.getEnumConstants()[0];
            if (value == null) {
                return first;
            }
            try {
                return Enum.valueOf(type, value.toString().toUpperCase(Locale.ROOT).replace('-', '_'));
            } catch (IllegalArgumentException e) {
                complain(path + key, line(key), "not one of " + Arrays.stream(type.getEnumConstants())
                    .map(c -> c.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                    .collect(Collectors.joining(", ")) + ": '" + value + "'");
                return first;
            }
        }

        /** The one table of that name, or an empty one. */
        Tables table(String key) {
            Object value = value(key, false);
            if (value != null && !(value instanceof TomlTable)) {
                complain(path + key, line(key), "not a table");
                value = null;
            }
            return new Tables(List.of(value == null ? new Table(Toml.parse(""), path + key + ".", line)
                : new Table((TomlTable) value, path + key + ".", line(key))));
        }

        Tables tables(String key) {
            Tables tables = optional(key);
            if (tables.tables().isEmpty() && table.get(List.of(key)) == null) {
                complain(path + key, line, "missing: at least one [[" + key + "]]");
            }
            return tables;
        }

        Tables optional(String key) {
            Object value = value(key, false);
            List<Table> tables = new ArrayList<>();
            if (value instanceof TomlArray array) {
                for (int i = 0; i < array.size(); i++) {
                    if (array.get(i) instanceof TomlTable t) {
                        tables.add(new Table(t, path + key + "[" + i + "].",
                            array.inputPositionOf(i).line()));
                    } else {
                        complain(path + key + "[" + i + "]", array.inputPositionOf(i).line(), "not a table");
                    }
                }
            } else if (value != null) {
                complain(path + key, line(key), "not a list of tables: write [[" + key + "]]");
            }
            return new Tables(tables);
        }

        /** What nobody has asked for is a slip of the pen. */
        void end() {
            for (String key : table.keySet()) {
                if (!known.contains(key)) {
                    String near = known.stream().min(Comparator.comparingInt((String k) -> distance(k, key))
                        .thenComparing(Function.identity())).orElse("");
                    complain(path + key, line(key), "unknown; the nearest known is '" + near + "'");
                }
            }
        }
    }

    /** Levenshtein's. */
    static int distance(String a, String b) {
        int[] last = new int[b.length() + 1];
        Arrays.setAll(last, i -> i);
        for (int i = 1; i <= a.length(); i++) {
            int[] row = new int[b.length() + 1];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = last[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(change, 1 + Math.min(row[j - 1], last[j]));
            }
            last = row;
        }
        return last[b.length()];
    }
}
