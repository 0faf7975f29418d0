package loadbalancer.proxy;

/**
 * A client's request, whatever protocol it was received by: what is forwarded to an upstream unchanged, and
 * what the policy learns of it.
 *
 * @param id the client's own name for the request
 * @param method the HTTP method
 * @param uri path and query
 * @param fields the header fields that are forwarded; none that belong to one connection only
 * @param body the first bytes of the body, or all of them; not to be changed
 * @param requestClass the number of its class in the settings
 * @param tenant the number of its tenant in the settings; 0 where they name none
 * @param key the key for server affinity, or null
 * @param timeLeftMicros how long the client waits, in µs
 * @param workMicros the client's estimate of the work, in µs; -1 where it gives none
 * @param resubmission whether the client has sent it before
 * @param remainingBody the bytes that follow {@code body} where the request is long; null where there are none
 * @param contentLength bytes of {@code body} and {@code remainingBody} together; -1 if unknown
 * @param acceptsStreamedResponse whether its downstream forwards long responses while they are received
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
    /** One whose body is complete, and whose response has to be too. */
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

    /** Bytes of the longest body, of a request or a response, that is buffered; longer ones are streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** Bytes of the longest body that is streamed. */
    public static final long MAX_STREAMED_BODY_BYTES = 48L << 20;
    /** The header field that says how long the sender waits for a response, in ms. */
    public static final String DEADLINE_FIELD = "Req-Deadline-Ms";

    /** The same request for another path. */
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

    /** The same request with the rest of its body, or null, from a downstream that streams long responses. */
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
