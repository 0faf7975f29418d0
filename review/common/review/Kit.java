package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The stand-ins that the cases share: discovery, servers, clients, and the balancer's processes. */
public final class Kit implements AutoCloseable {
    /** The case could not run. */
    public static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        public CannotRun(String message) {
            super(message);
        }
    }

    private static final long START_NANOS = System.nanoTime();
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    public final Path root;
    private final PrintWriter record;
    private final Path scratch;
    private final List<Balancer> balancers = new ArrayList<>();
    private boolean ended; // guarded by balancers
    private final AtomicInteger names = new AtomicInteger();

    /** {@code folder}: the case's folder, below the repository's root. */
    public Kit(Path folder) throws IOException {
        root = folder.toAbsolutePath().normalize().getParent().getParent();
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        String given = System.getenv("REVIEW_SCRATCH"); // made and removed by common/run-case
        scratch = given == null ? Files.createTempDirectory("review") : Path.of(given);
        String script = System.getenv("REVIEW_SCRIPT");
        if (script != null) {
            long id = Long.parseLong(script);
            start(() -> {
                while (ProcessHandle.of(id).isPresent()) {
                    sleep(100);
                }
                System.exit(2); // the script has been killed: the shutdown hook ends what was started
            });
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        note("trouble=" + (TROUBLE ? 1 : 0));
    }

    /** Milliseconds since the start of the script. */
    public static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    public synchronized void note(String line) {
        String text = String.format(Locale.ROOT, "%7d ms  %s", millis(), line);
        record.println(text);
    }

    public synchronized void say(String line) {
        note(line);
        System.out.println(line);
    }

    // Processes start and are ended under one lock, and none starts afterwards.
    private void killAll() {
        synchronized (balancers) {
            ended = true;
            for (Balancer balancer : balancers) {
                balancer.kill();
            }
        }
        try (var files = Files.walk(scratch)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // nothing more can be done
        }
    }

    @Override
    public void close() {
        killAll();
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static Thread start(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- the balancer

    /** One process, started by the line `run` of the deploy file. */
    public final class Balancer {
        public final String name;
        public final InetSocketAddress address;
        public final InetSocketAddress management;
        private final Path folder;
        private final Path config;
        private final String discovery;
        private Process process;

        Balancer(Discovery service) throws IOException {
            name = "n" + names.incrementAndGet();
            address = new InetSocketAddress("127.0.0.1", freePort());
            management = new InetSocketAddress("127.0.0.1", freePort());
            folder = Files.createDirectory(scratch.resolve(name));
            config = folder.resolve("config.json");
            discovery = service.address();
        }

        public void configure(String settings, String known) throws IOException {
            Path fresh = folder.resolve("config.new");
            Files.writeString(
                    fresh,
                    "{\"name\":\"" + name + "\",\"listen\":\"" + text(address) + "\",\"management\":\""
                            + text(management) + "\",\"discovery\":\"" + discovery + "\",\"seed\":\""
                            + Long.toHexString(System.nanoTime()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                            + "\"sockets\":1024},\"known\":" + known + ",\"settings\":" + settings + "}");
            Files.move(fresh, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        public void launch() throws IOException, CannotRun {
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring(7, line.indexOf('"', 7));
                }
            }
            if (run == null || !Files.exists(root.resolve("target/loadbalancer.jar"))) {
                throw new CannotRun("the balancer is not built");
            }
            Path temporary = Files.createDirectories(folder.resolve("tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("ROUTER_"));
            builder.environment().remove("JAVA_TOOL_OPTIONS");
            builder.environment().put("TMPDIR", temporary.toString());
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("ROUTER_LISTEN", text(address));
            builder.environment().put("ROUTER_DISCOVERY", discovery);
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.redirectErrorStream(true);
            synchronized (balancers) {
                if (ended) {
                    throw new CannotRun("interrupted");
                }
                process = builder.start();
                Files.writeString(scratch.resolve("process." + process.pid()), "");
            }
            Process started = process;
            note(name + ": started, process " + started.pid());
            start(() -> {
                try (var log = started.inputReader()) {
                    for (String line = log.readLine(); line != null; line = log.readLine()) {
                        note(name + ": log: " + line);
                    }
                } catch (IOException e) {
                    // it has ended
                }
            });
        }

        public void awaitReady() throws CannotRun {
            long until = millis() + 30_000;
            while (millis() < until) {
                try (Client client = new Client(address, 0)) {
                    client.send("GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
                    if (client.receive(2_000).status == 200) {
                        note(name + ": ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(50);
            }
            throw new CannotRun(name + " is not ready within 30 s");
        }

        public boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** The exit code; -1 while the process runs. */
        public int exitCode() {
            return process.isAlive() ? -1 : process.exitValue();
        }

        public boolean awaitEnd(long millis) {
            try {
                return process.waitFor(millis, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                return false;
            }
        }

        public void signal(String signal) throws IOException {
            note(name + ": SIG" + signal);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** An operator's call; the status, or -1. */
        public int call(String method, String path) {
            try (Client client = new Client(management, 0)) {
                client.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
                int status = client.receive(2_000).status;
                note(name + ": " + method + " " + path + ": " + status);
                return status;
            } catch (IOException e) {
                note(name + ": " + method + " " + path + ": " + e);
                return -1;
            }
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    public Balancer balancer(Discovery service) throws IOException {
        Balancer balancer = new Balancer(service);
        synchronized (balancers) {
            balancers.add(balancer);
        }
        return balancer;
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The settings of the operators' site in its small form; {@code classes}: JSON of the list of classes. */
    public static String settings(int balancers, String classes) {
        return "{\"Areas\":\"podrum\",\"Balancers\":" + balancers + ",\"Rank\":0,\"Locality\":0,\"Classes\":" + classes
                + ",\"Kinds\":\"puni,slabi\",\"Limits\":{\"Cancel\":true,\"CpuUsPerRequest\":0.0,"
                + "\"DialTimeout\":120000,\"IdleClose\":30000000,\"MaxRetryAfter\":1200000,\"MayDuplicate\":true,"
                + "\"PeerMessages\":false,\"Probes\":true,\"RetryAfter\":false,\"StreamsPerConn\":1,\"TryLimit\":3},"
                + "\"MembershipMode\":\"ask\",\"Quantum\":2000,\"Rules\":{\"AnswerSlack\":8000,\"AskWithin\":10000000,"
                + "\"ColdFrom\":0.3,\"DrainGrace\":1000000,\"Fall\":1000000,\"OverloadFactor\":3.0,"
                + "\"RampTime\":8400000},\"Stats\":{\"Fields\":\"errors_per_s,recent_ms,outstanding\","
                + "\"How\":\"answers\"},\"Specifics\":{\"WarmKeys\":false},\"WeightKind\":\"nominal\","
                + "\"WorthBy\":\"work\"}";
    }

    public static String requestClass(String name, String effect, long aimMillis, long deadlineMillis) {
        return "{\"Name\":\"" + name + "\",\"Idempotency\":\"" + effect + "\",\"DedupScope\":\""
                + (effect.equals("keyed") ? "cell" : "all") + "\",\"KeyTtl\":1000000,\"GoalTime\":" + aimMillis * 1000
                + ",\"GiveUp\":" + deadlineMillis * 1000 + ",\"Gain\":3.0,\"LateShare\":0.2,\"Stream\":false}";
    }

    // ---------------------------------------------------------------- discovery

    /** One entry of the list. */
    public record Target(String uid, String endpoint, int cell, String state, long bootMillis) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint
                    + "\",\"az\":\"podrum\",\"model\":\"puni\",\"pod_group\":" + cell + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}";
        }
    }

    /** The discovery service: answers whole lists, and watches with changes and an empty line every 2 s. */
    public final class Discovery {
        private final ServerSocket socket = listen(64);
        private final Map<String, Target> targets = new java.util.LinkedHashMap<>();
        private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
        private int version = 41;

        public Discovery() throws IOException {
            start(() -> accept(socket, this::serve));
            start(() -> {
                while (true) {
                    sleep(2_000);
                    tell("\n");
                }
            });
        }

        public String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        public synchronized void set(Target target) {
            targets.put(target.uid(), target);
            version++;
            note("discovery: version " + version + ": " + target.json());
            tell("{\"rev\":" + version + ",\"all\":false,\"targets\":[" + target.json() + "]}\n");
        }

        public synchronized String list() {
            StringBuilder text = new StringBuilder();
            for (Target target : targets.values()) {
                if (!target.state().equals("terminated")) {
                    text.append(text.length() == 0 ? "" : ",").append(target.json());
                }
            }
            return "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + text + "]}";
        }

        private synchronized void tell(String line) {
            for (OutputStream watch : watches) {
                try {
                    writeChunk(watch, line);
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        private void writeChunk(OutputStream out, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        private void serve(Socket connection) throws IOException {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            Head head = Head.read(in);
            if (head == null) {
                return;
            }
            if (head.start.contains("watch=1")) {
                synchronized (this) {
                    out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
                    writeChunk(out, list() + "\n");
                    watches.add(out);
                }
                in.read(); // until the balancer ends it
                watches.remove(out);
            } else {
                byte[] body = list().getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                + "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
            }
        }
    }

    // ---------------------------------------------------------------- servers

    static ServerSocket listen(int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress("127.0.0.1", 0), backlog);
        return socket;
    }

    interface Connected {
        void serve(Socket connection) throws IOException;
    }

    private static void accept(ServerSocket socket, Connected handler) {
        while (!socket.isClosed()) {
            Socket connection;
            try {
                connection = socket.accept();
            } catch (IOException e) {
                return;
            }
            start(() -> {
                try (connection) {
                    connection.setTcpNoDelay(true);
                    handler.serve(connection);
                } catch (IOException e) {
                    // the other side has gone
                }
            });
        }
    }

    /** One request as a server has received it. */
    public record Received(Head head, byte[] body, OutputStream out, Socket connection) {
        public String id() {
            return head.field("req-id");
        }

        public void answer(int status, String fields, byte[] body) throws IOException {
            byte[] head = ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            if (body.length > 65_536) {
                out.write(head); // no copy of a long body
                out.write(body);
                return;
            }
            byte[] whole = new byte[head.length + body.length];
            System.arraycopy(head, 0, whole, 0, head.length);
            System.arraycopy(body, 0, whole, head.length, body.length);
            out.write(whole);
            out.flush();
        }
    }

    /** Answers a request, once its last byte has come. */
    public interface Handler {
        void handle(Server server, Received request) throws IOException;
    }

    /** A server: reads one request at a time on a connection and gives it to the handler. */
    public final class Server {
        public final String uid;
        public final int cell;
        public final AtomicLong requests = new AtomicLong();
        private final ServerSocket socket = listen(1024);
        private final Handler handler;

        public Server(String uid, int cell, Handler handler) throws IOException {
            this.uid = uid;
            this.cell = cell;
            this.handler = handler;
            start(() -> accept(socket, this::serve));
        }

        public Target target(String state) {
            return new Target(uid, "127.0.0.1:" + socket.getLocalPort(), cell, state, 0);
        }

        private void serve(Socket connection) throws IOException {
            InputStream in = new BufferedInputStream(connection.getInputStream(), 4096);
            OutputStream out = connection.getOutputStream();
            for (Head head = Head.read(in); head != null; head = Head.read(in)) {
                byte[] body = readBody(in, head, Integer.MAX_VALUE);
                requests.incrementAndGet();
                handler.handle(this, new Received(head, body, out, connection));
            }
        }
    }

    // ---------------------------------------------------------------- messages

    /** The start line and the fields of a message. */
    public static final class Head {
        public final String start;
        public final Map<String, String> fields = new HashMap<>();

        private Head(String start) {
            this.start = start;
        }

        public String field(String name) {
            return fields.get(name);
        }

        /** Null at the end of the connection. */
        static Head read(InputStream in) throws IOException {
            String start = line(in);
            if (start == null || start.isEmpty()) {
                return null;
            }
            Head head = new Head(start);
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                head.fields.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            return head;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
                }
                if (b != '\r') {
                    bytes.write(b);
                }
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
    }

    static byte[] readBody(InputStream in, Head head, int most) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(in.readNBytes(size));
                Head.line(in);
            }
            Head.line(in);
        } else if (head.field("content-length") != null) {
            int length = Integer.parseInt(head.field("content-length"));
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            if (bytes.length < length) {
                throw new EOFException("after " + bytes.length + " of " + length + " bytes");
            }
        }
        return body.toByteArray();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = Head.line(in);
        if (line == null) {
            throw new EOFException("within a chunked body");
        }
        return Integer.parseInt(line.strip(), 16);
    }

    /** An answer as a client has received it. */
    public static final class Answer {
        public int status;
        public Head head;
        public byte[] body;
    }

    /** A client's connection. */
    public static final class Client implements AutoCloseable {
        public final Socket socket = new Socket();
        public final InputStream in;
        public final OutputStream out;

        /** {@code receiveBuffer}: in bytes; 0: as the system has it. */
        public Client(InetSocketAddress to, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(to, 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 2048);
            out = socket.getOutputStream();
        }

        public void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        public Head receiveHead(long millis) throws IOException {
            socket.setSoTimeout((int) millis);
            Head head = Head.read(in);
            if (head == null) {
                throw new EOFException("closed without an answer");
            }
            return head;
        }

        public Answer receive(long millis) throws IOException {
            Answer answer = new Answer();
            answer.head = receiveHead(millis);
            answer.status = Integer.parseInt(answer.head.start.split(" ")[1]);
            answer.body = readBody(in, answer.head, Integer.MAX_VALUE);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A request of a client, up to the end of its head. */
    public static String request(String method, String id, String kind, long deadlineMillis, String more) {
        return method + " /api/" + id + " HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                + "\r\nReq-Deadline-Ms: " + deadlineMillis + "\r\n" + more + "\r\n";
    }

    /** Runs a case and ends the script with its verdict. */
    public interface Case {
        /** Returns what broke the rule; empty if it held. */
        List<String> run(Kit kit) throws Exception;
    }

    public static void main(String[] arguments, Case test) throws Exception {
        Path folder = Path.of(arguments[0]);
        int code;
        try (Kit kit = new Kit(folder)) {
            try {
                List<String> broken = test.run(kit);
                for (String line : broken) {
                    kit.say("BROKEN: " + line);
                }
                kit.say(broken.isEmpty() ? "the rule held" : "the rule was broken");
                code = broken.isEmpty() ? 0 : 1;
            } catch (CannotRun e) {
                kit.say("could not run: " + e.getMessage());
                code = 2;
            } catch (Exception e) {
                kit.say("could not run: " + e);
                e.printStackTrace();
                code = 2;
            }
        }
        Runtime.getRuntime().halt(code);
    }

}
