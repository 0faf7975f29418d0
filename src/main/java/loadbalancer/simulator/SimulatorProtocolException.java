package loadbalancer.simulator;

/** Thrown for malformed input; the message is one line that names the line number, the message and the field. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
