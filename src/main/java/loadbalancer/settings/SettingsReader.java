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
 * Reads the settings of a balancer from path=value pairs, whether they come from the simulator's wire or from
 * the configuration of a real balancer; keys that it doesn't know are passed over.
 */
public final class SettingsReader {
    private final Map<String, String> values;
    private final BiFunction<String, String, ? extends RuntimeException> complaint;
    private String place = "BootInfo"; // what is being read, for what its own class complains of

    /**
     * What a balancer is started with: the module's settings, the order of values in a load report, the names
     * that stand for the module's numbers, and after what time (µs) a server closes an idle connection.
     */
    public record Boot(
            Settings settings,
            List<String> loadFields,
            List<String> classes,
            List<String> tenants,
            List<String> zones,
            List<String> kinds,
            long idleClose) {}

    private SettingsReader(
            Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> complaint) {
        this.values = values;
        this.complaint = complaint;
    }

    /**
     * Reads {@code values}.
     *
     * @param complaint makes the exception for a path and what is wrong there
     */
    public static Boot read(
            Map<String, String> values, BiFunction<String, String, ? extends RuntimeException> complaint) {
        SettingsReader in = new SettingsReader(values, complaint);
        try {
            return new Boot(
                    in.settings(),
                    in.list("Stats.Fields"),
                    in.names("Classes"),
                    in.names("Realms"),
                    in.list("Areas"),
                    in.list("Kinds"),
                    in.whole("Limits.IdleClose", 0L));
        } catch (IllegalArgumentException e) {
            throw complaint.apply(in.place, e.getMessage());
        }
    }

    /** The names of the simulator's wire: paths joined by dots, lists of plain values by commas. */
    public static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? k.toString() : path + "." + k, v, into));
        } else if (value instanceof List<?> list) {
            if (list.stream().anyMatch(Map.class::isInstance)) {
                into.put(path + ".count", Integer.toString(list.size()));
                for (int i = 0; i < list.size(); i++) {
                    flatten(path + "." + i, list.get(i), into);
                }
            } else {
                into.put(path, list.stream().map(SettingsReader::toText).collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            into.put(path, toText(value));
        }
    }

    /** A value as it stands on the wire, where spaces and commas within values are replaced. */
    public static String toText(Object value) {
        return String.valueOf(value).replace(' ', '_').replace(',', '_');
    }

    private List<String> list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private List<String> names(String path) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count(path, false); i++) {
            names.add(text(path + "." + i + ".Name", ""));
        }
        return List.copyOf(names);
    }

    private Settings settings() {
        int zones = text("Areas", "").split(",").length;
        int kinds = text("Kinds", "").split(",").length;
        List<Policy.RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("Classes", true); i++) {
            String at = "Classes." + i + ".";
            place = "Classes." + i;
            classes.add(new Policy.RequestClass(
                    word(Policy.Effect.class, at + "Idempotency", null),
                    word(Policy.Scope.class, at + "DedupScope", "all"),
                    whole(at + "KeyTtl", 0L),
                    whole(at + "GoalTime", null),
                    whole(at + "GiveUp", null),
                    decimal(at + "AimStretch", 0.0),
                    decimal(at + "Gain", 1.0),
                    decimal(at + "LateShare", 0.0),
                    flag(at + "Stream", false),
                    flag(at + "InOrder", false),
                    indexes(at + "AllowedIn", zones),
                    indexes(at + "RunsOn", kinds)));
        }
        place = "BootInfo";
        List<Policy.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("Realms", false); i++) {
            tenants.add(new Policy.Tenant(decimal("Realms." + i + ".AllowancePerS", null)));
        }
        boolean advice = flag("Limits.RetryAfter", false);
        int tries = (int) Math.min(Integer.MAX_VALUE, whole("Limits.TryLimit", null));
        Policy.Limits limits = new Policy.Limits(
                tries,
                flag("Limits.MayDuplicate", null),
                flag("Limits.Cancel", null),
                flag("Limits.Probes", null),
                whole("Limits.DialTimeout", 0L),
                advice ? whole("Limits.MaxRetryAfter", 0L) : 0L);
        boolean ask = word(Policy.Discovery.class, "MembershipMode", null) == Policy.Discovery.ASK;
        Policy.Bounds bounds = new Policy.Bounds(
                whole("Rules.AnswerSlack", null),
                whole("Rules.DrainGrace", null),
                whole("Rules.AskWithin", ask ? null : 0L),
                decimal("Rules.ColdFrom", null),
                whole("Rules.RampTime", null),
                decimal("Rules.OverloadFactor", null),
                whole("Rules.Fall", null),
                whole("Rules.OrderPause", 0L));
        Policy.Goal goal = new Policy.Goal(
                decimal("Blend.Whole", 1.0),
                decimal("Blend.WorstWindow", 0.0),
                decimal("Blend.WorstClass", 0.0),
                decimal("Blend.WorstTenant", 0.0));
        return new Settings(
                (int) Math.min(Integer.MAX_VALUE, whole("Balancers", null)),
                (int) whole("Rank", 0L),
                zone(zones),
                List.copyOf(classes),
                List.copyOf(tenants),
                decimal("OverShareWorth", 1.0),
                goal,
                new Policy.Prices(decimal("Prices.CrossZone", 0.0), decimal("Prices.Handshake", 0.0)),
                text("WorthBy", "request").equals("work"),
                ask ? Policy.Discovery.ASK : Policy.Discovery.PUSH,
                word(Policy.Reports.class, "Stats.How", "none"),
                flag("Specifics.WarmKeys", false),
                limits,
                bounds,
                whole("Quantum", null));
    }

    private String text(String path, String otherwise) {
        String value = values.get(path);
        if (value != null && !value.equals("-")) {
            return value;
        }
        if (otherwise == null) {
            throw complaint.apply(path, "required setting is missing");
        }
        return otherwise;
    }

    private long whole(String path, Long otherwise) {
        String value = text(path, otherwise == null ? null : otherwise.toString());
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw complaint.apply(path, "not a whole number: '" + value + "'");
        }
    }

    private double decimal(String path, Double otherwise) {
        String value = text(path, otherwise == null ? null : otherwise.toString());
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw complaint.apply(path, "not a number: '" + value + "'");
        }
        throw complaint.apply(path, "not a finite number: '" + value + "'");
    }

    private boolean flag(String path, Boolean otherwise) {
        String value = text(path, otherwise == null ? null : otherwise.toString());
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw complaint.apply(path, "not true or false: '" + value + "'");
        };
    }

    private int count(String path, boolean required) {
        long count = whole(path + ".count", required ? null : 0L);
        if (count < 0 || count > values.size()) {
            throw complaint.apply(path + ".count", "not a count of what follows: " + count);
        }
        return (int) count;
    }

    /** The zone of this instance; it must be one of the named ones, where zones are named. */
    private int zone(int zones) {
        long zone = whole("Locality", 0L);
        if (zone < 0 || zone >= zones && values.containsKey("Areas")) {
            throw complaint.apply("Locality", "not between 0 and " + (zones - 1) + ": " + zone);
        }
        return (int) zone;
    }

    /** Positions in a list of {@code size} names; empty where the setting is not given. */
    private Set<Integer> indexes(String path, int size) {
        Set<Integer> found = new TreeSet<>();
        String value = text(path, "");
        for (String part : value.isEmpty() ? new String[0] : value.split(",", -1)) {
            if (!part.matches("\\d{1,9}") || Integer.parseInt(part) >= size) {
                throw complaint.apply(path, "not between 0 and " + (size - 1) + ": '" + part + "'");
            }
            found.add(Integer.valueOf(part));
        }
        return found;
    }

    private <E extends Enum<E>> E word(Class<E> type, String path, String otherwise) {
        String value = text(path, otherwise);
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw complaint.apply(path, "unknown word: '" + value + "'");
        }
    }
}
