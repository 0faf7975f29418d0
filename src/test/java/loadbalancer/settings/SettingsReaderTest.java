package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static Map<String, String> flatten(Object tree) {
        Map<String, String> values = new HashMap<>();
        SettingsReader.flatten("", tree, values);
        return values;
    }

    @Test
    void nestedMapsAreJoinedByDotsAndListsOfValuesByCommas() {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("TryLimit", 3);
        limits.put("Cancel", true);
        limits.put("Probes", null);
        assertEquals(
                Map.of("Limits.TryLimit", "3", "Limits.Cancel", "true", "Areas", "a,b_c,null"),
                flatten(Map.of("Limits", limits, "Areas", Arrays.asList("a", "b c", null))));
    }

    @Test
    void listsOfMapsAreNumberedAndCounted() {
        assertEquals(
                Map.of("Classes.count", "2", "Classes.0.Name", "read", "Classes.1.Name", "write_all"),
                flatten(Map.of("Classes", List.of(Map.of("Name", "read"), Map.of("Name", "write,all")))));
    }
}
