package loadbalancer.http3.codec;

import io.netty.handler.codec.http3.DefaultHttp3Headers;
import io.netty.handler.codec.http3.Http3Headers;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.ProxyRequest;

/**
 * The header fields of an HTTP/3 message, as its codec holds them. Between two sides that both speak HTTP/3
 * they are forwarded as they are, and only what came by another protocol is translated. On the event loop.
 */
public final class Http3HeaderFields implements HeaderFields {
    private static final String DEADLINE = ProxyRequest.DEADLINE_FIELD.toLowerCase(Locale.ROOT);
    // Fields of one connection or one hop; each attempt sets its own length and deadline.
    private static final Set<String> HOP_BY_HOP = Set.of(
            "te",
            "trailer",
            "expect",
            "content-length",
            "proxy-authenticate",
            "proxy-authorization",
            "connection",
            "keep-alive",
            "proxy-connection",
            "transfer-encoding",
            "upgrade",
            DEADLINE);

    private final Http3Headers headers;

    /** The fields in {@code headers}, which are not copied. */
    public Http3HeaderFields(Http3Headers headers) {
        this.headers = headers;
    }

    /**
     * Removes the fields that belong to one hop only (RFC 9110, section 7.6.1), and the deadline.
     *
     * @return this
     */
    public Http3HeaderFields endToEnd() {
        HOP_BY_HOP.forEach(headers::remove);
        return this;
    }

    /**
     * The headers that are written for a request over HTTP/3. Not a copy where it came by HTTP/3: its
     * pseudo-headers are set anew for each attempt, before it is written.
     *
     * @param authority that of a request which names none
     * @param waitMillis the deadline that the upstream is sent; 0: none
     */
    public static Http3Headers request(ProxyRequest request, String authority, long waitMillis) {
        Http3Headers headers;
        if (request.fields() instanceof Http3HeaderFields own) {
            headers = own.headers;
            if (headers.authority() == null) {
                CharSequence host = headers.get("host");
                headers.authority(host == null ? authority : host);
            }
        } else {
            headers = new DefaultHttp3Headers();
            headers.method(request.method())
                    .scheme("https")
                    .authority(authority)
                    .path(request.uri());
            request.fields().forEach((name, value) -> {
                String lower = name.toLowerCase(Locale.ROOT);
                if (lower.equals("host")) {
                    headers.authority(value);
                } else if (!HOP_BY_HOP.contains(lower)) {
                    headers.add(lower, value.strip());
                }
            });
        }
        headers.method(request.method()).scheme("https").path(request.uri());
        if (waitMillis > 0) {
            headers.set(DEADLINE, Long.toString(waitMillis));
        }
        if (request.body().length > 0 || !request.method().equals("GET")) {
            headers.set("content-length", Integer.toString(request.body().length));
        }
        return headers;
    }

    @Override
    public String get(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        CharSequence value = headers.get(lower);
        if (value == null && lower.equals("host")) {
            value = headers.authority();
        }
        return value == null ? null : value.toString();
    }

    @Override
    public List<String> all(String name) {
        List<String> all = new ArrayList<>();
        headers.getAll(name.toLowerCase(Locale.ROOT)).forEach(value -> all.add(value.toString()));
        return all;
    }

    /** As another protocol has them: the host first, and the pieces of a cookie as one (RFC 9114, section 4.2.1). */
    @Override
    public void forEach(BiConsumer<String, String> consumer) {
        CharSequence authority = headers.authority();
        if (authority != null) {
            consumer.accept("host", authority.toString());
        }
        StringBuilder cookie = new StringBuilder();
        for (Map.Entry<CharSequence, CharSequence> field : headers) {
            String name = field.getKey().toString();
            if (name.equals("cookie")) {
                cookie.append(cookie.length() == 0 ? "" : "; ").append(field.getValue());
            } else if (!name.startsWith(":") && !(name.equals("host") && authority != null)) {
                consumer.accept(name, field.getValue().toString());
            }
        }
        if (cookie.length() > 0) {
            consumer.accept("cookie", cookie.toString());
        }
    }
}
