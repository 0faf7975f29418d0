package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.SettingsReader;

/** Turns the path=value pairs of an ENLIST line into what an instance is started with. */
final class SimulatorSettings {
    private SimulatorSettings() {}

    static SettingsReader.Boot read(SimulatorMessage frame, int firstPair) {
        Map<String, String> values = new HashMap<>();
        for (int i = firstPair; i <= frame.size(); i++) {
            String pair = frame.raw(i, "BootInfo");
            int at = pair.indexOf('=');
            if (at <= 0) {
                throw frame.bad("BootInfo", "not path=value: '" + pair + "'");
            }
            values.put(pair.substring(0, at), pair.substring(at + 1));
        }
        return SettingsReader.read(values, frame::bad);
    }
}
