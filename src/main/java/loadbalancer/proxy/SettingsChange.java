package loadbalancer.proxy;

import java.util.List;
import loadbalancer.settings.SettingsReader;

/**
 * What a reload changes in the numbering of classes and tenants: those of the same name are the same.
 *
 * @param formerClasses for each class its number before, -1 where it is new
 * @param formerTenants for each tenant its number before, -1 where it is new
 */
record SettingsChange(List<Integer> formerClasses, List<Integer> formerTenants) {
    static SettingsChange between(SettingsReader.Boot before, SettingsReader.Boot after) {
        return new SettingsChange(
                formerNumbers(after.classes(), before.classes()), formerNumbers(after.tenants(), before.tenants()));
    }

    // Of several by one name the first is meant: the others are former ones that are about to be removed.
    private static List<Integer> formerNumbers(List<String> names, List<String> formerNames) {
        return names.stream().map(formerNames::indexOf).toList();
    }
}
