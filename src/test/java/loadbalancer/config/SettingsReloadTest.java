package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;
import org.junit.jupiter.api.Test;

class SettingsReloadTest {
    /** What a balancer is started with, with classes given as name, effect, name, effect ... */
    private static SettingsReader.Boot boot(int balancers, String... namesAndEffects) {
        Map<String, String> values = new HashMap<>(Map.ofEntries(
                Map.entry("Balancers", Integer.toString(balancers)),
                Map.entry("Limits.TryLimit", "3"),
                Map.entry("Limits.MayDuplicate", "1"),
                Map.entry("Limits.Cancel", "1"),
                Map.entry("Limits.Probes", "0"),
                Map.entry("MembershipMode", "push"),
                Map.entry("Quantum", "1000"),
                Map.entry("Rules.AnswerSlack", "1"),
                Map.entry("Rules.DrainGrace", "1"),
                Map.entry("Rules.ColdFrom", "0.5"),
                Map.entry("Rules.RampTime", "1"),
                Map.entry("Rules.OverloadFactor", "2"),
                Map.entry("Rules.Fall", "1")));
        values.put("Classes.count", Integer.toString(namesAndEffects.length / 2));
        for (int i = 0; i < namesAndEffects.length; i += 2) {
            String prefix = "Classes." + i / 2 + ".";
            values.put(prefix + "Name", namesAndEffects[i]);
            values.put(prefix + "Idempotency", namesAndEffects[i + 1]);
            values.put(prefix + "GoalTime", "1000");
            values.put(prefix + "GiveUp", "2000");
        }
        return SettingsReader.read(values, (path, what) -> new Config.Bad(path + ": " + what));
    }

    @Test
    void keyOfListEntriesCountsOnlyWhereEveryEntryHasIt() {
        assertEquals(
                Set.of("Quantum", "Classes.count", "Classes.*.Name", "Limits.Cancel"),
                SettingsReload.keys(Map.ofEntries(
                        Map.entry("Quantum", "1"),
                        Map.entry("Classes.count", "2"),
                        Map.entry("Classes.0.Name", "a"),
                        Map.entry("Classes.1.Name", "b"),
                        Map.entry("Classes.1.KeyTtl", "5"),
                        Map.entry("Limits.Cancel", "1"))));
    }

    @Test
    void addedReorderedAndChangedClassesNeedNoRestart() {
        assertNull(SettingsReload.problem(boot(2, "a", "safe"), boot(2, "b", "unsafe", "a", "keyed")));
    }

    @Test
    void otherBalancerCountNeedsARestart() {
        assertEquals(
                "another place among the balancers needs a restart",
                SettingsReload.problem(boot(2, "a", "safe"), boot(3, "a", "safe")));
    }

    @Test
    void duplicateClassNameIsRejected() {
        assertEquals(
                "Classes: a name stands twice in [a, a]",
                SettingsReload.problem(boot(2, "a", "safe"), boot(2, "a", "safe", "a", "safe")));
    }

    @Test
    void classWithoutNameIsRejected() {
        assertEquals(
                "Classes: one has no Name",
                SettingsReload.problem(boot(2, "a", "safe"), boot(2, "a", "safe", "", "safe")));
    }

    @Test
    void droppedClassesAndThoseWithAnotherEffectAreAppended() {
        SettingsReader.Boot merged = SettingsReload.withFormer(
                boot(2, "a", "safe", "b", "safe", "c", "keyed"), boot(2, "n", "unsafe", "b", "unsafe", "c", "keyed"));
        assertEquals(List.of("n", "b", "c", "a", "b"), merged.classes());
        assertEquals(
                List.of(
                        Policy.Effect.UNSAFE,
                        Policy.Effect.UNSAFE,
                        Policy.Effect.KEYED,
                        Policy.Effect.SAFE,
                        Policy.Effect.SAFE),
                merged.settings().classes().stream()
                        .map(Policy.RequestClass::effect)
                        .toList());
        assertEquals(merged, SettingsReload.withFormer(merged, merged));
    }
}
