package loadbalancer;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.server.LoadBalancerServer;
import loadbalancer.simulator.SimulatorAdapter;
import loadbalancer.simulator.SimulatorProtocolException;

/** The program's entry point. */
public final class Main {
    private static final int BUFFER_BYTES = 1 << 16;

    private Main() {}

    /** {@code serve} runs a balancer; {@code wirehost} runs the policy for a simulator on standard input and output. */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(LoadBalancerServer.serve(System.getenv()));
        }
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar loadbalancer.jar serve | wirehost");
            System.exit(2);
        }
        try (BufferedReader in = new BufferedReader(
                        new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8),
                        BUFFER_BYTES);
                OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES)) {
            new SimulatorAdapter(JsqDasPolicy::new, in, out).run();
        } catch (SimulatorProtocolException | IOException e) {
            System.err.println("loadbalancer: " + e.getMessage());
            System.exit(1);
        }
    }
}
