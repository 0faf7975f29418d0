package loadbalancer.http3;

/** The codes with which HTTP/3 ends streams and connections (RFC 9114, section 8.1). */
public final class Http3ErrorCodes {
    public static final long NO_ERROR = 0x100;
    public static final long EXCESSIVE_LOAD = 0x107;
    public static final long ID_ERROR = 0x108;
    public static final long REQUEST_REJECTED = 0x10b;
    public static final long REQUEST_CANCELLED = 0x10c;
    public static final long REQUEST_INCOMPLETE = 0x10d;
    public static final long MESSAGE_ERROR = 0x10e;
    public static final long FRAME_UNEXPECTED = 0x105;

    private Http3ErrorCodes() {}
}
