package loadbalancer.simulator;

/** What is wrong with the input, in one line that names the place. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
