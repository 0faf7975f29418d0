package loadbalancer.testbed;

/** One request at a stand-in server, whatever its protocol: how the server responds to it or aborts it. */
interface ServerExchange {
    /**
     * Sends the one response.
     *
     * @param status the HTTP status code
     * @param text the body, in US-ASCII
     * @param execution whether the response promises that the request was not executed
     */
    void respond(int status, String text, Execution execution);

    /** Aborts the connection or stream without a response. */
    void reset();

    /** Writes the response of a request that has been served; {@link LongResponse} says how long it is. */
    default void respondAtLength(String requestId) {
        respond(200, requestId, Execution.UNSPECIFIED);
    }

    /** What a response says about the request's execution. */
    enum Execution {
        /** Nothing: the request may have been executed. */
        UNSPECIFIED,
        /** It was declined before any work, which the response marks with a header field. */
        DECLINED
    }
}
