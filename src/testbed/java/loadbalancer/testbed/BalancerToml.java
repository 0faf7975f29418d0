package loadbalancer.testbed;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import loadbalancer.proxy.Addresses;

/** Writes the configuration file that a balancer needs for a scenario. Does no I/O. */
final class BalancerToml {
    private BalancerToml() {}

    /** The file of a single balancer. */
    static String of(Scenario scenario, InetSocketAddress discovery) {
        return of(scenario, discovery, "rig", 0, 1);
    }

    /** The file of one of several balancers, by its rank among them. */
    static String of(Scenario scenario, InetSocketAddress discovery, String name, int rank, int balancers) {
        StringBuilder out = new StringBuilder();
        List<String> zones = scenario.serverGroups().stream()
                .map(Scenario.ServerGroup::zone)
                .distinct()
                .sorted()
                .toList();
        List<String> models = scenario.serverGroups().stream()
                .map(Scenario.ServerGroup::model)
                .distinct()
                .toList();
        line(out, "[node]");
        line(out, "name = \"" + name + "\"");
        line(out, "listen = \"127.0.0.1:0\"");
        line(out, "management = \"127.0.0.1:0\"");
        line(out, "seed = " + (scenario.seed() + rank));
        line(out, "balancers = " + balancers);
        line(out, "rank = " + rank);
        line(out, "zone = \"" + zones.get(0) + "\"");
        line(out, "[membership]");
        line(out, "source = \"discovery\"");
        line(out, "address = \"" + Addresses.text(discovery) + "\"");
        line(out, "zones = " + list(zones));
        line(out, "models = " + list(models));
        for (Scenario.RequestClass requestClass : scenario.classes()) {
            line(out, "[[class]]");
            line(out, "name = \"" + requestClass.name() + "\"");
            line(out, "effect = \"" + requestClass.effect().name().toLowerCase(Locale.ROOT) + "\"");
            line(out, "window = \"" + requestClass.keyTtlMicros() + "us\"");
            line(out, "aim = \"" + requestClass.latencyObjectiveMicros() + "us\"");
            line(out, "deadline = \"" + requestClass.deadlineMicros() + "us\"");
            line(out, "worth = " + requestClass.priorityWeight());
            line(out, "late = " + requestClass.lateShare());
        }
        line(out, "[retries]");
        line(out, "probes = true");
        line(out, "[rules]");
        line(out, "drain-grace = \"" + Demo.DRAIN_GRACE_MICROS + "us\"");
        line(out, "cold-from = " + scenario.slowStart().initialSpeed());
        line(out, "cold-ramp = \"" + scenario.slowStart().rampMicros() + "us\"");
        line(out, "cold-overload = " + scenario.slowStart().overloadFactor());
        line(out, "cold-fall = \"" + scenario.slowStart().overloadMicros() + "us\"");
        return out.toString();
    }

    /** The same with HTTP/3 on both sides; refers to the files cert.pem and key.pem next to it. */
    static String http3(Scenario scenario, InetSocketAddress discovery) {
        StringBuilder out = new StringBuilder(of(scenario, discovery));
        line(out, "[http3]");
        line(out, "listen = \"127.0.0.1:0\"");
        line(out, "certificate = \"cert.pem\"");
        line(out, "key = \"key.pem\"");
        line(out, "trust = \"cert.pem\"");
        line(out, "connections = 1000"); // all clients of a run come from one address
        line(out, "per-address = 1000");
        return out.toString();
    }

    private static void line(StringBuilder out, String text) {
        out.append(text).append('\n');
    }

    private static String list(List<String> names) {
        return names.stream().map(n -> "\"" + n + "\"").collect(Collectors.joining(", ", "[", "]"));
    }
}
