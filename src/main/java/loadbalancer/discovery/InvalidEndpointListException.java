package loadbalancer.discovery;

/** Thrown for a text or value that is not a valid endpoint list; the message describes the error. */
final class InvalidEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidEndpointListException(String message) {
        super(message);
    }

    InvalidEndpointListException(String message, Throwable cause) {
        super(message, cause);
    }
}
