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

/** What may change in service, and how settings in use give way to other ones. Decides without I/O. */
public final class SettingsReload {
    private SettingsReload() {}

    /**
     * The keys that a file holds, whatever it says there: those of things that stand in a list count where
     * all of them have them.
     *
     * @param values by paths, joined by dots
     */
    static Set<String> keys(Map<String, String> values) {
        Set<String> keys = new TreeSet<>();
        Map<String, Set<String>> lists = new TreeMap<>(); // the numbers in use under each list
        Map<String, Set<String>> holders = new TreeMap<>(); // those that have such a key
        for (String path : values.keySet()) {
            String[] parts = path.split("\\.", 3);
            if (parts.length == 3 && parts[1].matches("\\d+")) {
                lists.computeIfAbsent(parts[0], k -> new HashSet<>()).add(parts[1]);
                holders.computeIfAbsent(parts[0] + ".*." + parts[2], k -> new HashSet<>())
                        .add(parts[1]);
            } else {
                keys.add(path);
            }
        }
        holders.forEach((key, numbers) -> {
            if (numbers.size()
                    == lists.get(key.substring(0, key.indexOf(".*."))).size()) {
                keys.add(key);
            }
        });
        return keys;
    }

    /** Why {@code fresh} can't take the place of {@code used} without a restart; null where it can. */
    static String problem(Boot used, Boot fresh) {
        Policy.Settings was = used.settings();
        Policy.Settings is = fresh.settings();
        if (new HashSet<>(fresh.classes()).size() < fresh.classes().size()) {
            return "Classes: a name stands twice in " + fresh.classes();
        }
        if (fresh.classes().contains("")) {
            return "Classes: one has no Name";
        }
        if (new HashSet<>(fresh.tenants()).size() < fresh.tenants().size()) {
            return "Realms: a name stands twice in " + fresh.tenants();
        }
        if (!fresh.zones().equals(used.zones()) || !fresh.kinds().equals(used.kinds())) {
            return "other zones or kinds need a restart";
        }
        if (is.balancers() != was.balancers() || is.rank() != was.rank() || is.zone() != was.zone()) {
            return "another place among the balancers needs a restart";
        }
        if (is.discovery() != was.discovery() || is.reports() != was.reports()) {
            return "another way of learning lists or loads needs a restart";
        }
        return null;
    }

    /**
     * {@code fresh}, and behind its classes those of {@code used} that it doesn't hold or holds with another
     * effect: clients hear of the change later than the balancer does.
     */
    public static Boot withFormer(Boot used, Boot fresh) {
        List<String> names = new ArrayList<>(fresh.classes());
        List<Policy.RequestClass> classes = new ArrayList<>(fresh.settings().classes());
        for (int i = 0; i < used.classes().size(); i++) {
            String name = used.classes().get(i);
            Policy.RequestClass kind = used.settings().classes().get(i);
            boolean held = false;
            for (int j = 0; j < names.size(); j++) {
                held |= names.get(j).equals(name) && classes.get(j).effect() == kind.effect();
            }
            if (!held) {
                names.add(name);
                classes.add(kind);
            }
        }
        Policy.Settings s = fresh.settings();
        return new Boot(
                new Policy.Settings(
                        s.balancers(),
                        s.rank(),
                        s.zone(),
                        classes,
                        s.tenants(),
                        s.overShareWorth(),
                        s.goal(),
                        s.prices(),
                        s.worthByWork(),
                        s.discovery(),
                        s.reports(),
                        s.warmKeys(),
                        s.limits(),
                        s.bounds(),
                        s.tick()),
                fresh.loadFields(),
                names,
                fresh.tenants(),
                fresh.zones(),
                fresh.kinds(),
                fresh.idleClose());
    }
}
