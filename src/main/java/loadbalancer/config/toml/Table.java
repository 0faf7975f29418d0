package loadbalancer.config.toml;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of a TOML file, read with its checks: what is wrong goes to the {@link Problems} with its line,
 * and a
 * value that will do stands in for it, so that one reading finds every problem. For one thread.
 */
public final class Table {
    /** Tables under one key; mapped one by one, so that each one's problems are told. */
    public record Tables(List<Table> tables) {
        public <T> List<T> map(Function<Table, T> each) {
            return tables.stream()
                    .map(t -> {
                        T value = each.apply(t);
                        t.end();
                        return value;
                    })
                    .toList();
        }
    }

    private final TomlTable table;
    private final String path;
    private final int line;
    private final Problems problems;
    private final Set<String> known = new HashSet<>();

    private Table(TomlTable table, String path, int line, Problems problems) {
        this.problems = problems;
        this.table = table;
        this.path = path;
        this.line = line;
    }

    /** Notes what is wrong with {@code at}, a key path, on a line. */
    public void complain(String at, int where, String what) {
        problems.add(where, at + ": " + what);
    }

    /** Notes what is wrong with the value of a key here. */
    public void complain(String key, String what) {
        complain(path + key, line(key), what);
    }

    private int line(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    public int lineOf(String key, int index) {
        TomlArray array = table.get(List.of(key)) instanceof TomlArray a
                ? a
                : Toml.parse("").getArrayOrEmpty("a");
        return index < array.size() ? array.inputPositionOf(index).line() : line(key);
    }

    private Object value(String key, boolean required) {
        known.add(key);
        Object value = table.get(List.of(key));
        if (value == null && required) {
            complain(path + key, line, "missing");
        }
        return value;
    }

    public String text(String key, String otherwise) {
        Object value = value(key, otherwise == null);
        if (value == null || value instanceof String s && !s.isBlank()) {
            return value == null ? String.valueOf(otherwise) : (String) value;
        }
        complain(path + key, line(key), "not a text: " + value);
        return "?";
    }

    /** A text that may stand in a list: without spaces and commas. */
    public String name(String key, String otherwise) {
        String text = text(key, otherwise);
        if (!text.matches("[^,\\s]+")) {
            complain(key, "not a name without spaces and commas: '" + text + "'");
            return "?";
        }
        return text;
    }

    public double number(String key, Number otherwise, double least, double most) {
        Object value = value(key, otherwise == null);
        if (value == null) {
            return otherwise == null ? least : otherwise.doubleValue();
        }
        if (!(value instanceof Number n)) {
            complain(path + key, line(key), "not a number: " + value);
            return least;
        }
        if (!(n.doubleValue() >= least && n.doubleValue() <= most)) {
            complain(path + key, line(key), "not between " + plain(least) + " and " + plain(most) + ": " + value);
            return least;
        }
        return n.doubleValue();
    }

    private String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    public long time(String key, String otherwise) {
        Object value = value(key, otherwise == null);
        try {
            return value == null ? otherwise == null ? 1 : Units.micros(otherwise) : Units.micros(value.toString());
        } catch (IllegalArgumentException e) {
            complain(path + key, line(key), e.getMessage());
            return 1;
        }
    }

    public <E extends Enum<E>> E word(String key, Class<E> type) {
        Object value = value(key, true);
        E first = type.getEnumConstants()[0];
        if (value == null) {
            return first;
        }
        try {
            return Enum.valueOf(type, value.toString().toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            complain(
                    path + key,
                    line(key),
                    "not one of "
                            + Arrays.stream(type.getEnumConstants())
                                    .map(c -> c.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                                    .collect(Collectors.joining(", "))
                            + ": '" + value + "'");
            return first;
        }
    }

    /** As the other, where the word may be missing; {@code otherwise} null: it may not. */
    public <E extends Enum<E>> E word(String key, Class<E> type, E otherwise) {
        known.add(key);
        return otherwise != null && table.get(List.of(key)) == null ? otherwise : word(key, type);
    }

    public boolean flag(String key, boolean otherwise) {
        Object value = value(key, false);
        if (value != null && !(value instanceof Boolean)) {
            complain(key, "not true or false: " + value);
            return otherwise;
        }
        return value == null ? otherwise : (Boolean) value;
    }

    /** A list of texts. */
    public List<String> texts(String key, List<String> otherwise) {
        Object value = value(key, false);
        if (value == null) {
            return otherwise;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object entry : array.toList()) {
                if (entry instanceof String text && !text.isBlank() && text.matches("[^,\\s]+")) {
                    texts.add(text);
                } else {
                    complain(key, "not a name without spaces and commas: " + entry);
                }
            }
        } else {
            complain(key, "not a list: " + value);
        }
        return texts;
    }

    /** Whether the key stands there. */
    public boolean has(String key) {
        return table.get(List.of(key)) != null;
    }

    /** The one table of that name, or an empty one. */
    public Tables table(String key) {
        Object value = value(key, false);
        if (value != null && !(value instanceof TomlTable)) {
            complain(path + key, line(key), "not a table");
            value = null;
        }
        return new Tables(List.of(
                value == null
                        ? new Table(Toml.parse(""), path + key + ".", line, problems)
                        : new Table((TomlTable) value, path + key + ".", line(key), problems)));
    }

    public Tables tables(String key) {
        Tables tables = optional(key);
        if (tables.tables().isEmpty() && table.get(List.of(key)) == null) {
            complain(path + key, line, "missing: at least one [[" + key + "]]");
        }
        return tables;
    }

    public Tables optional(String key) {
        Object value = value(key, false);
        List<Table> tables = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof TomlTable t) {
                    tables.add(new Table(
                            t,
                            path + key + "[" + i + "].",
                            array.inputPositionOf(i).line(),
                            problems));
                } else {
                    complain(
                            path + key + "[" + i + "]", array.inputPositionOf(i).line(), "not a table");
                }
            }
        } else if (value != null) {
            complain(path + key, line(key), "not a list of tables: write [[" + key + "]]");
        }
        return new Tables(tables);
    }

    /** What nobody has asked for is a slip of the pen. */
    public void end() {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                String near = known.stream()
                        .min(Comparator.comparingInt((String k) -> distance(k, key))
                                .thenComparing(Function.identity()))
                        .orElse("");
                complain(path + key, line(key), "unknown; the nearest known is '" + near + "'");
            }
        }
    }

    /** The whole file; its own errors are noted as well. */
    public static Table of(TomlParseResult toml, Problems problems) {
        toml.errors().forEach(e -> problems.add(e.position().line(), "not TOML: " + e.getMessage()));
        return new Table(toml, "", 1, problems);
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
