package junctionhead.core;

/**
 * A client's request, whatever the protocol that it came by: what goes on to an upstream unchanged, and what
 * the module is told of it. Times are in µs; {@code id} is the client's; {@code work} is -1 where the client
 * gives no guess; {@code fields} holds none that belong to one connection only; {@code body} is not changed.
 */
public record Order(String id, String method, String uri, Fields fields, byte[] body, int requestClass,
        int tenant, String key, long timeLeft, long work, boolean resubmission) {
    /** Bytes of a body, of a request or an answer, that are ever held. */
    public static final int BODY_MOST = 64 * 1024;
    /** The field that tells how long the asker will wait, in ms. */
    public static final String DEADLINE = "Req-Deadline-Ms";

    /** The same for another path. */
    public Order to(String other) {
        return new Order(id, method, other, fields, body, requestClass, tenant, key, timeLeft, work,
            resubmission);
    }
}
