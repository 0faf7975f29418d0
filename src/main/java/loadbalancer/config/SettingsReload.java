package loadbalancer.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader.Boot;

/** Decides which settings may change without a restart, and merges old and new ones. Stateless, no I/O. */
public final class SettingsReload {
    private static final String ANY_ENTRY = ".*.";

    private SettingsReload() {}

    /**
     * Returns the keys that a file holds, whatever their values. A key of list entries, written
     * {@code Classes.*.Name}, counts where every entry of its list has it.
     *
     * @param values settings by path, the parts joined by dots
     */
    static Set<String> keys(Map<String, String> values) {
        Set<String> keys = new TreeSet<>();
        Map<String, Set<String>> entriesByList = new TreeMap<>();
        Map<String, Set<String>> entriesByKey = new TreeMap<>(); // those that have such a key
        for (String path : values.keySet()) {
            String[] parts = path.split("\\.", 3);
            if (parts.length == 3 && parts[1].matches("\\d+")) {
                String list = parts[0];
                String entry = parts[1];
                entriesByList.computeIfAbsent(list, key -> new HashSet<>()).add(entry);
                entriesByKey
                        .computeIfAbsent(list + ANY_ENTRY + parts[2], key -> new HashSet<>())
                        .add(entry);
            } else {
                keys.add(path);
            }
        }
        entriesByKey.forEach((key, entries) -> {
            String list = key.substring(0, key.indexOf(ANY_ENTRY));
            if (entries.size() == entriesByList.get(list).size()) {
                keys.add(key);
            }
        });
        return keys;
    }

    /** Returns why {@code reloaded} can't replace {@code current} without a restart; null where it can. */
    static String problem(Boot current, Boot reloaded) {
        Policy.Settings before = current.settings();
        Policy.Settings after = reloaded.settings();
        if (hasDuplicates(reloaded.classes())) {
            return "Classes: a name stands twice in " + reloaded.classes();
        }
        if (reloaded.classes().contains("")) {
            return "Classes: one has no Name";
        }
        if (hasDuplicates(reloaded.tenants())) {
            return "Realms: a name stands twice in " + reloaded.tenants();
        }
        if (!reloaded.zones().equals(current.zones())
                || !reloaded.machineModels().equals(current.machineModels())) {
            return "other zones or kinds need a restart";
        }
        if (after.balancers() != before.balancers() || after.rank() != before.rank() || after.zone() != before.zone()) {
            return "another place among the balancers needs a restart";
        }
        if (after.discovery() != before.discovery() || after.reports() != before.reports()) {
            return "another way of learning lists or loads needs a restart";
        }
        return null;
    }

    private static boolean hasDuplicates(List<String> names) {
        return new HashSet<>(names).size() < names.size();
    }

    /**
     * Returns {@code reloaded} with those classes of {@code current} appended that it lacks, or has with another
     * effect: clients learn of the change later than the balancer, and go on using the former classes.
     */
    public static Boot withFormer(Boot current, Boot reloaded) {
        List<String> names = new ArrayList<>(reloaded.classes());
        List<Policy.RequestClass> classes = new ArrayList<>(reloaded.settings().classes());
        for (int i = 0; i < current.classes().size(); i++) {
            String name = current.classes().get(i);
            Policy.RequestClass former = current.settings().classes().get(i);
            if (!contains(names, classes, name, former.effect())) {
                names.add(name);
                classes.add(former);
            }
        }
        return new Boot(
                withClasses(reloaded.settings(), classes),
                reloaded.loadFields(),
                names,
                reloaded.tenants(),
                reloaded.zones(),
                reloaded.machineModels(),
                reloaded.idleCloseMicros());
    }

    private static boolean contains(
            List<String> names, List<Policy.RequestClass> classes, String name, Policy.Effect effect) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equals(name) && classes.get(i).effect() == effect) {
                return true;
            }
        }
        return false;
    }

    private static Policy.Settings withClasses(Policy.Settings settings, List<Policy.RequestClass> classes) {
        return new Policy.Settings(
                settings.balancers(),
                settings.rank(),
                settings.zone(),
                classes,
                settings.tenants(),
                settings.overShareWorth(),
                settings.goal(),
                settings.prices(),
                settings.worthByWork(),
                settings.discovery(),
                settings.reports(),
                settings.warmKeys(),
                settings.limits(),
                settings.bounds(),
                settings.clockTickMicros());
    }
}
