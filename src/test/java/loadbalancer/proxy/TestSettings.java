package loadbalancer.proxy;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.SettingsReader;

/** Settings of one balancer with up to 3 attempts, hedged requests and cancellation; times in µs. */
final class TestSettings {
    private static final Map<String, String> LIMITS = Map.of(
            "Limits.TryLimit", "3",
            "Limits.MayDuplicate", "true",
            "Limits.Cancel", "true",
            "Limits.Probes", "false");

    private static final Map<String, String> RULES = Map.of(
            "Rules.AnswerSlack", "8000",
            "Rules.DrainGrace", "1000000",
            "Rules.ColdFrom", "0.3",
            "Rules.RampTime", "1",
            "Rules.OverloadFactor", "3",
            "Rules.Fall", "1");

    /** A request class; {@code idempotency} is the value in the settings. */
    record RequestClass(String name, String idempotency, long latencyObjectiveMicros, long deadlineMicros) {}

    private TestSettings() {}

    /** Settings with one class, {@code read}, which is safe to retry and has a deadline of 100 ms. */
    static SettingsReader.Boot boot() {
        return boot("safe");
    }

    /** Settings with the class {@code read} and the given idempotency. */
    static SettingsReader.Boot boot(String idempotency) {
        return boot(new RequestClass("read", idempotency, 20_000, 100_000));
    }

    /** Settings with one class with idempotency keys, whose servers drop repeats in that scope for that time. */
    static SettingsReader.Boot keyed(String scope, long keyTtlMicros, long deadlineMicros) {
        return boot(
                Map.of("Classes.0.DedupScope", scope, "Classes.0.KeyTtl", Long.toString(keyTtlMicros)),
                new RequestClass("pay", "keyed", 20_000, deadlineMicros));
    }

    /** Settings with the given classes. */
    static SettingsReader.Boot boot(RequestClass... classes) {
        return boot(Map.of(), classes);
    }

    private static SettingsReader.Boot boot(Map<String, String> others, RequestClass... classes) {
        Map<String, String> values = new HashMap<>(LIMITS);
        values.putAll(RULES);
        values.put("Balancers", "1");
        values.put("Quantum", "1000");
        values.put("MembershipMode", "push");
        values.put("Classes.count", Integer.toString(classes.length));
        for (int i = 0; i < classes.length; i++) {
            String prefix = "Classes." + i + ".";
            values.put(prefix + "Name", classes[i].name());
            values.put(prefix + "Idempotency", classes[i].idempotency());
            values.put(prefix + "GoalTime", Long.toString(classes[i].latencyObjectiveMicros()));
            values.put(prefix + "GiveUp", Long.toString(classes[i].deadlineMicros()));
            values.put(prefix + "Gain", "4");
            values.put(prefix + "LateShare", "0.25");
        }
        values.putAll(others);
        return SettingsReader.read(values, (path, what) -> new IllegalArgumentException(path + what));
    }
}
