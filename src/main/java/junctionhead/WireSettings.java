package junctionhead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import junctionhead.Policy.Settings;

/** Turns the path=value pairs of an ENLIST line into settings; keys that it doesn't know are passed over. */
final class WireSettings {
    private final Frame frame;
    private final Map<String, String> values = new HashMap<>();

    /** What an instance is started with: the module's settings, and the order of values in a load report. */
    record Boot(Settings settings, List<String> loadFields) { }

    private WireSettings(Frame frame, int firstPair) {
        this.frame = frame;
        for (int i = firstPair; i <= frame.size(); i++) {
            String pair = frame.raw(i, "BootInfo");
            int at = pair.indexOf('=');
            if (at <= 0) {
                throw frame.bad("BootInfo", "not path=value: '" + pair + "'");
            }
            values.put(pair.substring(0, at), pair.substring(at + 1));
        }
    }

    static Boot read(Frame frame, int firstPair) {
        WireSettings in = new WireSettings(frame, firstPair);
        List<String> fields = new ArrayList<>();
        if (!in.text("Stats.Fields", "").isEmpty()) {
            fields.addAll(List.of(in.text("Stats.Fields", "").split(",")));
        }
        try {
            return new Boot(in.settings(), fields);
        } catch (IllegalArgumentException e) {
            throw frame.bad("BootInfo", e.getMessage());
        }
    }

    private Settings settings() {
        int zones = text("Areas", "").split(",").length;
        int kinds = text("Kinds", "").split(",").length;
        List<Policy.RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("Classes", true); i++) {
            String at = "Classes." + i + ".";
            classes.add(new Policy.RequestClass(word(Policy.Effect.class, at + "Idempotency", null),
                word(Policy.Scope.class, at + "DedupScope", "all"), whole(at + "KeyTtl", 0L),
                whole(at + "GoalTime", null), whole(at + "GiveUp", null), decimal(at + "AimStretch", 0.0),
                decimal(at + "Gain", 1.0), decimal(at + "LateShare", 0.0), flag(at + "Stream", false),
                flag(at + "InOrder", false), indexes(at + "AllowedIn", zones),
                indexes(at + "RunsOn", kinds)));
        }
        List<Policy.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("Realms", false); i++) {
            tenants.add(new Policy.Tenant(decimal("Realms." + i + ".AllowancePerS", null)));
        }
        boolean advice = flag("Limits.RetryAfter", false);
        int tries = (int) Math.min(Integer.MAX_VALUE, whole("Limits.TryLimit", null));
        Policy.Limits limits = new Policy.Limits(tries,
            flag("Limits.MayDuplicate", null), flag("Limits.Cancel", null), flag("Limits.Probes", null),
            whole("Limits.DialTimeout", 0L), advice ? whole("Limits.MaxRetryAfter", 0L) : 0L);
        boolean ask = word(Policy.Discovery.class, "MembershipMode", null) == Policy.Discovery.ASK;
        Policy.Bounds bounds = new Policy.Bounds(whole("Rules.AnswerSlack", null),
            whole("Rules.DrainGrace", null), whole("Rules.AskWithin", ask ? null : 0L),
            decimal("Rules.ColdFrom", null), whole("Rules.RampTime", null),
            decimal("Rules.OverloadFactor", null), whole("Rules.Fall", null), whole("Rules.OrderPause", 0L));
        Policy.Goal goal = new Policy.Goal(decimal("Blend.Whole", 1.0), decimal("Blend.WorstWindow", 0.0),
            decimal("Blend.WorstClass", 0.0), decimal("Blend.WorstTenant", 0.0));
        return new Settings((int) Math.min(Integer.MAX_VALUE, whole("Balancers", null)),
            (int) whole("Rank", 0L), zone(zones), List.copyOf(classes), List.copyOf(tenants),
            decimal("OverShareWorth", 1.0), goal,
            new Policy.Prices(decimal("Prices.CrossZone", 0.0), decimal("Prices.Handshake", 0.0)),
            text("WorthBy", "request").equals("work"),
            ask ? Policy.Discovery.ASK : Policy.Discovery.PUSH,
            word(Policy.Reports.class, "Stats.How", "none"), flag("Specifics.WarmKeys", false), limits,
            bounds, whole("Quantum", null));
    }

    private String text(String path, String otherwise) {
        String value = values.get(path);
        if (value != null && !value.equals("-")) {
            return value;
        }
        if (otherwise == null) {
            throw frame.bad(path, "required setting is missing");
        }
        return otherwise;
    }

    private long whole(String path, Long otherwise) {
        String value = text(path, otherwise == null ? null : otherwise.toString());
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw frame.bad(path, "not a whole number: '" + value + "'");
        }
    }

    private double decimal(String path, Double otherwise) {
        return frame.decimal(text(path, otherwise == null ? null : otherwise.toString()), path);
    }

    private boolean flag(String path, Boolean otherwise) {
        String value = text(path, otherwise == null ? null : otherwise.toString());
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw frame.bad(path, "not true or false: '" + value + "'");
        };
    }

    private int count(String path, boolean required) {
        long count = whole(path + ".count", required ? null : 0L);
        if (count < 0 || count > values.size()) {
            throw frame.bad(path + ".count", "not a count of what follows: " + count);
        }
        return (int) count;
    }

    /** The zone of this instance; it must be one of the named ones, where zones are named. */
    private int zone(int zones) {
        long zone = whole("Locality", 0L);
        if (zone < 0 || zone >= zones && values.containsKey("Areas")) {
            throw frame.bad("Locality", "not between 0 and " + (zones - 1) + ": " + zone);
        }
        return (int) zone;
    }

    /** Positions in a list of {@code size} names; empty where the setting is not given. */
    private Set<Integer> indexes(String path, int size) {
        Set<Integer> found = new TreeSet<>();
        String value = text(path, "");
        for (String part : value.isEmpty() ? new String[0] : value.split(",", -1)) {
            if (!part.matches("\\d{1,9}") || Integer.parseInt(part) >= size) {
                throw frame.bad(path, "not between 0 and " + (size - 1) + ": '" + part + "'");
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
            throw frame.bad(path, "unknown word: '" + value + "'");
        }
    }
}
