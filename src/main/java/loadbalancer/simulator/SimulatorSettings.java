package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.SettingsReader;

/** Converts the {@code path=value} fields of an ENLIST message into the settings that an instance is started with. */
final class SimulatorSettings {
    private static final String FIELD = "BootInfo";

    private SimulatorSettings() {}

    /**
     * Reads all fields from {@code firstIndex} on.
     *
     * @throws SimulatorProtocolException for a field that is not a pair, and for a missing or malformed setting
     */
    static SettingsReader.Boot read(SimulatorMessage message, int firstIndex) {
        Map<String, String> values = new HashMap<>();
        for (int i = firstIndex; i <= message.fieldCount(); i++) {
            String pair = message.raw(i, FIELD);
            int separator = pair.indexOf('=');
            if (separator <= 0) {
                throw message.malformed(FIELD, "not path=value: '" + pair + "'");
            }
            values.put(pair.substring(0, separator), pair.substring(separator + 1));
        }
        return SettingsReader.read(values, message::malformed);
    }
}
