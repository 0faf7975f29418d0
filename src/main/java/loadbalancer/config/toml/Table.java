package loadbalancer.config.toml;

import java.util.ArrayList;
import java.util.Arrays;
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
 * A table of a TOML file, read with its checks: what is wrong goes to the {@link Problems} with its line, and a usable
 * value stands in for it, so that one reading finds every problem. Keys that were never read are reported by
 * {@link #end}. For one thread.
 *
 * <p>Where a method has a default value, {@code null} says that the key is required.
 */
public final class Table {
    /** Stands in for a text that can't be read. */
    private static final String NO_TEXT = "?";

    /** Stands in for a time that can't be read, in µs. */
    private static final long NO_TIME = 1;

    /** A text that may stand in a comma-separated list. */
    private static final String NAME_PATTERN = "[^,\\s]+";

    /**
     * Tables under one key.
     *
     * @param tables in the order of the file
     */
    public record Tables(List<Table> tables) {
        /** Returns what {@code reader} makes of each table; keys that it did not read are noted as problems. */
        public <T> List<T> map(Function<Table, T> reader) {
            return tables.stream()
                    .map(table -> {
                        T value = reader.apply(table);
                        table.end();
                        return value;
                    })
                    .toList();
        }
    }

    private final TomlTable table;
    private final String path;
    private final int line;
    private final Problems problems;
    private final Set<String> knownKeys = new HashSet<>();

    private Table(TomlTable table, String path, int line, Problems problems) {
        this.table = table;
        this.path = path;
        this.line = line;
        this.problems = problems;
    }

    /** Returns the table of the complete file; errors of its syntax are noted as problems. */
    public static Table of(TomlParseResult toml, Problems problems) {
        toml.errors().forEach(error -> problems.add(error.position().line(), "not TOML: " + error.getMessage()));
        return new Table(toml, "", 1, problems);
    }

    /** Notes what is wrong with {@code keyPath}, a key with its path, on a line. */
    public void complain(String keyPath, int lineNumber, String problem) {
        problems.add(lineNumber, keyPath + ": " + problem);
    }

    /** Notes what is wrong with the value of a key of this table. */
    public void complain(String key, String problem) {
        complain(path + key, line(key), problem);
    }

    private int line(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /** Returns the line of an entry of a list, or that of the key where there is no such entry. */
    public int lineOf(String key, int index) {
        if (table.get(List.of(key)) instanceof TomlArray array && index < array.size()) {
            return array.inputPositionOf(index).line();
        }
        return line(key);
    }

    /** The value, or null where it is missing; that is a problem where it is required. */
    private Object value(String key, boolean required) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null && required) {
            complain(path + key, line, "missing");
        }
        return value;
    }

    /** Returns whether the table has the key. */
    public boolean has(String key) {
        return table.get(List.of(key)) != null;
    }

    /** Returns a text that is not blank. */
    public String text(String key, String defaultValue) {
        Object value = value(key, defaultValue == null);
        if (value == null) {
            return String.valueOf(defaultValue);
        }
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        complain(key, "not a text: " + value);
        return NO_TEXT;
    }

    /** Returns a text that may stand in a list: without spaces and commas. */
    public String name(String key, String defaultValue) {
        String text = text(key, defaultValue);
        if (!text.matches(NAME_PATTERN)) {
            complain(key, "not a name without spaces and commas: '" + text + "'");
            return NO_TEXT;
        }
        return text;
    }

    /** Returns a list of names; null as the default is returned as such. */
    public List<String> texts(String key, List<String> defaultValue) {
        Object value = value(key, false);
        if (value == null) {
            return defaultValue;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object entry : array.toList()) {
                if (entry instanceof String text && !text.isBlank() && text.matches(NAME_PATTERN)) {
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

    /** Returns a number from {@code min} to {@code max}; {@code min} stands in for any other. */
    public double number(String key, Number defaultValue, double min, double max) {
        Object value = value(key, defaultValue == null);
        if (value == null) {
            return defaultValue == null ? min : defaultValue.doubleValue();
        }
        if (!(value instanceof Number number)) {
            complain(key, "not a number: " + value);
            return min;
        }
        double result = number.doubleValue();
        if (!(result >= min && result <= max)) { // NaN is outside too
            complain(key, "not between " + plain(min) + " and " + plain(max) + ": " + value);
            return min;
        }
        return result;
    }

    /** Integers are shown without a fraction. */
    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** Returns a time in µs, written with its unit; the default is written so too. */
    public long time(String key, String defaultValue) {
        Object value = value(key, defaultValue == null);
        if (value == null && defaultValue == null) {
            return NO_TIME;
        }
        try {
            return Units.micros(value == null ? defaultValue : value.toString());
        } catch (IllegalArgumentException e) {
            complain(key, e.getMessage());
            return NO_TIME;
        }
    }

    /** Returns a required word, one of the enum's constants in lower case and with hyphens. */
    public <E extends Enum<E>> E word(String key, Class<E> type) {
        Object value = value(key, true);
        E first = type.getEnumConstants()[0];
        if (value == null) {
            return first;
        }
        try {
            return Enum.valueOf(type, value.toString().toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            complain(key, "not one of " + words(type) + ": '" + value + "'");
            return first;
        }
    }

    private static <E extends Enum<E>> String words(Class<E> type) {
        return Arrays.stream(type.getEnumConstants())
                .map(constant -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .collect(Collectors.joining(", "));
    }

    /** Returns a word as {@link #word(String, Class)} does, or the default where it is missing. */
    public <E extends Enum<E>> E word(String key, Class<E> type, E defaultValue) {
        knownKeys.add(key);
        return defaultValue != null && !has(key) ? defaultValue : word(key, type);
    }

    /** Returns a truth value; it is never required. */
    public boolean flag(String key, boolean defaultValue) {
        Object value = value(key, false);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        complain(key, "not true or false: " + value);
        return defaultValue;
    }

    /** Returns the one table of that name, or an empty one where it is missing. */
    public Tables table(String key) {
        Object value = value(key, false);
        String childPath = path + key + ".";
        if (value instanceof TomlTable child) {
            return new Tables(List.of(new Table(child, childPath, line(key), problems)));
        }
        if (value != null) {
            complain(key, "not a table");
        }
        return new Tables(List.of(new Table(Toml.parse(""), childPath, line, problems)));
    }

    /** Returns the tables {@code [[key]]}, of which there must be at least one. */
    public Tables tables(String key) {
        Tables tables = optional(key);
        if (tables.tables().isEmpty() && !has(key)) {
            complain(path + key, line, "missing: at least one [[" + key + "]]");
        }
        return tables;
    }

    /** Returns the tables {@code [[key]]}, of which there may be none. */
    public Tables optional(String key) {
        Object value = value(key, false);
        List<Table> tables = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                String entryPath = path + key + "[" + i + "]";
                int entryLine = array.inputPositionOf(i).line();
                if (array.get(i) instanceof TomlTable entry) {
                    tables.add(new Table(entry, entryPath + ".", entryLine, problems));
                } else {
                    complain(entryPath, entryLine, "not a table");
                }
            }
        } else if (value != null) {
            complain(key, "not a list of tables: write [[" + key + "]]");
        }
        return new Tables(tables);
    }

    /** Ends the reading: each key that was not read is unknown, and noted with the nearest known one. */
    public void end() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                complain(key, "unknown; the nearest known is '" + EditDistance.nearest(key, knownKeys) + "'");
            }
        }
    }
}
