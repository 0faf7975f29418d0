package loadbalancer.http3;

import loadbalancer.policy.Policy.Outcome;

/**
 * What the end of an attempt over HTTP/3 proves: the table of docs/http3.md, in code. Decides without I/O.
 * Only what a specification guarantees counts as never having run; that a packet was lost, or that nothing
 * has been acknowledged, guarantees nothing.
 */
public final class AttemptOutcomes {
    /** How an attempt ended that has brought no complete response. */
    public enum How {
        /** No connection was established, or not in time. Requests are never sent as early data. */
        NOT_CONNECTED,
        /** No stream could be opened on a connection: the peer's limit, or the connection is shutting down. */
        NO_STREAM,
        /** A GOAWAY with an id that is not above this stream's (RFC 9114, section 5.2). */
        BEYOND_GOAWAY,
        /** The peer reset the stream, or asked us to stop sending, with a code. */
        STREAM_RESET,
        /** The connection has ended: closed by the peer, an error, or its idle timeout. */
        CONNECTION_LOST,
        /** The response is malformed (RFC 9114, section 4.1.2). */
        BAD_ANSWER,
        /** The response is longer than is held. */
        TOO_LONG
    }

    private AttemptOutcomes() {}

    /**
     * The outcome of an attempt without a complete response.
     *
     * @param requestSent whether the last byte of the request has been handed to the QUIC stack: from then on
     *     it may reach the upstream, whether or not that is acknowledged
     * @param code the peer's, for {@link How#STREAM_RESET}; any other value otherwise
     */
    public static Outcome outcome(How how, boolean requestSent, long code) {
        return switch (how) {
            case NOT_CONNECTED -> Outcome.CONNECT_FAILED;
            case NO_STREAM, BEYOND_GOAWAY -> Outcome.NOT_SENT;
            // RFC 9114, section 4.1.1: the server has not processed any of it. It has rejected the request, as
            // with Srv-Declined.
            case STREAM_RESET ->
                code == Http3ErrorCodes.REQUEST_REJECTED
                        ? Outcome.FULL
                        : requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED;
            case CONNECTION_LOST -> requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED;
            case BAD_ANSWER, TOO_LONG -> requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED;
        };
    }
}
