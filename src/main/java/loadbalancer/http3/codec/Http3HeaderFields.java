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
 * The fields of an HTTP/3 message, as its codec holds them. Between two sides that both speak HTTP/3 they go
 * on as they are, and only what came by another protocol is translated. For the event loop's thread.
 */
public final class Http3HeaderFields implements HeaderFields {
    private static final String DEADLINE = ProxyRequest.DEADLINE.toLowerCase(Locale.ROOT);
    // Of one connection or one hop; the carrier sets its own length and deadline.
    private static final Set<String> OF_ONE_HOP = Set.of(
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

    public Http3HeaderFields(Http3Headers headers) {
        this.headers = headers;
    }

    /** Takes away what belongs to one hop only (RFC 9110, section 7.6.1), and the deadline. */
    public Http3HeaderFields endToEnd() {
        OF_ONE_HOP.forEach(headers::remove);
        return this;
    }

    /**
     * What a carrier over HTTP/3 writes for a request: not a copy where it came by HTTP/3; its pseudo-headers
     * are set anew for each attempt, before it is written.
     *
     * @param authority for a request that names none
     * @param wait in ms; 0: not told
     */
    public static Http3Headers request(ProxyRequest order, String authority, long wait) {
        Http3Headers headers;
        if (order.fields() instanceof Http3HeaderFields own) {
            headers = own.headers;
            if (headers.authority() == null) {
                CharSequence host = headers.get("host");
                headers.authority(host == null ? authority : host);
            }
        } else {
            headers = new DefaultHttp3Headers();
            headers.method(order.method()).scheme("https").authority(authority).path(order.uri());
            order.fields().each((name, value) -> {
                String lower = name.toLowerCase(Locale.ROOT);
                if (lower.equals("host")) {
                    headers.authority(value);
                } else if (!OF_ONE_HOP.contains(lower)) {
                    headers.add(lower, value.strip());
                }
            });
        }
        headers.method(order.method()).scheme("https").path(order.uri());
        if (wait > 0) {
            headers.set(DEADLINE, Long.toString(wait));
        }
        if (order.body().length > 0 || !order.method().equals("GET")) {
            headers.set("content-length", Integer.toString(order.body().length));
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
        headers.getAll(name.toLowerCase(Locale.ROOT)).forEach(v -> all.add(v.toString()));
        return all;
    }

    /** As another protocol has them: the host first, and crumbs of cookies as one (RFC 9114, 4.2.1). */
    @Override
    public void each(BiConsumer<String, String> to) {
        CharSequence authority = headers.authority();
        if (authority != null) {
            to.accept("host", authority.toString());
        }
        StringBuilder cookie = new StringBuilder();
        for (Map.Entry<CharSequence, CharSequence> field : headers) {
            String name = field.getKey().toString();
            if (name.equals("cookie")) {
                cookie.append(cookie.length() == 0 ? "" : "; ").append(field.getValue());
            } else if (!name.startsWith(":") && !(name.equals("host") && authority != null)) {
                to.accept(name, field.getValue().toString());
            }
        }
        if (cookie.length() > 0) {
            to.accept("cookie", cookie.toString());
        }
    }
}
