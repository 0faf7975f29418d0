package loadbalancer.proxy;

import java.util.List;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;

/** Validates requests before they are accepted, independent of the protocol. Does no I/O and reads no clock. */
public final class RequestValidator {
    private static final int MAX_NAME_LENGTH = 256; // of an id or a key, in characters
    private static final long MAX_DEADLINE_MILLIS = 600_000; // the max. time for which a request is held
    private static final long MAX_COST_MICROS = 600_000_000; // a longer estimate is ignored
    private static final List<String> SINGLE_FIELDS = List.of(
            "Req-Id", "Req-Kind", "Req-Owner", ProxyRequest.DEADLINE_FIELD, "Req-Cost", "Req-Retry", "Idempotency-Key");

    private RequestValidator() {}

    /**
     * Returns the validated request.
     *
     * @param uri path and query
     * @param fields the header fields that are forwarded, which include the fields that describe the request
     * @throws IllegalArgumentException if the request cannot be accepted; the message gives the reason
     */
    public static ProxyRequest validate(
            String method, String uri, HeaderFields fields, byte[] body, SettingsReader.Boot boot) {
        for (String name : SINGLE_FIELDS) {
            if (fields.hasMultiple(name)) {
                throw new IllegalArgumentException("more than one " + name);
            }
        }
        String id = text(fields, "Req-Id");
        if (!isName(id)) {
            throw new IllegalArgumentException("no or bad Req-Id");
        }
        int requestClass = requestClass(method, fields, boot);
        long timeLeftMillis = number(fields.get(ProxyRequest.DEADLINE_FIELD), -1);
        if (timeLeftMillis <= 0 || timeLeftMillis > MAX_DEADLINE_MILLIS) {
            throw new IllegalArgumentException("no or bad " + ProxyRequest.DEADLINE_FIELD);
        }
        if (!uri.startsWith("/")) {
            throw new IllegalArgumentException("not a path");
        }
        String path = uri.split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        int tenant = Math.max(0, boot.tenants().indexOf(text(fields, "Req-Owner")));
        long costMicros = number(fields.get("Req-Cost"), -1);
        return new ProxyRequest(
                id,
                method,
                uri,
                fields,
                body,
                requestClass,
                tenant,
                key.isEmpty() ? null : key,
                timeLeftMillis * 1000,
                costMicros > MAX_COST_MICROS ? -1 : costMicros,
                "1".equals(fields.get("Req-Retry")));
    }

    // A name occurs more than once if its class was changed recently: clients learn of the change later than this
    // balancer.
    private static int requestClass(String method, HeaderFields fields, SettingsReader.Boot boot) {
        String name = text(fields, "Req-Kind");
        int first = boot.classes().indexOf(name);
        if (first < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        String idempotencyKey = fields.get("Idempotency-Key");
        for (int i = first; i < boot.classes().size(); i++) {
            Policy.Effect effect = boot.settings().classes().get(i).effect();
            String requiredMethod = effect == Policy.Effect.SAFE ? "GET" : "POST";
            boolean keyFits = effect == Policy.Effect.KEYED
                    ? idempotencyKey != null && isName(idempotencyKey)
                    : idempotencyKey == null;
            if (boot.classes().get(i).equals(name) && method.equals(requiredMethod) && keyFits) {
                return i;
            }
        }
        throw new IllegalArgumentException("method or Idempotency-Key contradicts the Req-Kind");
    }

    private static String text(HeaderFields fields, String name) {
        String value = fields.get(name);
        return value == null ? "" : value;
    }

    private static boolean isName(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_NAME_LENGTH
                && text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static long number(String text, long defaultValue) {
        String digits = text == null ? "" : text.strip();
        boolean isNumber =
                !digits.isEmpty() && digits.length() <= 12 && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber ? Long.parseLong(digits) : defaultValue;
    }
}
