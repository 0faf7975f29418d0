package loadbalancer.proxy;

/**
 * Where the one final answer to a request goes: a front's side of the seam. {@link Dispatcher} calls exactly
 * one of these once for each request taken, on the event loop, unless its client has left before.
 */
public interface ResponseWriter {
    /** Served: passes the upstream's body on. */
    void serve(UpstreamResponse answer);

    /** Refused, trying again is harmless; {@code retryAfter} in µs, 0 where none is advised. */
    void reject(long retryAfter);

    /** Failed, nothing promised. */
    void fail();

    /**
     * Reads what the client's connection holds by now, so that its close is known: what was given to run at
     * that has run by the return. Not to be called from within a read of a connection.
     */
    default void readConnection() {}
}
