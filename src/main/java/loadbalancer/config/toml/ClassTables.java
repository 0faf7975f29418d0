package loadbalancer.config.toml;

import java.util.List;
import java.util.stream.Collectors;
import loadbalancer.policy.Policy;

/** Reads the tables {@code class} into settings, one after the other. */
final class ClassTables {
    private final SettingValues settings;
    private final MembershipTable.Membership membership;
    private int count;

    ClassTables(SettingValues settings, MembershipTable.Membership membership) {
        this.settings = settings;
        this.membership = membership;
    }

    /** Adds the settings of the next class and returns its name. */
    String read(Table table) {
        String prefix = "Classes." + count + ".";
        count++;
        String name = table.name("name", null);
        settings.put(prefix + "Name", name);
        readEffect(table, prefix);
        readTimes(table, prefix);
        settings.put(prefix + "Gain", table.number("worth", 1, 0, 1e9));
        settings.put(prefix + "LateShare", table.number("late", 0, 0, 1));
        settings.put(prefix + "AimStretch", table.number("aim-stretch", 0, 0, 1e3));
        settings.put(prefix + "InOrder", table.flag("in-order", false));
        settings.put(prefix + "AllowedIn", indexes(table, "zones", membership.zones()));
        settings.put(prefix + "RunsOn", indexes(table, "models", membership.models()));
        return name;
    }

    private void readEffect(Table table, String prefix) {
        Policy.Effect effect = table.word("effect", Policy.Effect.class, null);
        settings.put(prefix + "Idempotency", effect);
        settings.put(prefix + "DedupScope", table.word("scope", Policy.Scope.class, Policy.Scope.CELL));
        long windowMicros = table.time("window", "0s");
        settings.put(prefix + "KeyTtl", windowMicros);
        if (effect == Policy.Effect.KEYED && windowMicros == 0) {
            table.complain("window", "missing: for how long a keyed request's key is remembered");
        }
    }

    private void readTimes(Table table, String prefix) {
        long aimMicros = table.time("aim", null);
        long deadlineMicros = table.time("deadline", null);
        if (aimMicros > deadlineMicros) {
            table.complain("aim", "longer than the deadline");
        }
        settings.put(prefix + "GoalTime", aimMicros);
        settings.put(prefix + "GiveUp", deadlineMicros);
    }

    /** The positions of the named zones or models among all of them, joined by commas. */
    private static String indexes(Table table, String key, List<String> all) {
        List<String> named = table.texts(key, List.of());
        List<String> unknown =
                named.stream().filter(name -> !all.contains(name)).toList();
        if (!unknown.isEmpty()) {
            table.complain(key, "not among " + all + ": " + unknown);
        }
        return named.stream()
                .map(name -> Integer.toString(Math.max(0, all.indexOf(name))))
                .collect(Collectors.joining(","));
    }
}
