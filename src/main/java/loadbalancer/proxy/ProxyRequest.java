package loadbalancer.proxy;

/**
 * A client's request, whatever the protocol that it came by: what goes on to an upstream unchanged, and what
 * the module is told of it. Times are in µs; {@code id} is the client's; {@code work} is -1 where the client
 * gives no guess; {@code fields} holds none that belong to one connection only; {@code body} is not changed.
 * {@code rest} follows behind it where it is longer than is held, {@code length} is that of both, -1 if
 * unknown; {@code passes}: its front passes long answers on.
 */
public record ProxyRequest(
        String id,
        String method,
        String uri,
        HeaderFields fields,
        byte[] body,
        int requestClass,
        int tenant,
        String key,
        long timeLeft,
        long work,
        boolean resubmission,
        BodyStream rest,
        long length,
        boolean passes) {
    /** One whose body is whole, and its answer too. */
    public ProxyRequest(
            String id,
            String method,
            String uri,
            HeaderFields fields,
            byte[] body,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
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
                timeLeft,
                work,
                resubmission,
                null,
                body.length,
                false);
    }

    /** Bytes of a body, of a request or an answer, that are held whole; longer ones go through. */
    public static final int BODY_MOST = 64 * 1024;
    /** Bytes of a body that goes through. */
    public static final long LENGTH_MOST = 48L << 20;
    /** The field that tells how long the asker will wait, in ms. */
    public static final String DEADLINE = "Req-Deadline-Ms";

    /** The same for another path. */
    public ProxyRequest withUri(String other) {
        return new ProxyRequest(
                id,
                method,
                other,
                fields,
                body,
                requestClass,
                tenant,
                key,
                timeLeft,
                work,
                resubmission,
                rest,
                length,
                passes);
    }

    /** The same from a front that passes long answers on, and with what follows behind its body, or null. */
    public ProxyRequest withBodyStream(BodyStream following, long all) {
        return new ProxyRequest(
                id,
                method,
                uri,
                fields,
                body,
                requestClass,
                tenant,
                key,
                timeLeft,
                work,
                resubmission,
                following,
                all,
                true);
    }
}
