package junctionhead.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import junctionhead.Policy;
import junctionhead.SettingsReader;

/** What a request must be like to be taken, and what goes on of it. */
final class RequestRules {
    static final int BODY_MOST = 64 * 1024;
    static final String DEADLINE = "Req-Deadline-Ms";
    private static final int NAME_MOST = 256;               // characters of an id or a key
    private static final long DEADLINE_MOST = 600_000;      // ms: it is held for so long at most
    private static final long COST_MOST = 600_000_000;      // µs: a guess beyond it says nothing
    private static final List<String> SINGLE =
        List.of("Req-Id", "Req-Kind", "Req-Owner", DEADLINE, "Req-Cost", "Req-Retry", "Idempotency-Key");
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
        "expect", "content-length", DEADLINE.toLowerCase(Locale.ROOT));

    /** Why a request is not taken. */
    record Problem(HttpResponseStatus status, String text) { }

    private RequestRules() { }

    /** What is wrong with how a request says where it ends; null if nothing is. */
    static Problem framing(HttpRequest request) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).strip().equalsIgnoreCase("chunked");
        if (!codings.isEmpty() && (!chunked || !request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH))) {
            return bad("a Transfer-Encoding that isn't chunked alone");
        }
        long length;
        try {
            length = HttpUtil.getContentLength(request, 0L);
        } catch (NumberFormatException e) {
            return bad("bad Content-Length");
        }
        if (request.method().equals(HttpMethod.GET) && (chunked || length != 0)) {
            return bad("a GET with a body");
        }
        if (length < 0) {
            return bad("bad Content-Length");
        }
        if (length > BODY_MOST) {
            return new Problem(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
        }
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        return expected != null && !expected.equalsIgnoreCase("100-continue")
            ? new Problem(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation") : null;
    }

    private static Problem bad(String text) {
        return new Problem(HttpResponseStatus.BAD_REQUEST, text);
    }

    /** What a request asks for; throws IllegalArgumentException where it can't be taken. */
    static Order order(HttpRequest request, byte[] body, SettingsReader.Boot boot) {
        HttpHeaders headers = request.headers();
        for (String name : SINGLE) {
            if (headers.contains(name) && headers.getAll(name).size() > 1) {
                throw new IllegalArgumentException("more than one " + name);
            }
        }
        String id = headers.get("Req-Id", "");
        if (!named(id)) {
            throw new IllegalArgumentException("no or bad Req-Id");
        }
        int number = boot.classes().indexOf(headers.get("Req-Kind", ""));
        if (number < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        Policy.Effect effect = boot.settings().classes().get(number).effect();
        HttpMethod method = effect == Policy.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        String repeat = headers.get("Idempotency-Key");
        if (!request.method().equals(method) || (repeat != null) != (effect == Policy.Effect.KEYED)
                || repeat != null && !named(repeat)) {
            throw new IllegalArgumentException("method or Idempotency-Key contradicts the Req-Kind");
        }
        long left = number(headers.get(DEADLINE), -1);
        if (left <= 0 || left > DEADLINE_MOST) {
            throw new IllegalArgumentException("no or bad " + DEADLINE);
        }
        if (!request.uri().startsWith("/")) {
            throw new IllegalArgumentException("not a path");
        }
        String path = request.uri().split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        int tenant = Math.max(0, boot.tenants().indexOf(headers.get("Req-Owner", "")));
        long cost = number(headers.get("Req-Cost"), -1);
        return new Order(id, request.method(), request.uri(), endToEnd(headers), body, number, tenant,
            key.isEmpty() ? null : key, left * 1000, cost > COST_MOST ? -1 : cost,
            "1".equals(headers.get("Req-Retry")));
    }

    private static boolean named(String text) {
        return !text.isEmpty() && text.length() <= NAME_MOST
            && text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static long number(String text, long otherwise) {
        String digits = text == null ? "" : text.strip();
        boolean plain = !digits.isEmpty() && digits.length() <= 12
            && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return plain ? Long.parseLong(digits) : otherwise;
    }

    private static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders kept = new DefaultHttpHeaders();
        List<String> connection = headers.getAll(HttpHeaderNames.CONNECTION);
        Set<String> named = connection.isEmpty() ? Set.of() : Set.copyOf(connection.stream()
            .flatMap(v -> Stream.of(v.toLowerCase(Locale.ROOT).split("\\s*,\\s*"))).distinct().toList());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                kept.add(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
