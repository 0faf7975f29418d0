package loadbalancer.downstream.http1;

import io.netty.handler.codec.TooLongFrameException;

/** A request has more header or trailer fields than are accepted. */
final class TooManyFieldsException extends TooLongFrameException {
    private static final long serialVersionUID = 1L;

    TooManyFieldsException(int maxFields) {
        super("more than " + maxFields + " fields");
    }
}
