package loadbalancer.http3;

/** A message that breaks the protocol: its stream ends with the code (RFC 9114, section 4.1.2). */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long code;

    public MalformedMessageException(long code, String why) {
        super(why, null, false, false);
        this.code = code;
    }

    /** One of {@link Http3ErrorCodes}. */
    public long code() {
        return code;
    }
}
