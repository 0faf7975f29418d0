package loadbalancer.proxy;

/**
 * Writes the final response to a client. For each accepted request {@link Dispatcher} calls exactly one of
 * {@link #serve}, {@link #reject} and {@link #fail}, once and on the event loop, unless the client disconnects
 * before.
 */
public interface ResponseWriter {
    /** Forwards an upstream's response. */
    void serve(UpstreamResponse response);

    /** Rejects the request, which is safe to retry; {@code retryAfterMicros} is 0 if no delay is advised. */
    void reject(long retryAfterMicros);

    /** Fails the request; it is not known whether a server has run the request. */
    void fail();

    /**
     * Reads all data that the client's connection has received, to detect a close. If the client has closed, the
     * callback that {@link Dispatcher#dispatch} returned runs before this method returns. Must not be called from
     * within a read of a connection.
     */
    default void readConnection() {}
}
