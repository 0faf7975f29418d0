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

/** A balancer told by a file, from its start over a reload to its end. */
class ServeTest {
    private static HttpServer box(String name) throws IOException {
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

    private static String file(String id, HttpServer box) {
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
            """.formatted(id, box.getAddress().getPort());
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

    private static void hangup(Process process) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    @Test
    @Timeout(120)
    void aFileIsServedReplacedHalfWrittenAndReplacedWhole() throws IOException, InterruptedException {
        Path file = Files.createTempFile("serve", ".toml");
        HttpServer first = box("first");
        HttpServer second = box("second");
        Files.writeString(file, file("a", first));
        Process process = CliTest.start("serve", "--config", file.toString());
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String door = line(in, "management on ").replaceAll(".*management on ", "");
            String at = line(in, "listening on ").replaceAll(".*listening on ", "");
            int[] number = new int[1];
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            HttpRequest.Builder ask = HttpRequest.newBuilder(URI.create("http://" + at + "/k"))
                    .header("Req-Kind", "read")
                    .header("Req-Deadline-Ms", "20000");
            assertEquals("first", ask(client, ask, number));
            String whole = file("b", second);
            Files.writeString(file, whole.substring(0, whole.length() - 12));
            hangup(process);
            String complaint = line(in, "configuration not taken over");
            assertTrue(complaint.contains(file + ":11: not TOML"), complaint);
            assertEquals("first", ask(client, ask, number));
            Files.writeString(file, whole);
            hangup(process);
            assertTrue(line(in, "configuration taken over").contains("1 upstreams"));
            // The list is changed on the loop; what was asked before that may still go to the first one.
            String answer = "first";
            while (answer.equals("first")) {
                answer = ask(client, ask, number);
            }
            assertEquals("second", answer);
            String ready = call("ready", door);
            while (ready.equals("1 not ready: starting")) { // it serves before its rehearsal is over
                ready = call("ready", door);
            }
            assertEquals("0 ready", ready);
            assertEquals("0 evacuating", call("evacuate", door));
            assertEquals("1 not ready: evacuating", call("ready", door));
            assertEquals("0 taking clients", call("rejoin", door));
            process.toHandle().destroy();
            assertTrue(line(in, "stopped: ").contains("0 unanswered"));
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
            first.stop(0);
            second.stop(0);
            Files.delete(file);
        }
    }

    private static String call(String name, String door) throws IOException, InterruptedException {
        Process process = CliTest.start(name, door);
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + " " + out.strip();
    }

    private static String ask(HttpClient client, HttpRequest.Builder ask, int[] number)
            throws IOException, InterruptedException {
        HttpResponse<String> answer = client.send(
                ask.setHeader("Req-Id", "r" + number[0]++).GET().build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, answer.statusCode(), answer.body());
        return answer.body();
    }

    @Test
    void checkNamesProblemsAndConfigPrintsAFileThatItFindsInOrder() throws IOException, InterruptedException {
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
