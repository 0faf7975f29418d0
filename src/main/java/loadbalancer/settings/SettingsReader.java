package loadbalancer.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.Settings;

/**
 * Reads the settings of a balancer from {@code path=value} pairs, whether they come from the simulator's wire or from
 * the configuration of a balancer on sockets. Unknown paths are ignored; a value {@code -} counts as absent. Times are
 * in µs. A reader is used by one thread and for one reading.
 */
public final class SettingsReader {
    private static final String ROOT = "BootInfo";
    private static final String ABSENT = "-";

    private final Map<String, String> values;
    private final BiFunction<String, String, ? extends RuntimeException> errorFactory;

    /** What is being read: where the classes of the policy reject a value, the error is reported there. */
    private String currentPath = ROOT;

    /**
     * What a balancer is started with.
     *
     * @param settings the policy's settings
     * @param loadFields names of the values of a load report, in their order on the simulator's wire
     * @param classes names of the request classes, by the policy's number
     * @param tenants names of the tenants, by the policy's number
     * @param zones names of the zones, by the policy's number
     * @param machineModels names of the machine models, by the policy's number
     * @param idleCloseMicros after what time a server closes an idle connection; 0 where that is not known
     */
    public record Boot(
            Settings settings,
            List<String> loadFields,
            List<String> classes,
            List<String> tenants,
            List<String> zones,
            List<String> machineModels,
            long idleCloseMicros) {}

    private SettingsReader(
            Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> errorFactory) {
        this.values = values;
        this.errorFactory = errorFactory;
    }

    /**
     * Reads {@code values}.
     *
     * @param values settings by path
     * @param errorFactory makes the exception for a path and what is wrong there; thrown for the first missing,
     *     malformed or impossible setting
     */
    public static Boot read(
            Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> errorFactory) {
        SettingsReader reader = new SettingsReader(values, errorFactory);
        try {
            return new Boot(
                    reader.settings(),
                    reader.commaSeparated("Stats.Fields"),
                    reader.names("Classes"),
                    reader.names("Realms"),
                    reader.commaSeparated("Areas"),
                    reader.commaSeparated("Kinds"),
                    reader.integer("Limits.IdleClose", 0));
        } catch (IllegalArgumentException e) {
            throw errorFactory.apply(reader.currentPath, e.getMessage());
        }
    }

    /**
     * Adds the pairs of a tree of maps and lists under the names of the simulator's wire: paths joined by dots, lists
     * of plain values by commas, lists of maps by position with a {@code .count} beside them. Nulls are left out.
     *
     * @param path path of {@code value}; empty for the root
     * @param flattened receives the pairs
     */
    public static void flatten(String path, Object value, Map<String, String> flattened) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, child) -> flatten(path.isEmpty() ? key.toString() : path + "." + key, child, flattened));
        } else if (value instanceof List<?> list) {
            flattenList(path, list, flattened);
        } else if (value != null) {
            flattened.put(path, toText(value));
        }
    }

    private static void flattenList(String path, List<?> list, Map<String, String> flattened) {
        if (list.stream().noneMatch(Map.class::isInstance)) {
            flattened.put(path, list.stream().map(SettingsReader::toText).collect(Collectors.joining(",")));
            return;
        }
        flattened.put(path + ".count", Integer.toString(list.size()));
        for (int i = 0; i < list.size(); i++) {
            flatten(path + "." + i, list.get(i), flattened);
        }
    }

    /** Returns a value as it stands on the wire, where spaces and commas within values are replaced. */
    public static String toText(Object value) {
        return String.valueOf(value).replace(' ', '_').replace(',', '_');
    }

    // The order of reading decides which of several errors is reported.
    private Settings settings() {
        int zoneCount = text("Areas", "").split(",").length;
        int modelCount = text("Kinds", "").split(",").length;
        List<Policy.RequestClass> classes = requestClasses(zoneCount, modelCount);
        List<Policy.Tenant> tenants = tenants();
        Policy.Limits limits = limits();
        Policy.Discovery discovery =
                enumValue(Policy.Discovery.class, "MembershipMode", requiredText("MembershipMode"));
        Policy.Bounds bounds = bounds(discovery);
        Policy.Goal goal = goal();
        return new Settings(
                (int) Math.min(Integer.MAX_VALUE, requiredInteger("Balancers")),
                (int) integer("Rank", 0),
                zone(zoneCount),
                List.copyOf(classes),
                List.copyOf(tenants),
                decimal("OverShareWorth", 1.0),
                goal,
                new Policy.Prices(decimal("Prices.CrossZone", 0.0), decimal("Prices.Handshake", 0.0)),
                text("WorthBy", "request").equals("work"),
                discovery,
                enumValue(Policy.Reports.class, "Stats.How", text("Stats.How", "none")),
                flag("Specifics.WarmKeys", false),
                limits,
                bounds,
                requiredInteger("Quantum"));
    }

    private List<Policy.RequestClass> requestClasses(int zoneCount, int modelCount) {
        List<Policy.RequestClass> classes = new ArrayList<>();
        int count = count("Classes", requiredInteger("Classes.count"));
        for (int i = 0; i < count; i++) {
            currentPath = "Classes." + i;
            classes.add(requestClass(currentPath + ".", zoneCount, modelCount));
        }
        currentPath = ROOT;
        return classes;
    }

    private Policy.RequestClass requestClass(String prefix, int zoneCount, int modelCount) {
        return new Policy.RequestClass(
                enumValue(Policy.Effect.class, prefix + "Idempotency", requiredText(prefix + "Idempotency")),
                enumValue(Policy.Scope.class, prefix + "DedupScope", text(prefix + "DedupScope", "all")),
                integer(prefix + "KeyTtl", 0),
                requiredInteger(prefix + "GoalTime"),
                requiredInteger(prefix + "GiveUp"),
                decimal(prefix + "AimStretch", 0.0),
                decimal(prefix + "Gain", 1.0),
                decimal(prefix + "LateShare", 0.0),
                flag(prefix + "Stream", false),
                flag(prefix + "InOrder", false),
                indexes(prefix + "AllowedIn", zoneCount),
                indexes(prefix + "RunsOn", modelCount));
    }

    private List<Policy.Tenant> tenants() {
        List<Policy.Tenant> tenants = new ArrayList<>();
        int count = count("Realms", integer("Realms.count", 0));
        for (int i = 0; i < count; i++) {
            tenants.add(new Policy.Tenant(requiredDecimal("Realms." + i + ".AllowancePerS")));
        }
        return tenants;
    }

    private Policy.Limits limits() {
        boolean sendsRetryAfter = flag("Limits.RetryAfter", false);
        int maxAttempts = (int) Math.min(Integer.MAX_VALUE, requiredInteger("Limits.TryLimit"));
        return new Policy.Limits(
                maxAttempts,
                requiredFlag("Limits.MayDuplicate"),
                requiredFlag("Limits.Cancel"),
                requiredFlag("Limits.Probes"),
                integer("Limits.DialTimeout", 0),
                sendsRetryAfter ? integer("Limits.MaxRetryAfter", 0) : 0L);
    }

    private Policy.Bounds bounds(Policy.Discovery discovery) {
        return new Policy.Bounds(
                requiredInteger("Rules.AnswerSlack"),
                requiredInteger("Rules.DrainGrace"),
                discovery == Policy.Discovery.ASK ? requiredInteger("Rules.AskWithin") : integer("Rules.AskWithin", 0),
                requiredDecimal("Rules.ColdFrom"),
                requiredInteger("Rules.RampTime"),
                requiredDecimal("Rules.OverloadFactor"),
                requiredInteger("Rules.Fall"),
                integer("Rules.OrderPause", 0));
    }

    private Policy.Goal goal() {
        return new Policy.Goal(
                decimal("Blend.Whole", 1.0),
                decimal("Blend.WorstWindow", 0.0),
                decimal("Blend.WorstClass", 0.0),
                decimal("Blend.WorstTenant", 0.0));
    }

    private List<String> commaSeparated(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private List<String> names(String path) {
        List<String> names = new ArrayList<>();
        int count = count(path, integer(path + ".count", 0));
        for (int i = 0; i < count; i++) {
            names.add(text(path + "." + i + ".Name", ""));
        }
        return List.copyOf(names);
    }

    /** The value of a setting, or null where it is absent. */
    private String textOrNull(String path) {
        String value = values.get(path);
        return value == null || value.equals(ABSENT) ? null : value;
    }

    private String text(String path, String defaultValue) {
        String value = textOrNull(path);
        return value == null ? defaultValue : value;
    }

    private String requiredText(String path) {
        String value = textOrNull(path);
        if (value == null) {
            throw errorFactory.apply(path, "required setting is missing");
        }
        return value;
    }

    private long integer(String path, long defaultValue) {
        String value = textOrNull(path);
        return value == null ? defaultValue : parseInteger(path, value);
    }

    private long requiredInteger(String path) {
        return parseInteger(path, requiredText(path));
    }

    private long parseInteger(String path, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw errorFactory.apply(path, "not a whole number: '" + value + "'");
        }
    }

    private double decimal(String path, double defaultValue) {
        String value = textOrNull(path);
        return value == null ? defaultValue : parseDecimal(path, value);
    }

    private double requiredDecimal(String path) {
        return parseDecimal(path, requiredText(path));
    }

    private double parseDecimal(String path, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw errorFactory.apply(path, "not a number: '" + value + "'");
        }
        throw errorFactory.apply(path, "not a finite number: '" + value + "'");
    }

    private boolean flag(String path, boolean defaultValue) {
        String value = textOrNull(path);
        return value == null ? defaultValue : parseFlag(path, value);
    }

    private boolean requiredFlag(String path) {
        return parseFlag(path, requiredText(path));
    }

    private boolean parseFlag(String path, String value) {
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw errorFactory.apply(path, "not true or false: '" + value + "'");
        };
    }

    /** Checks the number of entries under {@code path}: there can't be more of them than there are values. */
    private int count(String path, long count) {
        if (count < 0 || count > values.size()) {
            throw errorFactory.apply(path + ".count", "not a count of what follows: " + count);
        }
        return (int) count;
    }

    /** The zone of this instance; it must be one of the named ones, where zones are named. */
    private int zone(int zoneCount) {
        long zone = integer("Locality", 0);
        if (zone < 0 || (zone >= zoneCount && values.containsKey("Areas"))) {
            throw errorFactory.apply("Locality", "not between 0 and " + (zoneCount - 1) + ": " + zone);
        }
        return (int) zone;
    }

    /** Positions in a list of {@code size} names; empty where the setting is absent. */
    private Set<Integer> indexes(String path, int size) {
        Set<Integer> indexes = new TreeSet<>();
        String value = text(path, "");
        for (String part : value.isEmpty() ? new String[0] : value.split(",", -1)) {
            if (!part.matches("\\d{1,9}") || Integer.parseInt(part) >= size) {
                throw errorFactory.apply(path, "not between 0 and " + (size - 1) + ": '" + part + "'");
            }
            indexes.add(Integer.valueOf(part));
        }
        return indexes;
    }

    private <E extends Enum<E>> E enumValue(Class<E> type, String path, String value) {
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw errorFactory.apply(path, "unknown word: '" + value + "'");
        }
    }
}
