package loadbalancer.http1;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.ProxyRequest;

/**
 * The header fields of an HTTP/1.1 message in the representation of Netty's codec. If client and upstream both use
 * HTTP/1.1, they are forwarded without a copy: {@link #toHttpHeaders} returns them as they are, and converts only the
 * fields of other protocols. Must be used on the event loop.
 */
public final class Http1HeaderFields implements HeaderFields {
    // AsciiString instead of String: it caches the hash code that each header look-up needs.
    private static final AsciiString[] HOP_BY_HOP = Stream.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length",
                    ProxyRequest.DEADLINE_FIELD)
            .map(AsciiString::cached)
            .toArray(AsciiString[]::new);

    private final HttpHeaders headers;
    private boolean hostMissing; // the client sent no Host: it is set to the upstream of each attempt

    /** Wraps {@code headers} without copying them. */
    public Http1HeaderFields(HttpHeaders headers) {
        this.headers = headers;
    }

    /**
     * Returns the fields as headers of an HTTP/1.1 message. Fields that were received over HTTP/1.1 are not copied:
     * each attempt overwrites the fields that belong to its own connection and is encoded before the next attempt.
     *
     * @param host the upstream, which becomes the Host of a request without one
     */
    public static HttpHeaders toHttpHeaders(HeaderFields fields, String host) {
        if (fields instanceof Http1HeaderFields http1Fields) {
            http1Fields.hostMissing = http1Fields.hostMissing || !http1Fields.headers.contains(HttpHeaderNames.HOST);
            if (http1Fields.hostMissing) {
                http1Fields.headers.set(HttpHeaderNames.HOST, host);
            }
            return http1Fields.headers;
        }
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        fields.forEach(headers::add);
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, host);
        }
        return headers;
    }

    /**
     * Removes the hop-by-hop fields (RFC 9110, section 7.6.1) and the deadline field.
     *
     * @return this
     */
    public Http1HeaderFields endToEnd() {
        List<String> connection = headers.getAll(HttpHeaderNames.CONNECTION);
        if (!connection.isEmpty()) {
            connection.stream()
                    .flatMap(value -> Stream.of(value.toLowerCase(Locale.ROOT).split("\\s*,\\s*")))
                    .filter(name -> !name.isEmpty())
                    .forEach(headers::remove);
        }
        for (AsciiString name : HOP_BY_HOP) {
            headers.remove(name);
        }
        return this;
    }

    @Override
    public String get(String name) {
        return headers.get(name);
    }

    @Override
    public List<String> all(String name) {
        return headers.getAll(name);
    }

    @Override
    public boolean hasMultiple(String name) {
        return headers.contains(name) && headers.getAll(name).size() > 1;
    }

    @Override
    public void forEach(BiConsumer<String, String> consumer) {
        headers.forEach(header -> consumer.accept(header.getKey(), header.getValue()));
    }
}
