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

/**
 * Reads endpoint lists in the JSON format of the platform's discovery service. Stateless and thread-safe. All methods
 * throw IllegalArgumentException, with a message for the log, for a value that is not a valid endpoint list.
 */
public final class EndpointUpdateReader {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final double DEFAULT_WEIGHT = 1;
    private static final double NO_POD_GROUP = -1;
    private static final long MICROS_PER_MILLI = 1_000;

    private EndpointUpdateReader() {}

    /**
     * Reads a list from JSON text.
     *
     * @param boot the settings that name the kinds and zones of servers
     */
    public static EndpointUpdate parse(String json, SettingsReader.Boot boot) {
        try (JsonParser parser = JSON_FACTORY.createParser(json)) {
            Object value = JSON.std.anyFrom(parser);
            if (parser.nextToken() != null) {
                throw new InvalidEndpointListException("data after the end of the JSON value");
            }
            return fromJsonValue(value, boot);
        } catch (IOException e) {
            throw new InvalidEndpointListException("malformed JSON", e);
        }
    }

    /**
     * Reads a list from a JSON value that has been parsed into maps, lists, strings and numbers.
     *
     * @param boot the settings that name the kinds and zones of servers
     */
    public static EndpointUpdate fromJsonValue(Object json, SettingsReader.Boot boot) {
        if (!(json instanceof Map<?, ?> list) || !(list.get("targets") instanceof List<?> entries)) {
            throw new InvalidEndpointListException("not a JSON object with an array 'targets'");
        }
        List<EndpointUpdate.Endpoint> endpoints = new ArrayList<>();
        for (Object entry : entries) {
            endpoints.add(endpoint(entry, boot));
        }
        long version = (long) number(list.get("rev"), 0);
        boolean complete = Boolean.TRUE.equals(list.get("all"));
        return new EndpointUpdate(version, complete, List.copyOf(endpoints));
    }

    private static EndpointUpdate.Endpoint endpoint(Object json, SettingsReader.Boot boot) {
        if (!(json instanceof Map<?, ?> entry) || !(entry.get("uid") instanceof String uid) || uid.isEmpty()) {
            throw new InvalidEndpointListException("target without a non-empty string 'uid'");
        }
        Policy.State state = state(entry.get("state"));
        Object endpoint = entry.get("endpoint");
        InetSocketAddress address =
                state == Policy.State.GONE && endpoint == null ? null : address(String.valueOf(endpoint));
        double weight = number(entry.get("capacity_hint"), DEFAULT_WEIGHT);
        Policy.Server server = new Policy.Server(
                uid,
                state,
                (long) (number(entry.get("boot_ms"), 0) * MICROS_PER_MILLI),
                weight > 0 ? weight : DEFAULT_WEIGHT,
                (int) number(entry.get("pod_group"), NO_POD_GROUP),
                boot.machineModels().indexOf(SettingsReader.toText(entry.get("model"))),
                boot.zones().indexOf(SettingsReader.toText(entry.get("az"))));
        InetSocketAddress http3Address = entry.get("http3") instanceof String text ? address(text) : null;
        return new EndpointUpdate.Endpoint(server, address, http3Address);
    }

    private static Policy.State state(Object json) {
        return switch (String.valueOf(json)) {
            case "in_service" -> Policy.State.UP;
            case "terminating" -> Policy.State.DRAINING;
            case "terminated" -> Policy.State.GONE;
            default -> throw new InvalidEndpointListException("unknown target state: '" + json + "'");
        };
    }

    private static InetSocketAddress address(String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidEndpointListException(e.getMessage(), e);
        }
    }

    private static double number(Object json, double defaultValue) {
        return json instanceof Number number && Double.isFinite(number.doubleValue())
                ? number.doubleValue()
                : defaultValue;
    }
}
