package junctionhead.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import junctionhead.Policy;
import junctionhead.SettingsReader;

/** A list of upstreams in discovery's form: all of them, or those that changed. */
record Targets(long rev, boolean all, List<Target> list) {
    /** An upstream as the module knows it, and where this balancer reaches it. */
    record Target(Policy.Server server, InetSocketAddress endpoint) { }

    static Targets parse(String json, SettingsReader.Boot boot) {
        try {
            return of(JSON.std.anyFrom(json), boot);
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
    }

    /** Throws IllegalArgumentException where it isn't such a list. */
    static Targets of(Object json, SettingsReader.Boot boot) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("targets") instanceof List<?> entries)) {
            throw new IllegalArgumentException("no list of targets");
        }
        List<Target> list = new ArrayList<>();
        for (Object entry : entries) {
            if (!(entry instanceof Map<?, ?> e) || !(e.get("uid") instanceof String uid) || uid.isEmpty()) {
                throw new IllegalArgumentException("a target without uid");
            }
            Policy.State state = switch (String.valueOf(e.get("state"))) {
                case "in_service" -> Policy.State.UP;
                case "terminating" -> Policy.State.DRAINING;
                case "terminated" -> Policy.State.GONE;
                default -> throw new IllegalArgumentException("unknown state: '" + e.get("state") + "'");
            };
            InetSocketAddress endpoint = state == Policy.State.GONE && e.get("endpoint") == null ? null
                : address(String.valueOf(e.get("endpoint")));
            double weight = number(e.get("capacity_hint"), 1);
            list.add(new Target(new Policy.Server(uid, state, (long) (number(e.get("boot_ms"), 0) * 1000),
                weight > 0 ? weight : 1, (int) number(e.get("pod_group"), -1),
                boot.kinds().indexOf(Config.plain(e.get("model"))),
                boot.zones().indexOf(Config.plain(e.get("az")))), endpoint));
        }
        return new Targets((long) number(map.get("rev"), 0), Boolean.TRUE.equals(map.get("all")),
            List.copyOf(list));
    }

    List<Policy.Server> servers() {
        return list.stream().map(Target::server).toList();
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon <= 0 || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new IllegalArgumentException("not address:port: '" + text + "'");
        }
        return Config.literal(text.substring(0, colon), Integer.parseInt(port));
    }

    private static double number(Object value, double otherwise) {
        return value instanceof Number n && Double.isFinite(n.doubleValue()) ? n.doubleValue() : otherwise;
    }
}
