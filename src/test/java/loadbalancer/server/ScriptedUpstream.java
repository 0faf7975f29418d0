package loadbalancer.server;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP/1.1 server for tests: queues each complete request for the test, which then answers on its connection. One
 * thread for each connection.
 */
final class ScriptedUpstream implements Closeable {
    /** A complete request, and the connection to answer on, by the order in which connections were accepted. */
    record Got(String head, byte[] body, Socket socket, int connection) {
        /** The request line. */
        String line() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        /** A header field's value; null where there is none. */
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return null;
        }

        /** Writes bytes as they are. */
        void raw(String text) throws IOException {
            raw(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void raw(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        void answer(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            raw(out.toByteArray());
        }

        void answer(int status, String headers, String body) throws IOException {
            answer(status, headers, body.getBytes(StandardCharsets.UTF_8));
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits for the peer to close the connection; false where it does not. */
        boolean closedByPeer() {
            try {
                socket.setSoTimeout(20_000);
                return socket.getInputStream().read() < 0;
            } catch (IOException e) {
                return !(e instanceof java.net.SocketTimeoutException);
            }
        }
    }

    private final ServerSocket server;
    private final Thread acceptor;
    private final BlockingQueue<Got> requests = new LinkedBlockingQueue<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();
    private final List<Thread> readers = new CopyOnWriteArrayList<>();

    ScriptedUpstream() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptor = run(() -> {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                int number = connections.incrementAndGet();
                run(() -> read(socket, number));
            }
        });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private Thread run(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the socket is closed, and its reader ends
            }
        });
        thread.setDaemon(true);
        readers.add(thread);
        thread.start();
        return thread;
    }

    private void read(Socket socket, int number) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            String head = head(in);
            if (head == null) {
                return;
            }
            Got got = new Got(head, new byte[0], socket, number);
            String length = got.header("Content-Length");
            byte[] body = "chunked".equals(got.header("Transfer-Encoding"))
                    ? unchunked(in)
                    : in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            requests.add(new Got(head, body, socket, number));
            if (head.contains("watch=1")) {
                return; // the test reads the rest, if anything
            }
        }
    }

    /** Reads a chunked body to its end. */
    static byte[] unchunked(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("it ends within");
                }
                line.append((char) c);
            }
            int size = Integer.parseInt(line.toString().strip().split(";")[0], 16); // without chunk extensions
            if (size == 0) {
                skipTrailers(in);
                return all.toByteArray();
            }
            all.write(in.readNBytes(size));
            in.readNBytes(2);
        }
    }

    // Up to and with the empty line.
    private static void skipTrailers(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("it ends within");
            }
            if (c == '\n') {
                if (line.length() == 0) {
                    return;
                }
                line.setLength(0);
            } else if (c != '\r') {
                line.append((char) c);
            }
        }
    }

    /** Reads up to the empty line; null at the end of the stream. */
    static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.toString();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int connections() {
        return connections.get();
    }

    /** The next request; fails where none arrives. */
    Got next() throws InterruptedException {
        Got got = requests.poll(20, TimeUnit.SECONDS);
        if (got == null) {
            throw new AssertionError("no request came");
        }
        return got;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    @Override
    public void close() throws IOException {
        server.close();
        try {
            // A pending accept() may still accept a connection, which nobody would answer.
            acceptor.join(TimeUnit.SECONDS.toMillis(20));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
