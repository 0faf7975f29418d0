package loadbalancer.http3;

import java.util.Map;
import java.util.Set;

/**
 * What the head of an HTTP/3 message must be like (RFC 9114, sections 4.2 and 4.3). Decides without I/O, for
 * requests of clients and answers of upstreams alike; what a request asks for is the core's to check.
 */
public final class HeaderValidator {
    /** Bytes of a field section, counted as the settings count them: 32 more for each field (4.2.2). */
    public static final long SECTION_MOST = 8 * 1024;

    private static final int PER_FIELD = 32;
    private static final Set<String> OF_CONNECTIONS =
            Set.of("connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade");
    private static final long LENGTH_MOST = 1L << 50;

    /** A request's head; {@code length} is -1 where it announces none; {@code authority} may be null. */
    public record Head(String method, String scheme, String authority, String path, long length) {}

    /** An answer's head; {@code length} is -1 where it announces none. */
    public record Status(int status, long length) {}

    // What stands in any head, as far as it has been read.
    private static final class Reader {
        private final Set<String> pseudo;
        private final String[] values = new String[5];
        private boolean plain; // a field that is no pseudo-header has been read
        private String host;
        private long length = -1;
        private long size;

        Reader(Set<String> pseudo) {
            this.pseudo = pseudo;
        }

        void read(CharSequence rawName, CharSequence rawValue) throws MalformedMessageException {
            String name = rawName.toString();
            String value = rawValue.toString();
            size += name.length() + value.length() + PER_FIELD;
            text(name, value);
            if (name.charAt(0) == ':') {
                pseudo(name, value);
                return;
            }
            plain = true;
            if (OF_CONNECTIONS.contains(name) || name.equals("te") && !value.equals("trailers")) {
                throw bad("a field of connections: " + name);
            }
            if (name.equals("host")) {
                if (host != null && !host.equals(value)) {
                    throw bad("two hosts");
                }
                host = value;
            } else if (name.equals("content-length")) {
                length(value);
            }
        }

        private void pseudo(String name, String value) throws MalformedMessageException {
            if (plain) {
                throw bad("a pseudo-header behind fields");
            }
            if (!pseudo.contains(name)) {
                throw bad("unknown pseudo-header");
            }
            int at = slot(name);
            if (values[at] != null) {
                throw bad("a pseudo-header twice: " + name);
            }
            values[at] = value;
        }

        // One length only: two equal ones are read as one by some, and as an error by others.
        private void length(String value) throws MalformedMessageException {
            boolean digits =
                    !value.isEmpty() && value.length() <= 16 && value.chars().allMatch(c -> c >= '0' && c <= '9');
            if (length >= 0 || !digits || Long.parseLong(value) > LENGTH_MOST) {
                throw bad("bad content-length");
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

    private static final Set<String> OF_REQUESTS = Set.of(":method", ":scheme", ":authority", ":path");
    private static final Set<String> OF_ANSWERS = Set.of(":status");

    /** Reads a request's head, in the order in which its fields came. */
    public static Head request(Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields)
            throws MalformedMessageException {
        Reader r = new Reader(OF_REQUESTS);
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            r.read(field.getKey(), field.getValue());
        }
        String method = r.value(":method");
        String scheme = r.value(":scheme");
        String authority = r.value(":authority");
        String path = r.value(":path");
        if (method == null || method.isEmpty() || !token(method)) {
            throw bad("no or bad :method");
        }
        if (method.equals("CONNECT")) {
            if (scheme != null || path != null || authority == null || authority.isEmpty()) {
                throw bad("CONNECT names its authority alone"); // section 4.4
            }
        } else if (scheme == null || !scheme.equals("https") && !scheme.equals("http")) {
            throw bad("no or unknown :scheme");
        } else if (path == null || !path.startsWith("/") && !(path.equals("*") && method.equals("OPTIONS"))) {
            throw bad("no or bad :path");
        } else if (authority == null && r.host == null
                || authority != null && authority.isEmpty()
                || r.host != null && r.host.isEmpty()) {
            throw bad("no authority");
        } else if (authority != null && r.host != null && !authority.equals(r.host)) {
            throw bad("authority and host differ");
        }
        if (authority != null && authority.indexOf('@') >= 0) {
            throw bad("an authority with userinfo"); // section 4.3.1
        }
        return new Head(method, scheme, authority == null ? r.host : authority, path, r.length);
    }

    /** Reads an answer's head. */
    public static Status response(Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields)
            throws MalformedMessageException {
        Reader r = new Reader(OF_ANSWERS);
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            r.read(field.getKey(), field.getValue());
        }
        String status = r.value(":status");
        if (status == null || !status.matches("[1-5][0-9][0-9]") || status.equals("101")) {
            throw bad("no or bad :status"); // 101: section 4.5
        }
        return new Status(Integer.parseInt(status), r.length);
    }

    /** Reads trailers, which name no pseudo-headers (section 4.3). */
    public static void trailers(Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields)
            throws MalformedMessageException {
        Reader r = new Reader(Set.of());
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            r.read(field.getKey(), field.getValue());
        }
        if (r.length >= 0) {
            throw bad("a content-length in trailers");
        }
    }

    /** Whether a field section is longer than is taken; its request gets a 431. */
    public static boolean tooLong(
            Iterable<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields) {
        long size = 0;
        for (Map.Entry<? extends CharSequence, ? extends CharSequence> field : fields) {
            size += field.getKey().length() + field.getValue().length() + PER_FIELD;
        }
        return size > SECTION_MOST;
    }

    private static void text(String name, String value) throws MalformedMessageException {
        String rest = name.startsWith(":") ? name.substring(1) : name;
        if (rest.isEmpty() || !token(rest) || rest.chars().anyMatch(c -> c >= 'A' && c <= 'Z')) {
            throw bad("a bad field name"); // section 4.2
        }
        boolean bad = value.chars().anyMatch(c -> c == 0 || c == '\r' || c == '\n' || c > 255);
        if (bad || !value.isEmpty() && (blank(value.charAt(0)) || blank(value.charAt(value.length() - 1)))) {
            throw bad("a bad value of " + name); // section 10.3
        }
    }

    private static boolean blank(char c) {
        return c == ' ' || c == '\t';
    }

    private static boolean token(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < 127 && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
    }

    private static MalformedMessageException bad(String why) {
        return new MalformedMessageException(Http3ErrorCodes.MESSAGE_ERROR, why);
    }
}
