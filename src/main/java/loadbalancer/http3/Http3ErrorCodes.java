package loadbalancer.http3;

/** The error codes with which HTTP/3 ends streams and connections (RFC 9114, section 8.1). */
public final class Http3ErrorCodes {
    /** No error: an orderly close. */
    public static final long NO_ERROR = 0x100;
    /** The peer behaves in a way that may generate excessive load. */
    public static final long EXCESSIVE_LOAD = 0x107;
    /** An identifier was used incorrectly, as a GOAWAY that rises. */
    public static final long ID_ERROR = 0x108;
    /** The server has not processed any of the request. */
    public static final long REQUEST_REJECTED = 0x10b;
    /** The request or its response is not wanted any more. */
    public static final long REQUEST_CANCELLED = 0x10c;
    /** The stream ended before the request was complete. */
    public static final long REQUEST_INCOMPLETE = 0x10d;
    /** A malformed message. */
    public static final long MESSAGE_ERROR = 0x10e;
    /** A frame that is not allowed where it stands. */
    public static final long FRAME_UNEXPECTED = 0x105;

    private Http3ErrorCodes() {}
}
