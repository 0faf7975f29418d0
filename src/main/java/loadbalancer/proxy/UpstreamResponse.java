package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * An upstream's response, whatever protocol it was received by.
 *
 * @param status the HTTP status
 * @param fields the header fields that are forwarded
 * @param body the first bytes of the body, or all of them; not to be changed
 * @param remainingBody the bytes that follow {@code body} where the response is long; null where there are none
 * @param contentLength bytes of {@code body} and {@code remainingBody} together; -1 if unknown
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are shared, not copied, and never changed
public record UpstreamResponse(
        int status, HeaderFields fields, byte[] body, BodyStream remainingBody, long contentLength) {
    /** A complete one. */
    public UpstreamResponse(int status, HeaderFields fields, byte[] body) {
        this(status, fields, body, null, body.length);
    }

    /**
     * The outcome of the attempt. It was rejected without having run only where the upstream says so itself;
     * with any other failure it may have run.
     */
    public Policy.Outcome outcome() {
        if (status == 200) {
            return Policy.Outcome.OK;
        }
        boolean declined = "1".equals(fields.get("Srv-Declined"));
        return declined && (status == 503 || status == 504) ? Policy.Outcome.FULL : Policy.Outcome.ERROR;
    }

    /** The media type; null where the response names none. */
    public String contentType() {
        return fields.get("Content-Type");
    }
}
