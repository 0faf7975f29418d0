package loadbalancer.downstream;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import loadbalancer.proxy.UpstreamResponse;

/**
 * The final response to a request, independent of the protocol that encodes it: status, body and fields are the same
 * for HTTP/1.1 and HTTP/3 clients.
 */
public final class FinalResponse {
    /** Prefix of the paths that this process answers itself; requests to them are not forwarded. */
    public static final String MANAGEMENT_PREFIX = "/-/";
    /** The path at which health checks query whether this process accepts clients. */
    public static final String READINESS_PATH = "/-/ready";
    /** The text of a 409 response: an upstream could not distinguish two pending requests with the same id. */
    public static final String DUPLICATE_REQUEST_ID = "a request with this Req-Id is open";

    private static final String PLAIN_TEXT = "text/plain";
    private static final double MICROS_PER_SECOND = 1e6;

    private final int status;
    private final byte[] body;
    private final String contentType;
    private final String fieldName;
    private final String fieldValue;

    /**
     * Creates a response.
     *
     * @param status the status code (RFC 9110, section 15)
     * @param body the complete content; must not be modified
     * @param contentType the media type, or null for none
     * @param fieldName the name of an additional field, in the letter case of HTTP/1.1; ignored if {@code fieldValue}
     *     is null
     * @param fieldValue the value of the additional field, or null for none
     */
    public FinalResponse(int status, byte[] body, String contentType, String fieldName, String fieldValue) {
        this.status = status;
        this.body = body;
        this.contentType = contentType;
        this.fieldName = fieldName;
        this.fieldValue = fieldValue;
    }

    /** A complete upstream response, forwarded with its media type. */
    public static FinalResponse served(UpstreamResponse response) {
        return new FinalResponse(200, response.body(), response.contentType(), null, null);
    }

    /**
     * A response to a request that was not processed and may be retried.
     *
     * @param retryAfterMicros the delay that Retry-After (RFC 9110, section 10.2.3) states in seconds; 0 or less for
     *     no such field
     */
    public static FinalResponse rejected(long retryAfterMicros) {
        String seconds =
                retryAfterMicros <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS_PER_SECOND);
        return new FinalResponse(
                503, textLine("refused: trying again is harmless"), PLAIN_TEXT, "Retry-After", seconds);
    }

    /** A response to a failed request; an upstream may have processed the request. */
    public static FinalResponse failed() {
        return text(502, "failed");
    }

    /** A response with one line of plain text. */
    public static FinalResponse text(int status, String text) {
        return new FinalResponse(status, textLine(text), PLAIN_TEXT, null, null);
    }

    /** The response to a request whose path begins with {@link #MANAGEMENT_PREFIX}. */
    public static FinalResponse management(String method, String path, boolean ready) {
        if (!path.equals(READINESS_PATH) || !method.equals("GET")) {
            return text(404, "not found");
        }
        return ready ? text(200, "ready") : text(503, "not ready");
    }

    /** The status code. */
    public int status() {
        return status;
    }

    /** The complete content; must not be modified. */
    public byte[] body() {
        return body;
    }

    /** The media type; null for none. */
    public String contentType() {
        return contentType;
    }

    /** The name of the additional field, in the letter case of HTTP/1.1. */
    public String fieldName() {
        return fieldName;
    }

    /** The value of the additional field; null for none. */
    public String fieldValue() {
        return fieldValue;
    }

    private static byte[] textLine(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
