package loadbalancer.config.toml;

import java.util.HashMap;
import java.util.Map;

/** Collects the {@code path=value} pairs that {@link loadbalancer.settings.SettingsReader} reads. */
final class SettingValues {
    private final Map<String, String> values = new HashMap<>();

    void put(String path, Object value) {
        values.put(path, String.valueOf(value));
    }

    Map<String, String> asMap() {
        return values;
    }
}
