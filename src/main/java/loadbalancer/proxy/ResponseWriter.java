package loadbalancer.proxy;

/**
 * Writes the one final response to a client. {@link Dispatcher} calls exactly one of {@link #serve},
 * {@link #reject} and {@link #fail} once for each request accepted, on the event loop, unless the client has
 * disconnected before.
 */
public interface ResponseWriter {
    /** Forwards an upstream's response. */
    void serve(UpstreamResponse response);

    /** Rejects the request: a retry is harmless; {@code retryAfterMicros} in µs, 0 where none is advised. */
    void reject(long retryAfterMicros);

    /** Fails the request: whether a server has run it is not known. */
    void fail();

    /**
     * Reads what the client's connection has received by now, so that its close is noticed: the callback that
     * {@link Dispatcher#dispatch} returned has run by the return. Not to be called from within a read of a
     * connection.
     */
    default void readConnection() {}
}
