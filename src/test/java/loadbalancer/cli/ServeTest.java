package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A balancer that is configured by a file, from its start over a reload to its end. */
class ServeTest {
    private static HttpServer startServer(String name) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            byte[] body = name.getBytes(StandardCharsets.US_ASCII);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        return server;
    }

    private static String file(String id, HttpServer server) {
        return """
            [node]
            listen = "127.0.0.1:0"
            management = "127.0.0.1:0"
            [[membership.server]]
            id = "%s"
            address = "127.0.0.1:%d"
            [[class]]
            name = "read"
            effect = "safe"
            aim = "1s"
            deadline = "20s"
            """.formatted(id, server.getAddress().getPort());
    }

    private static String line(BufferedReader in, String words) throws IOException {
        StringBuilder seen = new StringBuilder();
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            seen.append(line).append('\n');
            if (line.contains(words)) {
                return line;
            }
        }
        throw new AssertionError("no line with '" + words + "' in: " + seen);
    }

    private static void signalReload(Process process) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    @Test
    @Timeout(120)
    void aConfigurationFileIsServedAndReloadedOnlyWhenComplete() throws IOException, InterruptedException {
        Path file = Files.createTempFile("serve", ".toml");
        HttpServer first = startServer("first");
        HttpServer second = startServer("second");
        Files.writeString(file, file("a", first));
        Process process = CliTest.start("serve", "--config", file.toString());
        try (BufferedReader log =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String management = line(log, "event=management_listening address=")
                    .replaceAll(".*event=management_listening address=", "");
            Client client =
                    new Client(line(log, "event=listening address=").replaceAll(".*event=listening address=", ""));
            assertEquals("first", client.get());
            String complete = file("b", second);
            Files.writeString(file, complete.substring(0, complete.length() - 12));
            signalReload(process);
            String complaint = line(log, "event=configuration_rejected");
            assertTrue(complaint.contains(file + ":11: not TOML"), complaint);
            assertEquals("first", client.get());
            Files.writeString(file, complete);
            signalReload(process);
            assertTrue(line(log, "event=configuration_reloaded").contains("endpoints=1"));
            client.awaitOtherThan("first", "second");
            assertManagementCalls(management);
            process.toHandle().destroy();
            assertTrue(line(log, "event=stopped ").contains("0 unanswered"));
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
            first.stop(0);
            second.stop(0);
            Files.delete(file);
        }
    }

    private static void assertManagementCalls(String management) throws IOException, InterruptedException {
        String ready = call("ready", management);
        while (ready.equals("1 not ready: starting")) { // it serves before its warm-up is over
            ready = call("ready", management);
        }
        assertEquals("0 ready", ready);
        assertEquals("0 evacuating", call("evacuate", management));
        assertEquals("1 not ready: evacuating", call("ready", management));
        assertEquals("0 taking clients", call("rejoin", management));
    }

    private static String call(String name, String management) throws IOException, InterruptedException {
        Process process = CliTest.start(name, management);
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + " " + out.strip();
    }

    /** A client that sends one request after the other. */
    private static final class Client {
        private final HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        private final HttpRequest.Builder request;
        private int number;

        Client(String address) {
            request = HttpRequest.newBuilder(URI.create("http://" + address + "/k"))
                    .header("Req-Kind", "read")
                    .header("Req-Deadline-Ms", "20000");
        }

        String get() throws IOException, InterruptedException {
            HttpResponse<String> response = client.send(
                    request.setHeader("Req-Id", "r" + number++).GET().build(), HttpResponse.BodyHandlers.ofString());
            assertEquals(200, response.statusCode(), response.body());
            return response.body();
        }

        /** The list changes on the event loop: requests sent before that may still go to the former server. */
        void awaitOtherThan(String former, String next) throws IOException, InterruptedException {
            String body = former;
            while (body.equals(former)) {
                body = get();
            }
            assertEquals(next, body);
        }
    }

    @Test
    void checkReportsProblemsAndAcceptsWhatConfigPrints() throws IOException, InterruptedException {
        Path file = Files.createTempFile("check", ".toml");
        try {
            Process config = CliTest.start("config");
            Files.write(file, config.getInputStream().readAllBytes());
            assertEquals(0, config.waitFor());
            Process good = CliTest.start("check", file.toString());
            assertTrue(new String(good.getInputStream().readAllBytes(), StandardCharsets.UTF_8).contains("in order"));
            assertEquals(0, good.waitFor());
            Files.writeString(file, "[nod]\n");
            Process bad = CliTest.start("check", file.toString());
            assertTrue(new String(bad.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                    .contains(":1: nod: unknown; the nearest known is 'node'"));
            assertEquals(1, bad.waitFor());
        } finally {
            Files.delete(file);
        }
    }
}
