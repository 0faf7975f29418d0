package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RequestLogTest {
    private static boolean isOn(Map<String, String> environment) {
        return RequestLog.of(environment, line -> {}).isOn();
    }

    @Test
    void theVariableSwitchesTheLogOn() {
        List<String> lines = new ArrayList<>();
        RequestLog log = RequestLog.of(Map.of("ROUTER_REQUEST_LOG", "on"), lines::add);
        assertTrue(log.isOn());
        log.request(RequestLog.Event.REQUEST_TAKEN, "r1", 5);
        assertEquals(List.of("event=request_taken request=r1 5"), lines);
    }

    @Test
    void theFormerVariableIsReadWhereTheNewOneIsNotSet() {
        assertTrue(isOn(Map.of("HONEYSPINDLE_REQUEST_LOG", "on")));
        assertFalse(isOn(Map.of("HONEYSPINDLE_REQUEST_LOG", "off")));
    }

    @Test
    void theNewVariableOverridesTheFormerOne() {
        assertFalse(isOn(Map.of("ROUTER_REQUEST_LOG", "off", "HONEYSPINDLE_REQUEST_LOG", "on")));
        assertTrue(isOn(Map.of("ROUTER_REQUEST_LOG", "on", "HONEYSPINDLE_REQUEST_LOG", "off")));
    }

    @Test
    void theLogIsOffByDefault() {
        assertSame(RequestLog.OFF, RequestLog.of(Map.of(), line -> {}));
    }
}
