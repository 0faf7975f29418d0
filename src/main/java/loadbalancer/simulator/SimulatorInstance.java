package loadbalancer.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;
import loadbalancer.settings.LoadReport;
import loadbalancer.settings.SettingsReader;

/**
 * One balancer of the simulation: translates its events into calls of its policy, with one method per message. The
 * fields of a message are read from left to right as far as they are used, and the first malformed one is reported.
 *
 * @param name the instance's name in the wire protocol
 * @param policy the instance's policy
 * @param boot the settings that the instance was started with
 */
record SimulatorInstance(String name, Policy policy, SettingsReader.Boot boot) {
    /** The nonce of a policy's only timer. */
    static final String WAKE_NONCE = "wake";

    private static final int OPTION_HAS_WORK_HINT = 1;
    private static final int OPTION_RESUBMISSION = 2;
    private static final int UNKNOWN_WORK = -1;
    private static final int MAX_INDEX = Integer.MAX_VALUE;

    /**
     * Passes an event to the policy.
     *
     * @param nowMicros the batch's time
     * @param lists the endpoint lists that a SYNC message may name
     * @param actions receives the actions of the policy
     */
    void handle(SimulatorMessage message, long nowMicros, EndpointListBuffers lists, Policy.Actions actions) {
        switch (message.name()) {
            case "SYNC" -> updateEndpoints(message, nowMicros, lists, actions);
            case "INBOUND" -> request(message, nowMicros, actions);
            case "DUE" -> timer(message, nowMicros, actions);
            case "RESPONSE" -> outcome(message, nowMicros, actions);
            case "ACK_FIRST" -> streamStarted(message, nowMicros, actions);
            case "WITHDRAWN" -> clientDisconnected(message, nowMicros, actions);
            case "PROBE_RESULT" -> probeCompleted(message, nowMicros, actions);
            case "MAIL" -> peerMessage(message, nowMicros, actions);
            default -> throw message.malformed(message.name(), "unknown message");
        }
    }

    private void updateEndpoints(
            SimulatorMessage message, long nowMicros, EndpointListBuffers lists, Policy.Actions actions) {
        message.expectFields("How", "SeqNo", "Buffer");
        Policy.ListKind kind = listKind(message);
        message.integer(2, "SeqNo", 0);
        List<Policy.Server> servers = kind == Policy.ListKind.FAILED ? List.of() : lists.get(message, 3);
        policy.updateEndpoints(nowMicros, kind, servers, actions);
    }

    private static Policy.ListKind listKind(SimulatorMessage message) {
        return switch (message.text(1, "How")) {
            case "Persisted" -> Policy.ListKind.PERSISTED;
            case "Complete" -> Policy.ListKind.COMPLETE;
            case "Partial" -> Policy.ListKind.PARTIAL;
            case "Error" -> Policy.ListKind.FAILED;
            default -> throw message.malformed("How", "unknown value: '" + message.raw(1, "How") + "'");
        };
    }

    private void request(SimulatorMessage message, long nowMicros, Policy.Actions actions) {
        message.expectFields("Req", "Priority", "Account", "NameKey", "Ttl", "Hint", "Options");
        long options = message.integer(7, "Options", 0);
        policy.request(
                nowMicros,
                message.text(1, "Req"),
                message.index(2, "Priority", boot.settings().classes().size()),
                tenant(message),
                message.isAbsent(4, "NameKey") ? null : message.text(4, "NameKey"),
                message.integer(5, "Ttl"),
                (options & OPTION_HAS_WORK_HINT) == 0 ? UNKNOWN_WORK : message.integer(6, "Hint", UNKNOWN_WORK),
                (options & OPTION_RESUBMISSION) != 0,
                actions);
    }

    // Without tenants in the settings every request belongs to tenant 0.
    private int tenant(SimulatorMessage message) {
        int tenantCount = Math.max(1, boot.settings().tenants().size());
        return message.isAbsent(3, "Account") ? 0 : message.index(3, "Account", tenantCount);
    }

    private void timer(SimulatorMessage message, long nowMicros, Policy.Actions actions) {
        message.expectFields("Nonce");
        if (message.text(1, "Nonce").equals(WAKE_NONCE)) {
            policy.wake(nowMicros, actions);
        }
    }

    private void outcome(SimulatorMessage message, long nowMicros, Policy.Actions actions) {
        message.expectFields("Req", "SendNo", "Upstream", "Rc", "Lag", "Closed", "Usage");
        message.text(3, "Upstream");
        policy.outcome(
                nowMicros,
                message.text(1, "Req"),
                message.index(2, "SendNo", MAX_INDEX),
                outcomeCode(message, 4),
                message.integer(5, "Lag"),
                message.flag(6, "Closed"),
                load(message, 7),
                actions);
    }

    private void streamStarted(SimulatorMessage message, long nowMicros, Policy.Actions actions) {
        message.expectFields("Req", "SendNo", "Upstream", "Lag");
        policy.streamStarted(nowMicros, message.text(1, "Req"), message.index(2, "SendNo", MAX_INDEX), actions);
    }

    private void clientDisconnected(SimulatorMessage message, long nowMicros, Policy.Actions actions) {
        message.expectFields("Req");
        policy.clientDisconnected(nowMicros, message.text(1, "Req"), actions);
    }

    private void probeCompleted(SimulatorMessage message, long nowMicros, Policy.Actions actions) {
        message.expectFields("Upstream", "Lag", "Rc", "Usage");
        policy.probeCompleted(
                nowMicros,
                message.text(1, "Upstream"),
                outcomeCode(message, 3),
                message.integer(2, "Lag"),
                load(message, 4),
                actions);
    }

    private void peerMessage(SimulatorMessage message, long nowMicros, Policy.Actions actions) {
        message.expectFields("Src", "Data");
        policy.peerMessage(nowMicros, message.index(1, "Src", MAX_INDEX), message.bytes(2, "Data"), actions);
    }

    private static Policy.Outcome outcomeCode(SimulatorMessage message, int index) {
        return switch (message.text(index, "Rc")) {
            case "200" -> Policy.Outcome.OK;
            case "502" -> Policy.Outcome.ERROR;
            case "429" -> Policy.Outcome.FULL;
            case "408" -> Policy.Outcome.TIMEOUT;
            case "521" -> Policy.Outcome.CONNECT_FAILED;
            case "520" -> Policy.Outcome.RESET;
            case "444" -> Policy.Outcome.CANCELLED;
            case "409" -> Policy.Outcome.NOT_SENT;
            default -> throw message.malformed("Rc", "unknown code: '" + message.raw(index, "Rc") + "'");
        };
    }

    /** The load report in a field: values in the order given by the settings; null where there is no report. */
    private Policy.Load load(SimulatorMessage message, int index) {
        if (message.isAbsent(index, "Usage")) {
            return null;
        }
        List<String> names = boot.loadFields();
        String[] values = message.raw(index, "Usage").split(",", -1);
        if (values.length < names.size()) {
            throw message.malformed("Usage", names.size() + " values expected, " + values.length + " found");
        }
        Map<String, Double> valuesByName = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            if (LoadReport.knows(names.get(i)) && !values[i].equals("-")) {
                valuesByName.put(names.get(i), message.parseDecimal(values[i], "Usage"));
            }
        }
        return LoadReport.of(valuesByName);
    }
}
