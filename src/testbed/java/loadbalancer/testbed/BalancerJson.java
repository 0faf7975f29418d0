package loadbalancer.testbed;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** The configuration that the platform would give a balancer for a scenario, as the objects of its JSON. */
final class BalancerJson {
    private static final int MAX_SOCKETS = 1024;
    private static final int QUANTUM_MICROS = 2_000;

    private BalancerJson() {}

    /**
     * @param known the endpoint list that the balancer knows from before, as JSON
     * @throws IOException where {@code known} is no JSON object
     */
    static Map<String, Object> of(Scenario scenario, String known) throws IOException {
        return Map.of(
                "seed",
                Long.toHexString(scenario.seed()),
                "limits",
                Map.of("sockets", MAX_SOCKETS),
                "settings",
                settings(scenario),
                "known",
                JSON.std.mapFrom(known));
    }

    private static Map<String, Object> settings(Scenario scenario) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Balancers", 1);
        settings.put("MembershipMode", "ask");
        settings.put("Quantum", QUANTUM_MICROS);
        settings.put(
                "Areas",
                new ArrayList<>(new TreeSet<>(scenario.serverGroups().stream()
                        .map(Scenario.ServerGroup::zone)
                        .toList())));
        settings.put(
                "Kinds",
                scenario.serverGroups().stream()
                        .map(Scenario.ServerGroup::model)
                        .distinct()
                        .toList());
        settings.put(
                "Classes",
                scenario.classes().stream().map(BalancerJson::requestClass).toList());
        settings.put("Limits", limits());
        settings.put("Rules", rules(scenario.slowStart()));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        settings.put("WorthBy", "work");
        return settings;
    }

    private static Map<String, Object> requestClass(Scenario.RequestClass requestClass) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("Name", requestClass.name());
        json.put("Idempotency", requestClass.effect().name().toLowerCase(Locale.ROOT));
        json.put("DedupScope", "cell");
        json.put("KeyTtl", requestClass.keyTtlMicros());
        json.put("GoalTime", requestClass.latencyObjectiveMicros());
        json.put("GiveUp", requestClass.deadlineMicros());
        json.put("Gain", requestClass.priorityWeight());
        json.put("LateShare", requestClass.lateShare());
        return json;
    }

    private static Map<String, Object> limits() {
        return Map.of(
                "TryLimit",
                3,
                "MayDuplicate",
                true,
                "Cancel",
                true,
                "Probes",
                true,
                "DialTimeout",
                500_000,
                "IdleClose",
                30_000_000,
                "RetryAfter",
                true,
                "MaxRetryAfter",
                2_000_000);
    }

    private static Map<String, Object> rules(Scenario.SlowStart slowStart) {
        return Map.of(
                "AnswerSlack",
                8_000,
                "DrainGrace",
                Demo.DRAIN_GRACE_MICROS,
                "AskWithin",
                10_000_000,
                "ColdFrom",
                slowStart.initialSpeed(),
                "RampTime",
                slowStart.rampMicros(),
                "OverloadFactor",
                slowStart.overloadFactor(),
                "Fall",
                slowStart.overloadMicros());
    }
}
