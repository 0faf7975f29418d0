package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;
import org.junit.jupiter.api.Test;

class SettingsReloadTest {
    private static SettingsReader.Boot boot(int balancers, String... namesAndEffects) {
        Map<String, String> values = new HashMap<>(Map.of(
                "Balancers",
                Integer.toString(balancers),
                "Limits.TryLimit",
                "3",
                "Limits.MayDuplicate",
                "1",
                "Limits.Cancel",
                "1",
                "Limits.Probes",
                "0",
                "MembershipMode",
                "push",
                "Quantum",
                "1000"));
        values.putAll(Map.of(
                "Rules.AnswerSlack",
                "1",
                "Rules.DrainGrace",
                "1",
                "Rules.ColdFrom",
                "0.5",
                "Rules.RampTime",
                "1",
                "Rules.OverloadFactor",
                "2",
                "Rules.Fall",
                "1"));
        values.put("Classes.count", Integer.toString(namesAndEffects.length / 2));
        for (int i = 0; i < namesAndEffects.length; i += 2) {
            String at = "Classes." + i / 2 + ".";
            values.put(at + "Name", namesAndEffects[i]);
            values.put(at + "Idempotency", namesAndEffects[i + 1]);
            values.put(at + "GoalTime", "1000");
            values.put(at + "GiveUp", "2000");
        }
        return SettingsReader.read(values, (path, what) -> new Config.Bad(path + ": " + what));
    }

    @Test
    void keysOfAListCountWhereAllHaveThem() {
        assertEquals(
                Set.of("Quantum", "Classes.count", "Classes.*.Name", "Limits.Cancel"),
                SettingsReload.keys(Map.of(
                        "Quantum",
                        "1",
                        "Classes.count",
                        "2",
                        "Classes.0.Name",
                        "a",
                        "Classes.1.Name",
                        "b",
                        "Classes.1.KeyTtl",
                        "5",
                        "Limits.Cancel",
                        "1")));
    }

    @Test
    void whatServersAreNumberedByNeedsARestartAndNamesStandOnce() {
        assertNull(SettingsReload.problem(boot(2, "a", "safe"), boot(2, "b", "unsafe", "a", "keyed")));
        assertTrue(SettingsReload.problem(boot(2, "a", "safe"), boot(3, "a", "safe"))
                .contains("restart"));
        assertTrue(SettingsReload.problem(boot(2, "a", "safe"), boot(2, "a", "safe", "a", "safe"))
                .contains("twice"));
    }

    @Test
    void whatWasDroppedOrHasAnotherEffectFollowsBehind() {
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
