package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * An upstream's response, independent of the protocol by which it was received.
 *
 * @param status the HTTP status
 * @param fields the header fields that are forwarded
 * @param body the first bytes of the body, or the complete body; must not be modified
 * @param remainingBody the bytes of a long body that follow {@code body}, or null
 * @param contentLength the length of {@code body} and {@code remainingBody} together, in bytes; -1 if unknown
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are shared, not copied, and never changed
public record UpstreamResponse(
        int status, HeaderFields fields, byte[] body, BodyStream remainingBody, long contentLength) {
    /** Creates a response with a complete body. */
    public UpstreamResponse(int status, HeaderFields fields, byte[] body) {
        this(status, fields, body, null, body.length);
    }

    /**
     * Returns the outcome of the attempt. A failed attempt counts as rejected without having run only if the upstream
     * itself says so; after any other failure it may have run.
     */
    public Policy.Outcome outcome() {
        if (status == 200) {
            return Policy.Outcome.OK;
        }
        boolean declined = "1".equals(fields.get("Srv-Declined"));
        return declined && (status == 503 || status == 504) ? Policy.Outcome.FULL : Policy.Outcome.ERROR;
    }

    /** Returns the media type, or null if the response has none. */
    public String contentType() {
        return fields.get("Content-Type");
    }
}
