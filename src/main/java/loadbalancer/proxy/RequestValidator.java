package loadbalancer.proxy;

import java.util.List;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;

/** What every front asks of a request before it is taken, whatever its protocol. Decides without I/O. */
public final class RequestValidator {
    private static final int NAME_MOST = 256; // characters of an id or a key
    private static final long DEADLINE_MOST = 600_000; // ms: it is held for so long at most
    private static final long COST_MOST = 600_000_000; // µs: a guess beyond it says nothing
    private static final List<String> SINGLE = List.of(
            "Req-Id", "Req-Kind", "Req-Owner", ProxyRequest.DEADLINE, "Req-Cost", "Req-Retry", "Idempotency-Key");

    private RequestValidator() {}

    /**
     * What a request asks for.
     *
     * @param uri path and query
     * @param fields those that go on, and with them those that tell of the request itself
     * @throws IllegalArgumentException with the reason, where it can't be taken
     */
    public static ProxyRequest validate(
            String method, String uri, HeaderFields fields, byte[] body, SettingsReader.Boot boot) {
        for (String name : SINGLE) {
            if (fields.several(name)) {
                throw new IllegalArgumentException("more than one " + name);
            }
        }
        String id = text(fields, "Req-Id");
        if (!named(id)) {
            throw new IllegalArgumentException("no or bad Req-Id");
        }
        int number = number(method, fields, boot);
        long left = number(fields.get(ProxyRequest.DEADLINE), -1);
        if (left <= 0 || left > DEADLINE_MOST) {
            throw new IllegalArgumentException("no or bad " + ProxyRequest.DEADLINE);
        }
        if (!uri.startsWith("/")) {
            throw new IllegalArgumentException("not a path");
        }
        String path = uri.split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        int tenant = Math.max(0, boot.tenants().indexOf(text(fields, "Req-Owner")));
        long cost = number(fields.get("Req-Cost"), -1);
        return new ProxyRequest(
                id,
                method,
                uri,
                fields,
                body,
                number,
                tenant,
                key.isEmpty() ? null : key,
                left * 1000,
                cost > COST_MOST ? -1 : cost,
                "1".equals(fields.get("Req-Retry")));
    }

    // A name stands twice where its class has changed lately: clients hear of that later than this balancer.
    private static int number(String method, HeaderFields fields, SettingsReader.Boot boot) {
        String name = text(fields, "Req-Kind");
        int number = boot.classes().indexOf(name);
        if (number < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        String repeat = fields.get("Idempotency-Key");
        for (int i = number; i < boot.classes().size(); i++) {
            Policy.Effect effect = boot.settings().classes().get(i).effect();
            String wanted = effect == Policy.Effect.SAFE ? "GET" : "POST";
            boolean fits = effect == Policy.Effect.KEYED ? repeat != null && named(repeat) : repeat == null;
            if (boot.classes().get(i).equals(name) && method.equals(wanted) && fits) {
                return i;
            }
        }
        throw new IllegalArgumentException("method or Idempotency-Key contradicts the Req-Kind");
    }

    private static String text(HeaderFields fields, String name) {
        String value = fields.get(name);
        return value == null ? "" : value;
    }

    private static boolean named(String text) {
        return !text.isEmpty() && text.length() <= NAME_MOST && text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static long number(String text, long otherwise) {
        String digits = text == null ? "" : text.strip();
        boolean plain =
                !digits.isEmpty() && digits.length() <= 12 && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return plain ? Long.parseLong(digits) : otherwise;
    }
}
