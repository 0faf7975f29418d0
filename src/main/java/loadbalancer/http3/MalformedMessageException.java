package loadbalancer.http3;

/** A malformed message: its stream is reset with the code (RFC 9114, section 4.1.2). Has no stack trace. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long code;

    /** {@code code}: one of {@link Http3ErrorCodes}. */
    public MalformedMessageException(long code, String reason) {
        super(reason, null, false, false);
        this.code = code;
    }

    /** One of {@link Http3ErrorCodes}. */
    public long code() {
        return code;
    }
}
