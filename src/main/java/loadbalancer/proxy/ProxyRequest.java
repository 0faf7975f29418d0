package loadbalancer.proxy;

/**
 * A client's request, independent of the protocol by which it was received: the data that is forwarded to an upstream
 * unchanged, and the data that is passed to the policy.
 *
 * @param id the id that the client assigned to the request
 * @param method the HTTP method
 * @param uri path and query
 * @param fields the header fields that are forwarded; without connection-specific fields
 * @param body the first bytes of the body, or the complete body; must not be modified
 * @param requestClass the number of its class in the settings
 * @param tenant the number of its tenant in the settings; 0 if the settings name no tenants
 * @param key the key for server affinity, or null
 * @param timeLeftMicros how long the client waits
 * @param workMicros the client's estimate of the work; -1 if the client gives none
 * @param resubmission whether the client has sent the request before
 * @param remainingBody the bytes of a long body that follow {@code body}, or null
 * @param contentLength the length of {@code body} and {@code remainingBody} together, in bytes; -1 if unknown
 * @param acceptsStreamedResponse whether the downstream forwards long responses while they are received
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are shared, not copied, and never changed
public record ProxyRequest(
        String id,
        String method,
        String uri,
        HeaderFields fields,
        byte[] body,
        int requestClass,
        int tenant,
        String key,
        long timeLeftMicros,
        long workMicros,
        boolean resubmission,
        BodyStream remainingBody,
        long contentLength,
        boolean acceptsStreamedResponse) {
    /** Creates a request with a complete body that accepts no streamed response. */
    public ProxyRequest(
            String id,
            String method,
            String uri,
            HeaderFields fields,
            byte[] body,
            int requestClass,
            int tenant,
            String key,
            long timeLeftMicros,
            long workMicros,
            boolean resubmission) {
        this(
                id,
                method,
                uri,
                fields,
                body,
                requestClass,
                tenant,
                key,
                timeLeftMicros,
                workMicros,
                resubmission,
                null,
                body.length,
                false);
    }

    /** Max. length of a request or response body that is buffered; longer bodies are streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** Max. length of a body that is streamed. */
    public static final long MAX_STREAMED_BODY_BYTES = 48L << 20;
    /** The name of the header field that tells how long the sender waits for a response, in ms. */
    public static final String DEADLINE_FIELD = "Req-Deadline-Ms";

    /** Returns a copy of this request with another path and query. */
    public ProxyRequest withUri(String newUri) {
        return new ProxyRequest(
                id,
                method,
                newUri,
                fields,
                body,
                requestClass,
                tenant,
                key,
                timeLeftMicros,
                workMicros,
                resubmission,
                remainingBody,
                contentLength,
                acceptsStreamedResponse);
    }

    /**
     * Returns a copy of this request, from a downstream that streams long responses.
     *
     * @param newRemainingBody the remaining body, or null
     */
    public ProxyRequest withBodyStream(BodyStream newRemainingBody, long newContentLength) {
        return new ProxyRequest(
                id,
                method,
                uri,
                fields,
                body,
                requestClass,
                tenant,
                key,
                timeLeftMicros,
                workMicros,
                resubmission,
                newRemainingBody,
                newContentLength,
                true);
    }
}
