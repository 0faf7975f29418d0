package loadbalancer.downstream;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import loadbalancer.proxy.UpstreamResponse;

/**
 * The one final response to a request, before a protocol frames it: status, body and fields are the same
 * whatever protocol the client speaks.
 */
public final class FinalResponse {
    /** Requests to paths that begin so are for this process and are not forwarded. */
    public static final String MANAGEMENT_PREFIX = "/-/";
    /** Where health checks ask whether this process takes clients. */
    public static final String READINESS_PATH = "/-/ready";
    /** The reason of a 409: an upstream could not tell two open requests with the same id apart. */
    public static final String DUPLICATE_REQUEST_ID = "a request with this Req-Id is open";

    private static final String PLAIN_TEXT = "text/plain";
    private static final double MICROS_PER_SECOND = 1e6;

    private final int status;
    private final byte[] body;
    private final String contentType;
    private final String fieldName;
    private final String fieldValue;

    /**
     * A response.
     *
     * @param status the status code (RFC 9110, section 15)
     * @param body the complete content; must not be changed
     * @param contentType the media type, or null for none
     * @param fieldName one further field, in the case that HTTP/1.1 writes; used where {@code fieldValue} is set
     * @param fieldValue the value of that field, or null for no such field
     */
    public FinalResponse(int status, byte[] body, String contentType, String fieldName, String fieldValue) {
        this.status = status;
        this.body = body;
        this.contentType = contentType;
        this.fieldName = fieldName;
        this.fieldValue = fieldValue;
    }

    /** A complete upstream response that is passed on with its media type. */
    public static FinalResponse served(UpstreamResponse response) {
        return new FinalResponse(200, response.body(), response.contentType(), null, null);
    }

    /**
     * The request was not processed and may be retried.
     *
     * @param retryAfterMicros the delay for Retry-After (RFC 9110, section 10.2.3), written in seconds; 0 or less
     *     for none
     */
    public static FinalResponse rejected(long retryAfterMicros) {
        String seconds =
                retryAfterMicros <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS_PER_SECOND);
        return new FinalResponse(
                503, textLine("refused: trying again is harmless"), PLAIN_TEXT, "Retry-After", seconds);
    }

    /** The request failed; whether an upstream processed it is unknown. */
    public static FinalResponse failed() {
        return text(502, "failed");
    }

    /** A status with one line of plain text. */
    public static FinalResponse text(int status, String text) {
        return new FinalResponse(status, textLine(text), PLAIN_TEXT, null, null);
    }

    /** The response to a request for a path with {@link #MANAGEMENT_PREFIX}. */
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

    /** The complete content; not to be changed. */
    public byte[] body() {
        return body;
    }

    /** The media type; null for none. */
    public String contentType() {
        return contentType;
    }

    /** The name of one further field, in the case that HTTP/1.1 writes. */
    public String fieldName() {
        return fieldName;
    }

    /** The value of that field; null where there is no such field. */
    public String fieldValue() {
        return fieldValue;
    }

    private static byte[] textLine(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
