package loadbalancer;

/** What is wrong with the input, in one line that names the place. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
