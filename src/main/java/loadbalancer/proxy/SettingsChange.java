package loadbalancer.proxy;

import java.util.List;
import loadbalancer.settings.SettingsReader;

/**
 * The changes that a reload makes to the numbers of classes and tenants, which are matched by name.
 *
 * @param formerClasses the former number of each class, -1 for a new class
 * @param formerTenants the former number of each tenant, -1 for a new tenant
 */
record SettingsChange(List<Integer> formerClasses, List<Integer> formerTenants) {
    static SettingsChange between(SettingsReader.Boot before, SettingsReader.Boot after) {
        return new SettingsChange(
                formerNumbers(after.classes(), before.classes()), formerNumbers(after.tenants(), before.tenants()));
    }

    // If a name occurs more than once, the first entry is matched: the others are former entries about to be removed.
    private static List<Integer> formerNumbers(List<String> names, List<String> formerNames) {
        return names.stream().map(formerNames::indexOf).toList();
    }
}
