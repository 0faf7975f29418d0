package loadbalancer.proxy;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.SettingsReader;

/** Settings of one class, {@code read}, with a deadline of 100 ms and up to 3 attempts. */
final class TestSettings {
    private TestSettings() {}

    static SettingsReader.Boot boot() {
        return boot("safe");
    }

    static SettingsReader.Boot boot(String idempotency) {
        Map<String, String> values = new HashMap<>(Map.of(
                "Balancers",
                "1",
                "Quantum",
                "1000",
                "MembershipMode",
                "push",
                "Classes.count",
                "1",
                "Classes.0.Name",
                "read",
                "Classes.0.Idempotency",
                idempotency,
                "Classes.0.GoalTime",
                "20000",
                "Classes.0.GiveUp",
                "100000",
                "Classes.0.Gain",
                "4",
                "Classes.0.LateShare",
                "0.25"));
        values.putAll(Map.of(
                "Limits.TryLimit",
                "3",
                "Limits.MayDuplicate",
                "true",
                "Limits.Cancel",
                "true",
                "Limits.Probes",
                "false",
                "Rules.AnswerSlack",
                "8000",
                "Rules.DrainGrace",
                "1000000",
                "Rules.ColdFrom",
                "0.3",
                "Rules.RampTime",
                "1",
                "Rules.OverloadFactor",
                "3",
                "Rules.Fall",
                "1"));
        return SettingsReader.read(values, (path, what) -> new IllegalArgumentException(path + what));
    }
}
