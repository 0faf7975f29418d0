package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import junctionhead.Policy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The real balancer over loopback sockets, with a module that does what the test says. */
class NodeTest {
    /** A module that notes what it is told and sends each request where {@code onRequest} says. */
    private static class Scripted implements Policy {
        final BlockingQueue<String> told = new LinkedBlockingQueue<>();
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        volatile long timeout;
        volatile boolean broken;
        volatile String server = "s1";
        volatile Policy.Actions actions;

        @Override
        public void servers(long now, ListKind kind, List<Server> servers, Actions out) {
            actions = out;
            told.add(kind + " " + servers.stream().map(s -> s.id() + "=" + s.state()).toList());
        }

        @Override
        public void request(long now, String request, int requestClass, int tenant, String key, long timeLeft,
                long work, boolean resubmission, Actions out) {
            requests.add(requestClass + " " + key + " " + work + " " + resubmission);
            if (broken) {
                throw new IllegalStateException("broken");
            }
            if (server != null) {
                out.send(request, server, timeout);
            }
        }

        @Override
        public void outcome(long now, String request, int attempt, Outcome outcome, long latency,
                boolean closed, Load load, Actions out) {
            told.add(outcome + (load == null ? "" : " " + load.inFlight()) + (closed ? " closed" : ""));
            if (!closed) {
                out.fail(request);
            }
        }

        @Override
        public void streamStarted(long now, String request, int attempt, Actions out) { }

        @Override
        public void clientGone(long now, String request, Actions out) {
            told.add("gone");
            out.cancel(request, 0);
        }

        @Override
        public void probed(long now, String server, Outcome outcome, long latency, Load load, Actions out) {
            told.add("probed " + outcome + " " + (load == null ? "-" : load.inFlight()));
        }

        @Override
        public void wake(long now, Actions out) { }

        String next() throws InterruptedException {
            String event = told.poll(20, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("the module was told nothing");
            }
            return event;
        }
    }

    /** A client's connection. */
    private static final class Client implements Closeable {
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

        /** The head of the next answer; its body is kept. Null at the end of the connection. */
        String answer() throws IOException {
            String head = FakeUpstream.head(in);
            if (head != null) {
                String length = head.toLowerCase().split("content-length: ")[1].split("\r\n")[0];
                body = in.readNBytes(Integer.parseInt(length));
            }
            return head;
        }

        int status() throws IOException {
            return Integer.parseInt(answer().split(" ")[1]);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final String SAFE = "GET /api/k1?x=%20y HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
        + "Req-Kind: read\r\nReq-Deadline-Ms: 20000\r\nReq-Cost: 700\r\nReq-Retry: 1\r\n\r\n";

    private final Scripted module = new Scripted();
    private final List<String> log = new ArrayList<>();
    private boolean rehearse;
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private String endpoint;
    private FakeUpstream upstream;
    private FakeUpstream discovery;
    private Node node;
    private InetSocketAddress at;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeUpstream();
        discovery = new FakeUpstream();
    }

    @AfterEach
    void close() throws IOException {
        if (node != null) {
            node.stop();
        }
        upstream.close();
        discovery.close();
    }

    private static Map<String, Object> kind(String name, String effect) {
        return Map.of("Name", name, "Idempotency", effect, "DedupScope", "cell", "GoalTime", 600_000,
            "GiveUp", 30_000_000, "KeyTtl", 1_000_000);
    }

    static Map<String, Object> settings() {
        Map<String, Object> settings = new HashMap<>();
        settings.put("Balancers", 1);
        settings.put("Classes", List.of(kind("read", "safe"), kind("pay", "keyed"), kind("book", "unsafe")));
        settings.put("Limits", new HashMap<>(Map.of("TryLimit", 3, "MayDuplicate", true, "Cancel", true,
            "Probes", true, "DialTimeout", 500_000, "IdleClose", 30_000_000)));
        settings.put("MembershipMode", "ask");
        settings.put("Rules", Map.of("AnswerSlack", 8_000, "DrainGrace", 1_000_000, "AskWithin", 10_000_000,
            "ColdFrom", 0.3, "RampTime", 8_400_000, "OverloadFactor", 3.0, "Fall", 1_000_000));
        settings.put("Quantum", 2_000);
        settings.put("Areas", List.of("podrum"));
        settings.put("Kinds", List.of("puni", "slabi"));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        return settings;
    }

    private String target(String state) {
        return "{\"uid\":\"s1\",\"endpoint\":\"" + (endpoint == null ? upstream.address() : endpoint)
            + "\",\"az\":\"podrum\","
            + "\"model\":\"slabi\",\"pod_group\":3,\"state\":\"" + state
            + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private String list(int rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + target(state) + "]}\n";
    }

    /** Interrupted, the starting thread never comes to hold the listener that clients reach all the same. */
    @Test
    void aConnectionThatComesBeforeTheStartHasReturnedIsAnswered() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        node = new Node(config(1024, settings(), port), (s, seed) -> module, false, line -> { });
        Thread.currentThread().interrupt();
        assertThrows(IOException.class, node::start);
        assertTrue(Thread.interrupted());
        node.loop().submit(() -> { }).get(20, TimeUnit.SECONDS);    // the bind has been carried out
        InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (Client client = new Client(to)) {
            assertEquals(503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
    }

    private Config config(int sockets, Map<String, Object> settings, int port) throws IOException {
        return Config.of(Map.of(), Map.of("name", "n1", "listen", "127.0.0.1:" + port, "discovery",
            discovery.address(), "seed", "8c1f30d27a5be964", "limits", Map.of("sockets", sockets),
            "settings", settings, "known", com.fasterxml.jackson.jr.ob.JSON.std
                .mapFrom(list(41, true, "in_service"))));
    }

    private void start() throws IOException, InterruptedException {
        start(Map.of(), 1024);
    }

    private void start(Map<String, Object> limits, int sockets) throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        @SuppressWarnings("unchecked")
        Map<String, Object> all = (Map<String, Object>) settings.get("Limits");
        all.putAll(limits);
        node = new Node(config(sockets, settings, 0), (s, seed) -> module, rehearse, line -> {
            synchronized (log) {
                log.add(line);
            }
        });
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
    }

    private static String post(String kind, String extra, String body) {
        return "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: " + kind + "\r\n"
            + extra + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // ---------------------------------------------------------------- one final answer

    @Test
    void aRequestGoesOnUnchangedAndTheWholeAnswerComesBack() throws IOException, InterruptedException {
        start();
        byte[] big = new byte[64 * 1024];
        new Random(1).nextBytes(big);
        try (Client client = new Client(at)) {
            client.send(SAFE);
            assertEquals("0 k1 700 true", module.requests.poll(20, TimeUnit.SECONDS));
            FakeUpstream.Got got = upstream.next();
            assertEquals("GET /api/k1?x=%20y HTTP/1.1", got.line());
            assertEquals("r1", got.header("Req-Id"));
            assertTrue(Integer.parseInt(got.header("Req-Deadline-Ms")) < 20_000);
            got.answer(200, "Srv-Load: TEXT eps=0.1, inflight=7\r\n", big);
            assertEquals(200, client.status());
            assertArrayEquals(big, client.body);
            assertEquals("OK 7.0 closed", module.next());
            client.send(post("pay", "Idempotency-Key: abc\r\nReq-Deadline-Ms: 20000\r\n", "hello"));
            got = upstream.next();
            assertEquals("abc", got.header("Idempotency-Key"));
            assertEquals("hello", new String(got.body(), StandardCharsets.UTF_8));
            got.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            assertEquals(200, client.status());
            assertEquals("abc", new String(client.body, StandardCharsets.UTF_8));
        }
        assertEquals(1, upstream.connections());    // kept and used again
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\n\r\n",
        "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\nReq-Deadline-Ms: soon\r\n\r\n",
        "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: other\r\nReq-Deadline-Ms: 900\r\n\r\n",
        "GET /api/k HTTP/1.1\r\nReq-Kind: read\r\nReq-Deadline-Ms: 900\r\n\r\n",
        "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n\r\n",
        "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: pay\r\nReq-Deadline-Ms: 900\r\n"
            + "Content-Length: 0\r\n\r\n",
        "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nIdempotency-Key: a\r\n"
            + "Req-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n",
        "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n"
            + "Content-Length: 65537\r\n\r\n",
        "NONSENSE\r\n\r\n",
        "GET /-/else HTTP/1.1\r\n\r\n",
    })
    void badInputIsAPlainErrorThatReachesNobody(String request) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            int status = client.send(request).status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
        }
        assertTrue(module.requests.isEmpty());
        assertEquals(0, upstream.connections());
    }

    @ParameterizedTest
    @CsvSource({"200,'',OK closed,200", "500,'',ERROR,502", "503,'',ERROR,502",
        "503,Srv-Declined: 1,FULL,502", "504,Srv-Declined: 1,FULL,502", "500,Srv-Declined: 1,ERROR,502",
        "429,'',ERROR,502"})
    void onlyADeclinedAnswerProvesThatNothingRan(int status, String header, String told, int passed)
            throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(SAFE);
            upstream.next().answer(status, header.isEmpty() ? "" : header + "\r\n", "");
            assertEquals(told, module.next());
            assertEquals(passed, client.status());
        }
    }

    @Test
    void aBrokenConnectionIsAResetOnceTheRequestIsWritten() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(SAFE);
            upstream.next().reset();
            assertEquals("RESET", module.next());
            assertEquals(502, client.status());
            client.send(SAFE);
            FakeUpstream.Got half = upstream.next();
            half.raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            half.socket().close();
            assertEquals("RESET", module.next());
            assertEquals(502, client.status());
        }
    }

    @Test
    void aRefusedConnectionNeverRan() throws IOException, InterruptedException {
        start();
        upstream.close();
        try (Client client = new Client(at)) {
            assertEquals(502, client.send(SAFE).status());
            assertEquals("CONNECT_FAILED", module.next());
        }
    }

    @Test
    void aTimeOutClosesTheConnectionAndMayHaveRun() throws IOException, InterruptedException {
        start();
        module.timeout = 100_000;
        try (Client client = new Client(at)) {
            client.send(SAFE);
            FakeUpstream.Got got = upstream.next();
            assertTrue(Integer.parseInt(got.header("Req-Deadline-Ms")) <= 100);
            assertEquals("TIMEOUT", module.next());
            assertEquals(502, client.status());
            assertTrue(got.closedByPeer());
        }
    }

    @Test
    void aClientThatLeavesIsToldToTheModuleAndItsAttemptIsGivenUp() throws IOException, InterruptedException {
        start();
        Client client = new Client(at).send(SAFE);
        FakeUpstream.Got got = upstream.next();
        client.close();
        assertEquals("gone", module.next());
        assertEquals("CANCELLED closed", module.next());
        assertTrue(got.closedByPeer());
    }

    @Test
    void aSilentModuleIsCoveredByTheLastResort() throws IOException, InterruptedException {
        start();
        module.server = null;
        try (Client client = new Client(at)) {
            client.send(SAFE.replace("20000", "150"));
            assertEquals(502, client.status());
            assertEquals("gone", module.next());
        }
        synchronized (log) {
            assertTrue(log.contains("last-resort answers: 1"), log.toString());
        }
    }

    @Test
    void aModuleThatThrowsDoesNotEndTheNode() throws IOException, InterruptedException {
        start();
        module.broken = true;
        try (Client client = new Client(at)) {
            assertEquals(502, client.send(SAFE.replace("20000", "150")).status());
            assertEquals("gone", module.next());
            synchronized (log) {
                assertTrue(log.get(log.size() - 2).startsWith("fault 1: "), log.toString());
            }
            module.broken = false;
            client.send(SAFE);
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }

    // ---------------------------------------------------------------- connections and the list

    @Test
    void idleConnectionsAreClosedWellBeforeTheUpstreamWould() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 400_000), 1024);
        try (Client client = new Client(at)) {
            client.send(SAFE);
            FakeUpstream.Got got = upstream.next();
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
            assertTrue(closesSoon(got));
        }
    }

    // The upstream's own reader takes the end of the stream; the socket tells of it by refusing what is sent.
    private static boolean closesSoon(FakeUpstream.Got got) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < until) {
            try {
                got.raw("\r\n");
            } catch (IOException e) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    @Test
    void theListIsWatchedAsTheModuleAsksAndSplitLinesAreRead() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got watch = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.line());
        String first = list(43, true, "in_service");
        watch.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.raw(chunk(first.substring(0, 30)));
        watch.raw(chunk(first.substring(30)));
        assertEquals("COMPLETE [s1=UP]", module.next());
        watch.raw(chunk("\n"));                     // nothing has changed
        watch.raw(chunk(list(44, false, "terminating")));
        assertEquals("PARTIAL [s1=DRAINING]", module.next());
        watch.raw(chunk("{not json\n"));
        assertEquals("FAILED []", module.next());
        onLoop(() -> module.actions.watch(true));
        assertEquals("GET /api/targets?watch=1&from=44 HTTP/1.1", discovery.next().line());
        onLoop(() -> module.actions.fetchList());
        FakeUpstream.Got fetch = discovery.next();
        assertEquals("GET /api/targets HTTP/1.1", fetch.line());
        fetch.answer(200, "", list(45, true, "in_service").strip());
        assertEquals("COMPLETE [s1=UP]", module.next());
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(503, "", "");
        assertEquals("FAILED []", module.next());
    }

    @Test
    @Timeout(60)
    void nothingIsSentToAnUpstreamThatHasGone() throws IOException, InterruptedException {
        start(Map.of(), 1024);
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
        assertEquals("COMPLETE []", module.next());
        // The grace is over at last; the module of this test goes on sending all the same.
        try (Client client = new Client(at)) {
            String told = "OK closed";
            while (told.startsWith("OK")) {
                client.send(SAFE);
                told = module.told.poll(10, TimeUnit.MILLISECONDS);
                while (told == null) {
                    if (!upstream.isEmpty()) {
                        upstream.next().answer(200, "", "ok");
                    }
                    told = module.told.poll(10, TimeUnit.MILLISECONDS);
                }
                client.status();
            }
            assertEquals("NOT_SENT", told);
        }
    }

    /** Its connections come up only once the test accepts: its queue of waiting connections is full. */
    @Test
    @Timeout(60)
    void anAttemptThatStillWaitsForItsConnectionIsNotSentAfterTheGrace()
            throws IOException, InterruptedException {
        List<Socket> fillers = new ArrayList<>();
        List<Client> clients = new ArrayList<>();
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (fill(fillers, slow.getLocalPort())) {
                assertTrue(fillers.size() < 50, "the queue never fills");
            }
            endpoint = "127.0.0.1:" + slow.getLocalPort();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            clients.add(new Client(at).send(SAFE));
            assertEquals("0 k1 700 true", module.requests.poll(20, TimeUnit.SECONDS));
            onLoop(() -> module.actions.fetchList());
            discovery.next().answer(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
            assertEquals("COMPLETE []", module.next());
            String told = null;
            while (told == null) {                  // until new attempts show that the grace is over
                clients.add(new Client(at).send(SAFE));
                told = module.told.poll(100, TimeUnit.MILLISECONDS);
            }
            assertEquals("NOT_SENT", told);
            Thread accepting = new Thread(() -> {
                try {
                    while (true) {
                        accepted.add(slow.accept());
                    }
                } catch (IOException e) {
                    Thread.currentThread().interrupt();
                }
            });
            accepting.start();
            for (int i = 1; i < clients.size(); i++) {
                assertEquals("NOT_SENT", module.next());
            }
            Socket taken;
            int ports = 0;
            for (int i = 0; i < fillers.size(); i++) {
                taken = accepted.poll(20, TimeUnit.SECONDS);
                ports += taken == null ? 0 : 1;
            }
            assertEquals(fillers.size(), ports);
            taken = accepted.poll(20, TimeUnit.SECONDS);
            taken.setSoTimeout(20_000);
            assertEquals(-1, taken.getInputStream().read(), "nothing was written");
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
            for (Client client : clients) {
                client.close();
            }
        }
    }

    private static boolean fill(List<Socket> fillers, int port) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 300);
            fillers.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    @Test
    void probesTellTheLoad() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.probe("s1"));
        FakeUpstream.Got got = upstream.next();
        assertEquals("GET /-/load HTTP/1.1", got.line());
        assertNull(got.header("Req-Id"));
        got.answer(200, "", "TEXT inflight=3");
        assertEquals("probed OK 3.0", module.next());
    }

    @Test
    void descriptorsAreKeptFreeByClosingIdleConnectionsFirst() throws IOException, InterruptedException {
        start(Map.of(), 4);                         // a reserve of two, two for use
        try (Client client = new Client(at)) {
            client.send(SAFE);
            FakeUpstream.Got got = upstream.next();
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
            try (Client second = new Client(at)) {
                assertTrue(closesSoon(got));
                assertEquals(200, second.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            }
        }
    }

    // ---------------------------------------------------------------- start and stop

    @Test
    void aRehearsalComesBeforeReadinessAndReachesNeitherModuleNorUpstream()
            throws IOException, InterruptedException {
        rehearse = true;
        start();
        try (Client client = new Client(at)) {
            int status = 503;
            while (status == 503) {
                status = client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
            }
            assertEquals(200, status);
            assertEquals(404, client.send("GET /-/rehearsed HTTP/1.1\r\nHost: x\r\n\r\n").status());
            assertEquals(404, client.send(SAFE.replace("/api/k1?x=%20y", "/-/rehearsal")).status());
            assertTrue(module.requests.isEmpty());
            assertEquals(0, upstream.connections());
            client.send(SAFE);
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }

    @Test
    void anOrderlyStopAnswersWhatIsHeldAndGoesOnTakingConnectionsForAWhile()
            throws IOException, InterruptedException {
        start();
        Client idle = new Client(at);
        assertEquals(200, idle.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        Client held = new Client(at).send(SAFE);
        FakeUpstream.Got got = upstream.next();
        Thread stop = new Thread(node::stop);
        stop.start();
        int ready = 200;
        while (ready == 200) {
            try (Client late = new Client(at)) {
                ready = late.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
            }
        }
        assertEquals(503, ready);
        assertNull(idle.answer());                  // dropped at rest
        got.answer(200, "", "late but whole");
        String head = held.answer();
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertTrue(head.toLowerCase().contains("connection: close"), head);
        assertNull(held.answer());
        stop.join();
        node = null;
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "{} | ROUTER_LISTEN is not set, and the configuration has no listen",
        "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"localhost:1\"} | discovery: not an address: 'localhost'",
        "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\"} | the configuration has no settings",
        "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"Quantum\":1}} "
            + "| settings: ",
    })
    void badConfigurationIsNamed(String json, String complaint) throws IOException {
        try {
            Config.of(Map.of("ROUTER_NAME", "n1"), com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(json));
        } catch (Config.Bad e) {
            assertTrue(e.getMessage().startsWith(complaint), e.getMessage());
            return;
        }
        throw new AssertionError("taken");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void onLoop(Runnable action) {
        node.loop().execute(action);
    }
}
