package loadbalancer.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import loadbalancer.proxy.Addresses;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The operators' calls to a running balancer: each prints its response, and the exit code says yes or no. */
final class AdminCommands {
    private static final int TIMEOUT_MILLIS = 5_000;

    private AdminCommands() {}

    /** A request to the management address of a balancer. */
    private abstract static class Call implements Callable<Integer> {
        @Parameters(paramLabel = "ADDRESS", description = "what `management` says, as 127.0.0.1:8081")
        private String address;

        /** The method and path. */
        abstract String line();

        @Override
        public Integer call() {
            InetSocketAddress to;
            try {
                to = Addresses.parse(address);
            } catch (IllegalArgumentException e) {
                System.err.println(e.getMessage());
                return 2;
            }
            try (Socket socket = new Socket()) {
                socket.connect(to, TIMEOUT_MILLIS);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream()
                        .write((line() + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                ByteArrayOutputStream response = new ByteArrayOutputStream();
                socket.getInputStream().transferTo(response);
                String[] parts = response.toString(StandardCharsets.UTF_8).split("\r\n\r\n", 2);
                boolean yes = parts[0].startsWith("HTTP/1.1 2");
                (yes ? System.out : System.err).println(parts.length < 2 ? "no answer" : parts[1].strip());
                return yes ? 0 : 1;
            } catch (IOException e) {
                System.err.println("can't call " + address + ": " + e.getMessage());
                return 1;
            }
        }
    }

    /** Asks whether a balancer is ready. */
    @Command(
            name = "ready",
            mixinStandardHelpOptions = true,
            description = "Whether a balancer takes clients.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:yes", "1:no, or it can't be called"})
    static final class Ready extends Call {
        @Override
        String line() {
            return "GET /api/ready";
        }
    }

    /** Sends the clients of a balancer away. */
    @Command(
            name = "evacuate",
            mixinStandardHelpOptions = true,
            description = "Sends a balancer's clients away; it goes on running.")
    static final class Evacuate extends Call {
        @Override
        String line() {
            return "POST /api/evacuate";
        }
    }

    /** Lets a balancer accept clients again. */
    @Command(name = "rejoin", mixinStandardHelpOptions = true, description = "Has a balancer take clients again.")
    static final class Rejoin extends Call {
        @Override
        String line() {
            return "POST /api/rejoin";
        }
    }
}
