package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;

/**
 * Hosts many instances of the policy in one process and translates between them and the simulator's wire. It decides
 * nothing. For one thread.
 */
public final class SimulatorAdapter {
    /** Makes the policy of a new instance. */
    public interface Factory {
        /**
         * Makes a policy.
         *
         * @param settings of the instance
         * @param seed of the policy's random draws
         */
        Policy create(Policy.Settings settings, long seed);
    }

    /** Whether the simulator is served on after a batch. */
    private enum BatchResult {
        COMPLETED,
        POLICY_FAILED
    }

    private final Factory factory;
    private final SimulatorMessageReader reader;
    private final OutputStream output;
    private final Map<String, SimulatorInstance> instances = new HashMap<>();
    private final EndpointListBuffers lists = new EndpointListBuffers();

    /** An adapter that makes its instances by {@code factory}, reads messages from {@code input} and answers there. */
    public SimulatorAdapter(Factory factory, BufferedReader input, OutputStream output) {
        this.factory = factory;
        this.reader = new SimulatorMessageReader(input);
        this.output = output;
    }

    /**
     * Answers batch after batch until the input ends or the policy fails; a failure is reported to the simulator.
     *
     * @throws IOException where reading or writing fails
     * @throws SimulatorProtocolException for malformed input; its batch is not answered
     */
    public void run() throws IOException {
        BatchResult result = BatchResult.COMPLETED;
        while (result == BatchResult.COMPLETED) {
            SimulatorMessage tickMessage = reader.next();
            if (tickMessage == null) {
                return;
            }
            result = processBatch(tickMessage);
        }
    }

    private BatchResult processBatch(SimulatorMessage tickMessage) throws IOException {
        if (!tickMessage.name().equals("TICK")) {
            throw tickMessage.malformed("TICK", "a batch begins with it");
        }
        ActionWriter actions = new ActionWriter();
        BatchResult result = BatchResult.COMPLETED;
        try {
            long nowMicros = tickMessage.expectFields("Clock").integer(1, "Clock");
            handleBatch(nowMicros, actions);
        } catch (SimulatorProtocolException e) {
            throw e;
        } catch (RuntimeException e) {
            result = BatchResult.POLICY_FAILED;
            actions.writeBailOut(e);
        }
        output.write(actions.finishBatch());
        output.flush();
        return result;
    }

    private void handleBatch(long nowMicros, ActionWriter actions) throws IOException {
        String instanceName = null; // as the last AT of this batch names it
        while (true) {
            SimulatorMessage message = reader.next();
            if (message == null) {
                throw new SimulatorProtocolException(
                        "line " + reader.lineNumber() + ": GO: field GO: the input ends within a batch");
            }
            switch (message.name()) {
                case "GO" -> {
                    message.expectFields();
                    return;
                }
                case "AT" -> instanceName = message.expectFields("Balancer").text(1, "Balancer");
                case "LIST" -> lists.read(message, reader);
                case "ENLIST" -> startInstance(message, instanceName, actions);
                case "EXIT" -> stopInstance(message, instanceName);
                default -> handleEvent(message, instanceName, nowMicros, actions);
            }
        }
    }

    private void startInstance(SimulatorMessage message, String instanceName, ActionWriter actions) {
        long seed = message.integer(1, "InitSeed");
        SettingsReader.Boot boot = SimulatorSettings.read(message, 2);
        String name = requireName(message, instanceName);
        actions.setInstance(name);
        instances.put(name, new SimulatorInstance(name, factory.create(boot.settings(), seed), boot));
    }

    private void stopInstance(SimulatorMessage message, String instanceName) {
        message.expectFields();
        instances.remove(requireName(message, instanceName));
    }

    private void handleEvent(SimulatorMessage message, String instanceName, long nowMicros, ActionWriter actions) {
        SimulatorInstance instance = instances.get(requireName(message, instanceName));
        if (instance == null) {
            throw message.malformed("Balancer", "no such instance is running: '" + instanceName + "'");
        }
        actions.setInstance(instance.name());
        instance.handle(message, nowMicros, lists, actions);
    }

    private static String requireName(SimulatorMessage message, String instanceName) {
        if (instanceName == null) {
            throw message.malformed("Balancer", "no AT line names the instance");
        }
        return instanceName;
    }
}
