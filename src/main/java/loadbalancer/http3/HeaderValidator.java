package loadbalancer.http3;

import java.util.Map;
import java.util.Set;

/**
 * Validates the field sections of HTTP/3 messages (RFC 9114, sections 4.2 and 4.3), for requests of clients and
 * responses of upstreams alike. Decides without I/O; what a request asks for is checked by
 * {@code RequestValidator}. All methods are without state.
 */
public final class HeaderValidator {
    /** Bytes of a field section, counted as the settings count them: 32 more for each field (4.2.2). */
    public static final long SECTION_MOST = 8 * 1024;

    private static final int FIELD_OVERHEAD_BYTES = 32;
    private static final Set<String> CONNECTION_FIELDS =
            Set.of("connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade");
    private static final Set<String> REQUEST_PSEUDO_HEADERS = Set.of(":method", ":scheme", ":authority", ":path");
    private static final Set<String> RESPONSE_PSEUDO_HEADERS = Set.of(":status");
    private static final int PSEUDO_HEADERS = 5; // of requests and responses
    private static final long MAX_CONTENT_LENGTH = 1L << 50;

    /** A request's head; {@code length} is its Content-Length or -1; {@code authority} may be null. */
    public record Head(String method, String scheme, String authority, String path, long length) {}

    /** A response's head; {@code length} is its Content-Length or -1. */
    public record Status(int status, long length) {}

    /** Reads one field section, field by field. */
    private static final class SectionReader {
        private final Set<String> allowedPseudoHeaders;
        private final String[] values = new String[PSEUDO_HEADERS];
        private boolean regularFieldSeen; // no pseudo-header may follow
        private String host;
        private long length = -1;

        SectionReader(Set<String> allowedPseudoHeaders) {
            this.allowedPseudoHeaders = allowedPseudoHeaders;
        }

        void read(CharSequence rawName, CharSequence rawValue) throws MalformedMessageException {
            String name = rawName.toString();
            String value = rawValue.toString();
            checkText(name, value);
            if (name.charAt(0) == ':') {
                readPseudoHeader(name, value);
                return;
            }
            regularFieldSeen = true;
            if (CONNECTION_FIELDS.contains(name) || (name.equals("te") && !value.equals("trailers"))) {
                throw malformed("a field of connections: " + name);
            }
            if (name.equals("host")) {
                if (host != null && !host.equals(value)) {
                    throw malformed("two hosts");
                }
                host = value;
            } else if (name.equals("content-length")) {
                readContentLength(value);
            }
        }

        private void readPseudoHeader(String name, String value) throws MalformedMessageException {
            if (regularFieldSeen) {
                throw malformed("a pseudo-header behind fields");
            }
            if (!allowedPseudoHeaders.contains(name)) {
                throw malformed("unknown pseudo-header");
            }
            int slot = slot(name);
            if (values[slot] != null) {
                throw malformed("a pseudo-header twice: " + name);
            }
            values[slot] = value;
        }

        // One length only: two equal ones are read as one by some, and as an error by others.
        private void readContentLength(String value) throws MalformedMessageException {
            boolean digits =
                    !value.isEmpty() && value.length() <= 16 && value.chars().allMatch(c -> c >= '0' && c <= '9');
            if (length >= 0 || !digits || Long.parseLong(value) > MAX_CONTENT_LENGTH) {
                throw malformed("bad content-length");
            }
            length = Long.parseLong(value);
        }

        String value(String name) {
            return values[slot(name)];
        }
    }

    private HeaderValidator() {}

    private static int slot(String name) {
        return switch (name) {
            case ":method" -> 0;
            case ":scheme" -> 1;
            case ":authority" -> 2;
            case ":path" -> 3;
            default -> 4;
        };
    }

    /** Validates a request's head, in the order in which its fields came. */
    public static Head request(Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields)
            throws MalformedMessageException {
        SectionReader section = new SectionReader(REQUEST_PSEUDO_HEADERS);
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            section.read(field.getKey(), field.getValue());
        }
        String method = section.value(":method");
        String scheme = section.value(":scheme");
        String authority = section.value(":authority");
        String path = section.value(":path");
        checkRequest(method, scheme, authority, path, section.host);
        return new Head(method, scheme, authority == null ? section.host : authority, path, section.length);
    }

    // RFC 9114, section 4.3.1; for CONNECT section 4.4.
    private static void checkRequest(String method, String scheme, String authority, String path, String host)
            throws MalformedMessageException {
        if (method == null || method.isEmpty() || !isToken(method)) {
            throw malformed("no or bad :method");
        }
        if (method.equals("CONNECT")) {
            if (scheme != null || path != null || authority == null || authority.isEmpty()) {
                throw malformed("CONNECT names its authority alone"); // section 4.4
            }
        } else if (scheme == null || (!scheme.equals("https") && !scheme.equals("http"))) {
            throw malformed("no or unknown :scheme");
        } else if (path == null || (!path.startsWith("/") && !(path.equals("*") && method.equals("OPTIONS")))) {
            throw malformed("no or bad :path");
        } else if ((authority == null && host == null)
                || (authority != null && authority.isEmpty())
                || (host != null && host.isEmpty())) {
            throw malformed("no authority");
        } else if (authority != null && host != null && !authority.equals(host)) {
            throw malformed("authority and host differ");
        }
        if (authority != null && authority.indexOf('@') >= 0) {
            throw malformed("an authority with userinfo"); // section 4.3.1
        }
    }

    /** Validates a response's head. */
    public static Status response(Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields)
            throws MalformedMessageException {
        SectionReader section = new SectionReader(RESPONSE_PSEUDO_HEADERS);
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            section.read(field.getKey(), field.getValue());
        }
        String status = section.value(":status");
        if (status == null || !status.matches("[1-5][0-9][0-9]") || status.equals("101")) {
            throw malformed("no or bad :status"); // 101: section 4.5
        }
        return new Status(Integer.parseInt(status), section.length);
    }

    /** Validates trailers, which name no pseudo-headers (section 4.3). */
    public static void trailers(Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields)
            throws MalformedMessageException {
        SectionReader section = new SectionReader(Set.of());
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            section.read(field.getKey(), field.getValue());
        }
        if (section.length >= 0) {
            throw malformed("a content-length in trailers");
        }
    }

    /** Whether a field section is longer than is accepted; its request gets a 431. */
    public static boolean tooLong(
            Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields) {
        long size = 0;
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            size += field.getKey().length() + field.getValue().length() + FIELD_OVERHEAD_BYTES;
        }
        return size > SECTION_MOST;
    }

    private static void checkText(String name, String value) throws MalformedMessageException {
        String withoutColon = name.startsWith(":") ? name.substring(1) : name;
        if (withoutColon.isEmpty()
                || !isToken(withoutColon)
                || withoutColon.chars().anyMatch(c -> c >= 'A' && c <= 'Z')) {
            throw malformed("a bad field name"); // section 4.2
        }
        boolean invalid = value.chars().anyMatch(c -> c == 0 || c == '\r' || c == '\n' || c > 255);
        if (invalid || (!value.isEmpty() && (isBlank(value.charAt(0)) || isBlank(value.charAt(value.length() - 1))))) {
            throw malformed("a bad value of " + name); // section 10.3
        }
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    private static boolean isToken(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < 127 && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
    }

    private static MalformedMessageException malformed(String reason) {
        return new MalformedMessageException(Http3ErrorCodes.MESSAGE_ERROR, reason);
    }
}
