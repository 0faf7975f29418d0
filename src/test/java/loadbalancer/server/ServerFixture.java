package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.Config;
import loadbalancer.proxy.MessageMemory;
import loadbalancer.proxy.RequestLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;

/**
 * A real balancer over loopback sockets, with a policy, an upstream and a discovery service that do what the test says.
 */
abstract class ServerFixture {
    /** A client's connection. */
    static final class Client implements Closeable {
        final Socket socket;
        final InputStream in;
        byte[] body;

        Client(InetSocketAddress to) throws IOException {
            socket = new Socket(to.getAddress(), to.getPort());
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        }

        /** The head of the next response, whose body is kept; null at the end of the connection. */
        String answer() throws IOException {
            String head = ScriptedUpstream.head(in);
            if (head != null) {
                String length = head.toLowerCase().split("content-length: ")[1].split("\r\n")[0];
                body = in.readNBytes(Integer.parseInt(length));
            }
            return head;
        }

        /** The same, after answering its request at {@code upstream}. */
        String answerAfter(ScriptedUpstream upstream) throws IOException, InterruptedException {
            upstream.next().answer(200, "", "ok");
            return answer();
        }

        int status() throws IOException {
            return Integer.parseInt(answer().split(" ")[1]);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static final String SAFE = "GET /api/k1?x=%20y HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
            + "Req-Kind: read\r\nReq-Deadline-Ms: 20000\r\nReq-Cost: 700\r\nReq-Retry: 1\r\n\r\n";

    final ScriptedPolicy module = new ScriptedPolicy();
    final List<String> log = new ArrayList<>();
    Consumer<String> onLogLine = line -> {}; // behind each line of the log, on the thread that logs it
    boolean rehearse; // the balancer warms up first
    MessageMemory memory = new MessageMemory();
    boolean pushed; // discovery pushes endpoint lists
    String endpoint; // of s1; null: the scripted upstream's
    ScriptedUpstream upstream;
    ScriptedUpstream discovery;
    LoadBalancerServer node;
    InetSocketAddress at; // the clients' address

    /** Adds the balancer's log and what reached the policy to a failure. */
    @RegisterExtension
    final TestExecutionExceptionHandler logOnFailure = (context, failure) -> {
        synchronized (log) {
            failure.addSuppressed(new IllegalStateException("log: " + log + ", events: " + module.events));
        }
        throw failure;
    };

    @BeforeEach
    void open() throws IOException {
        upstream = new ScriptedUpstream();
        discovery = new ScriptedUpstream();
    }

    @AfterEach
    void close() throws IOException {
        if (node != null) {
            node.stop();
        }
        upstream.close();
        discovery.close();
    }

    static Map<String, Object> kind(String name, String effect) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                effect,
                "DedupScope",
                "cell",
                "GoalTime",
                600_000,
                "GiveUp",
                30_000_000,
                "KeyTtl",
                1_000_000);
    }

    static Map<String, Object> settings() {
        Map<String, Object> settings = new HashMap<>();
        settings.put("Balancers", 1);
        settings.put("Classes", List.of(kind("read", "safe"), kind("pay", "keyed"), kind("book", "unsafe")));
        settings.put("Limits", limits());
        settings.put("MembershipMode", "ask");
        settings.put("Rules", rules());
        settings.put("Quantum", 2_000);
        settings.put("Areas", List.of("podrum"));
        settings.put("Kinds", List.of("puni", "slabi"));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        return settings;
    }

    private static Map<String, Object> limits() {
        Map<String, Object> limits = new HashMap<>();
        limits.put("TryLimit", 3);
        limits.put("MayDuplicate", true);
        limits.put("Cancel", true);
        limits.put("Probes", true);
        limits.put("DialTimeout", 500_000);
        limits.put("IdleClose", 30_000_000);
        return limits;
    }

    private static Map<String, Object> rules() {
        Map<String, Object> rules = new HashMap<>();
        rules.put("AnswerSlack", 8_000);
        rules.put("DrainGrace", 1_000_000);
        rules.put("AskWithin", 10_000_000);
        rules.put("ColdFrom", 0.3);
        rules.put("RampTime", 8_400_000);
        rules.put("OverloadFactor", 3.0);
        rules.put("Fall", 1_000_000);
        return rules;
    }

    /** The scripted upstream as an entry of an endpoint list. */
    String target(String state) {
        return "{\"uid\":\"s1\",\"endpoint\":\"" + (endpoint == null ? upstream.address() : endpoint)
                + "\",\"az\":\"podrum\","
                + "\"model\":\"slabi\",\"pod_group\":3,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** An endpoint list of the scripted upstream alone. */
    String list(int rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + target(state) + "]}\n";
    }

    Config config(int sockets, Map<String, Object> settings, int port) throws IOException {
        return config(sockets, settings, port, discovery.address());
    }

    Config config(int sockets, Map<String, Object> settings, int port, String discovery) throws IOException {
        return Config.of(
                Map.of(),
                Map.of(
                        "name",
                        "n1",
                        "listen",
                        "127.0.0.1:" + port,
                        "discovery",
                        discovery,
                        "seed",
                        "8c1f30d27a5be964",
                        "limits",
                        Map.of("sockets", sockets),
                        "settings",
                        settings,
                        "known",
                        com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(list(41, true, "in_service"))));
    }

    void start() throws IOException, InterruptedException {
        start(Map.of(), 1024);
    }

    void start(Map<String, Object> limits, int sockets) throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        @SuppressWarnings("unchecked")
        Map<String, Object> allLimits = (Map<String, Object>) settings.get("Limits");
        allLimits.putAll(limits);
        settings.put("MembershipMode", pushed ? "push" : "ask");
        node = new LoadBalancerServer(
                config(sockets, settings, 0), (s, seed) -> module, rehearse, null, memory, this::addToLog);
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
    }

    /** Has each request and attempt written to {@link #log}; before the first request. */
    void logRequests() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        onLoop(() -> {
            node.setRequestLog(RequestLog.of(Map.of(RequestLog.VARIABLE, "on"), this::addToLog));
            done.countDown();
        });
        assertTrue(done.await(20, TimeUnit.SECONDS));
    }

    private void addToLog(String line) {
        synchronized (log) {
            log.add(line);
        }
        onLogLine.accept(line);
    }

    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** How many lines of the log contain those words. */
    int logged(String words) {
        synchronized (log) {
            return (int) log.stream().filter(line -> line.contains(words)).count();
        }
    }

    static String post(String kind, String extra, String body) {
        return "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: " + kind + "\r\n" + extra
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // The upstream's reader consumes the end of the stream: a closed connection shows by refusing what is sent.
    static boolean closesSoon(ScriptedUpstream.Got got) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadline) {
            try {
                got.raw("\r\n");
            } catch (IOException e) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    boolean connected(String server) {
        CompletableFuture<Boolean> connected = new CompletableFuture<>();
        onLoop(() -> connected.complete(module.actions.isConnected(server)));
        return connected.join();
    }

    /** Waits until a connection to that upstream may carry the next request. */
    void awaitRested(String server) throws InterruptedException {
        while (!connected(server)) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Stalls the loop until the latch is released; returns once it is stalled. */
    void block(CountDownLatch goesOn) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        onLoop(() -> {
            blocked.countDown();
            try {
                goesOn.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(blocked.await(20, TimeUnit.SECONDS));
    }

    void onLoop(Runnable action) {
        node.loop().execute(action);
    }
}
