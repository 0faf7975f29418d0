package loadbalancer.discovery;

/** A text or value that is no endpoint list; the message says what is wrong with it. */
final class InvalidEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidEndpointListException(String message) {
        super(message);
    }

    InvalidEndpointListException(String message, Throwable cause) {
        super(message, cause);
    }
}
