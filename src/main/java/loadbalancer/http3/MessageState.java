package loadbalancer.http3;

/**
 * How far a message on a stream has been received: head, data, trailers, end (RFC 9114, section 4.1). Checks
 * its data against the length that its head announced, and against a maximum. Decides without I/O.
 */
public final class MessageState {
    private enum Position {
        BEFORE_HEAD,
        DATA,
        TRAILERS,
        END
    }

    private final long maxBytes;
    private Position position = Position.BEFORE_HEAD;
    private long announcedBytes = -1;
    private long receivedBytes;

    /** {@code maxBytes}: of data that are accepted. */
    public MessageState(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Whether the next field section is a head, not trailers. */
    public boolean headless() {
        return position == Position.BEFORE_HEAD;
    }

    /** A head has been read; {@code length} is -1 where it announces none. */
    public void head(long length) throws MalformedMessageException {
        if (position != Position.BEFORE_HEAD) {
            throw new MalformedMessageException(Http3ErrorCodes.FRAME_UNEXPECTED, "a second head");
        }
        position = Position.DATA;
        announcedBytes = length;
    }

    /** Whether more is announced than is accepted. */
    public boolean announcesTooMuch() {
        return announcedBytes > maxBytes;
    }

    /** Data has been read; returns whether it is within what is accepted. */
    public boolean data(long bytes) throws MalformedMessageException {
        if (position != Position.DATA) {
            throw new MalformedMessageException(Http3ErrorCodes.FRAME_UNEXPECTED, "data where none may stand");
        }
        receivedBytes += bytes;
        if (announcedBytes >= 0 && receivedBytes > announcedBytes) {
            throw new MalformedMessageException(Http3ErrorCodes.MESSAGE_ERROR, "more data than announced");
        }
        return receivedBytes <= maxBytes;
    }

    /** Trailers have been read. */
    public void trailers() throws MalformedMessageException {
        if (position != Position.DATA) {
            throw new MalformedMessageException(Http3ErrorCodes.FRAME_UNEXPECTED, "trailers where none may stand");
        }
        position = Position.TRAILERS;
    }

    /** The stream has ended. */
    public void end() throws MalformedMessageException {
        if (position == Position.BEFORE_HEAD) {
            throw new MalformedMessageException(Http3ErrorCodes.REQUEST_INCOMPLETE, "an end before the head");
        }
        if (announcedBytes >= 0 && receivedBytes != announcedBytes) {
            throw new MalformedMessageException(Http3ErrorCodes.MESSAGE_ERROR, "less data than announced");
        }
        position = Position.END;
    }

    /** Whether the message is complete. */
    public boolean isComplete() {
        return position == Position.END;
    }
}
