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

/** Starts a real balancer, or the adapter on standard input and output. */
public final class Main {
    private Main() {}

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
                        1 << 16);
                OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new SimulatorAdapter(JsqDasPolicy::new, in, out).run();
        } catch (SimulatorProtocolException | IOException e) {
            System.err.println("loadbalancer: " + e.getMessage());
            System.exit(1);
        }
    }
}
