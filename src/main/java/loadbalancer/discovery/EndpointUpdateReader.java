package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.settings.SettingsReader;

/** Reads lists of upstreams in the form of the platform's discovery. */
public final class EndpointUpdateReader {
    private static final JsonFactory FACTORY = new JsonFactory();

    private EndpointUpdateReader() {}

    public static EndpointUpdate parse(String json, SettingsReader.Boot boot) {
        try (JsonParser parser = FACTORY.createParser(json)) {
            Object value = JSON.std.anyFrom(parser);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("more than one value");
            }
            return of(value, boot);
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
    }

    /** Throws IllegalArgumentException where it isn't such a list. */
    public static EndpointUpdate of(Object json, SettingsReader.Boot boot) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("targets") instanceof List<?> entries)) {
            throw new IllegalArgumentException("no list of targets");
        }
        List<EndpointUpdate.Endpoint> list = new ArrayList<>();
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
            InetSocketAddress endpoint = state == Policy.State.GONE && e.get("endpoint") == null
                    ? null
                    : Addresses.parse(String.valueOf(e.get("endpoint")));
            double weight = number(e.get("capacity_hint"), 1);
            long startedAt = (long) (number(e.get("boot_ms"), 0) * 1000);
            list.add(new EndpointUpdate.Endpoint(
                    new Policy.Server(
                            uid,
                            state,
                            startedAt,
                            weight > 0 ? weight : 1,
                            (int) number(e.get("pod_group"), -1),
                            boot.kinds().indexOf(SettingsReader.toText(e.get("model"))),
                            boot.zones().indexOf(SettingsReader.toText(e.get("az")))),
                    endpoint,
                    e.get("http3") instanceof String at ? Addresses.parse(at) : null));
        }
        return new EndpointUpdate(
                (long) number(map.get("rev"), 0), Boolean.TRUE.equals(map.get("all")), List.copyOf(list));
    }

    private static double number(Object value, double otherwise) {
        return value instanceof Number n && Double.isFinite(n.doubleValue()) ? n.doubleValue() : otherwise;
    }
}
