package loadbalancer.testbed;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import loadbalancer.proxy.Addresses;

/** The configuration file of a balancer that stands for a scenario. No I/O. */
final class BalancerToml {
    private BalancerToml() {}

    static String of(Scenario s, InetSocketAddress discovery) {
        return of(s, discovery, "rig", 0, 1);
    }

    /** One of so many, by its place among them. */
    static String of(Scenario s, InetSocketAddress discovery, String name, int rank, int balancers) {
        StringBuilder out = new StringBuilder();
        List<String> zones =
                s.boxes().stream().map(Scenario.Boxes::zone).distinct().sorted().toList();
        List<String> models =
                s.boxes().stream().map(Scenario.Boxes::model).distinct().toList();
        line(out, "[node]");
        line(out, "name = \"" + name + "\"");
        line(out, "listen = \"127.0.0.1:0\"");
        line(out, "management = \"127.0.0.1:0\"");
        line(out, "seed = " + (s.seed() + rank));
        line(out, "balancers = " + balancers);
        line(out, "rank = " + rank);
        line(out, "zone = \"" + zones.get(0) + "\"");
        line(out, "[membership]");
        line(out, "source = \"discovery\"");
        line(out, "address = \"" + Addresses.text(discovery) + "\"");
        line(out, "zones = " + list(zones));
        line(out, "models = " + list(models));
        for (Scenario.Kind kind : s.kinds()) {
            line(out, "[[class]]");
            line(out, "name = \"" + kind.name() + "\"");
            line(out, "effect = \"" + kind.effect().name().toLowerCase(Locale.ROOT) + "\"");
            line(out, "window = \"" + kind.window() + "us\"");
            line(out, "aim = \"" + kind.aim() + "us\"");
            line(out, "deadline = \"" + kind.deadline() + "us\"");
            line(out, "worth = " + kind.worth());
            line(out, "late = " + kind.lateShare());
        }
        line(out, "[retries]");
        line(out, "probes = true");
        line(out, "[rules]");
        line(out, "drain-grace = \"" + Demo.GRACE + "us\"");
        line(out, "cold-from = " + s.cold().from());
        line(out, "cold-ramp = \"" + s.cold().ramp() + "us\"");
        line(out, "cold-overload = " + s.cold().overload());
        line(out, "cold-fall = \"" + s.cold().fall() + "us\"");
        return out.toString();
    }

    /** The same with HTTP/3 on both sides; names the files cert.pem and key.pem beside it. */
    static String http3(Scenario s, InetSocketAddress discovery) {
        StringBuilder out = new StringBuilder(of(s, discovery));
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
