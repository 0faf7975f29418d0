package loadbalancer.http3;

/**
 * How far a message on a stream has come in: head, data, trailers, end (RFC 9114, section 4.1), its data
 * against the length that its head announced and against what is held at most. Decides without I/O.
 */
public final class MessageState {
    private enum At {
        BEFORE,
        DATA,
        TRAILERS,
        END
    }

    private final long most;
    private At at = At.BEFORE;
    private long announced = -1;
    private long come;

    /** {@code most}: bytes of data that are taken. */
    public MessageState(long most) {
        this.most = most;
    }

    /** Whether the next field section is a head, not trailers. */
    public boolean headless() {
        return at == At.BEFORE;
    }

    /** A head; {@code length} is -1 where it announces none. */
    public void head(long length) throws MalformedMessageException {
        if (at != At.BEFORE) {
            throw new MalformedMessageException(Http3ErrorCodes.FRAME_UNEXPECTED, "a second head");
        }
        at = At.DATA;
        announced = length;
    }

    /** Whether more is announced than is taken. */
    public boolean announcesTooMuch() {
        return announced > most;
    }

    /** Data; returns whether it is still within what is taken. */
    public boolean data(long bytes) throws MalformedMessageException {
        if (at != At.DATA) {
            throw new MalformedMessageException(Http3ErrorCodes.FRAME_UNEXPECTED, "data where none may stand");
        }
        come += bytes;
        if (announced >= 0 && come > announced) {
            throw new MalformedMessageException(Http3ErrorCodes.MESSAGE_ERROR, "more data than announced");
        }
        return come <= most;
    }

    public void trailers() throws MalformedMessageException {
        if (at != At.DATA) {
            throw new MalformedMessageException(Http3ErrorCodes.FRAME_UNEXPECTED, "trailers where none may stand");
        }
        at = At.TRAILERS;
    }

    /** The end of the stream. */
    public void end() throws MalformedMessageException {
        if (at == At.BEFORE) {
            throw new MalformedMessageException(Http3ErrorCodes.REQUEST_INCOMPLETE, "an end before the head");
        }
        if (announced >= 0 && come != announced) {
            throw new MalformedMessageException(Http3ErrorCodes.MESSAGE_ERROR, "less data than announced");
        }
        at = At.END;
    }

    public boolean isComplete() {
        return at == At.END;
    }
}
