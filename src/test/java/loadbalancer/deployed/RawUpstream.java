package loadbalancer.deployed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in upstream: records which requests have come whole, and answers as its handler says. */
final class RawUpstream implements AutoCloseable {
    /** Answers one request whose head has been read. */
    interface Handler {
        void handle(Exchange exchange) throws IOException, InterruptedException;
    }

    /** A request that is being received, and the streams of its connection. */
    record Exchange(RawUpstream upstream, String head, InputStream in, OutputStream out) {
        String id() {
            return head.split("(?i)req-id: ")[1].split("\r\n")[0];
        }

        /** Reads the body; the request runs from here on. */
        void receive() throws IOException {
            RawClient.body(in, head);
            upstream.runs
                    .computeIfAbsent(id(), unused -> new CopyOnWriteArrayList<>())
                    .add(System.nanoTime());
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    /** Answers at once. */
    static final Handler AT_ONCE = exchange -> {
        exchange.receive();
        exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };

    private static final int CONNECTION_SECONDS = 5;

    private final Map<String, List<Long>> runs = new ConcurrentHashMap<>(); // System.nanoTime() by request id
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private final List<Socket> fillers = new ArrayList<>(); // of the queue of connections
    private final Set<Integer> fillerPorts = new HashSet<>();
    private final List<Long> acceptTimes = new CopyOnWriteArrayList<>(); // System.nanoTime(), without the fillers
    private final AtomicInteger usedConnections = new AtomicInteger();
    private final int receiveBufferBytes;
    private final Thread acceptor;
    private volatile Handler handler;

    RawUpstream(Handler handler) throws IOException {
        this(handler, 0, 0);
    }

    /**
     * Listens.
     *
     * @param port 0 for any
     * @param receiveBufferBytes of each connection; 0 for the system's default
     */
    RawUpstream(Handler handler, int port, int receiveBufferBytes) throws IOException {
        this.handler = handler;
        this.receiveBufferBytes = receiveBufferBytes;
        server = new ServerSocket();
        server.setReuseAddress(true);
        if (receiveBufferBytes > 0) {
            server.setReceiveBufferSize(receiveBufferBytes);
        }
        server.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
        acceptor = run(this::accept);
    }

    /**
     * Listens with a full queue of connections until {@link #acceptLate}: those that are made meanwhile come up when
     * the client's system tries again, after about a second (Linux).
     */
    static RawUpstream late(Handler handler) throws IOException {
        return new RawUpstream(handler, new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    }

    private RawUpstream(Handler handler, ServerSocket unaccepted) throws IOException {
        this.handler = handler;
        receiveBufferBytes = 0;
        server = unaccepted;
        for (int i = 0; i < 2; i++) {
            Socket filler = new Socket(server.getInetAddress(), server.getLocalPort());
            fillers.add(filler);
            fillerPorts.add(filler.getLocalPort());
        }
        acceptor = new Thread(() -> {});
    }

    /** Accepts connections from here on; those that filled the queue are closed. */
    void acceptLate() throws IOException {
        run(this::accept);
        for (Socket filler : fillers) {
            filler.close();
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static Thread run(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        Thread.currentThread().interrupt(); // the connection has ended
                    }
                },
                "upstream",
                256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = server.accept();
            if (!fillerPorts.contains(connection.getPort())) {
                acceptTimes.add(System.nanoTime());
            }
            connection.setTcpNoDelay(true);
            connections.add(connection);
            run(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream(), bufferBytes());
            boolean used = false;
            for (String head = RawClient.head(in); head != null; head = RawClient.head(in)) {
                if (!used) {
                    usedConnections.incrementAndGet();
                }
                used = true;
                handler.handle(new Exchange(this, head, in, connection.getOutputStream()));
            }
        } finally {
            connections.remove(connection);
        }
    }

    private int bufferBytes() {
        return receiveBufferBytes > 0 ? receiveBufferBytes : 8 << 10;
    }

    void handle(Handler newHandler) {
        handler = newHandler;
    }

    /** When each connection of a balancer was accepted, by System.nanoTime(). */
    List<Long> acceptTimes() {
        return acceptTimes;
    }

    /** Waits until that many connections of a balancer have been accepted; false where they have not come in time. */
    boolean awaitConnections(int count) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONNECTION_SECONDS);
        while (acceptTimes.size() < count && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return acceptTimes.size() >= count;
    }

    /** How many connections have carried a request. */
    int usedConnections() {
        return usedConnections.get();
    }

    /** When the request with that id has come whole, by System.nanoTime(). */
    List<Long> runTimes(String id) {
        return List.copyOf(runs.getOrDefault(id, List.of()));
    }

    /** How often the request with that id has come whole. */
    int runs(String id) {
        return runs.getOrDefault(id, List.of()).size();
    }

    /**
     * Refuses connections from here on; those that are open go on. The system keeps the port until the thread that
     * accepts has left its call.
     */
    void stopListening() throws IOException, InterruptedException {
        server.close();
        acceptor.join();
    }

    int port() {
        return server.getLocalPort();
    }

    /** This upstream as an entry of an endpoint list. */
    String target(String uid, int cell, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port()
                + "\",\"az\":\"podrum\",\"model\":\"puni\",\"pod_group\":" + cell + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
