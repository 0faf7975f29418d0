package loadbalancer.server;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An upstream that accepts no connection until the test says so: its accept queue is full. */
final class UnacceptingListener implements Closeable {
    private static final int MAX_QUEUE_FILLERS = 50;
    private static final int FULL_AFTER_MILLIS = 300;
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final ServerSocket server;
    private final List<Socket> queueFillers = new ArrayList<>();
    private final Set<Integer> fillerPorts = new HashSet<>();
    private final List<Socket> handedOut = new ArrayList<>();
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

    UnacceptingListener() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        while (fill()) {
            if (queueFillers.size() > MAX_QUEUE_FILLERS) {
                throw new IOException("the accept queue never fills");
            }
        }
    }

    private boolean fill() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()), FULL_AFTER_MILLIS);
            queueFillers.add(socket);
            fillerPorts.add(socket.getLocalPort());
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Accepts connections from here on. */
    void release() {
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    if (!fillerPorts.contains(socket.getPort())) {
                        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                        accepted.add(socket);
                    }
                }
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // it has been closed
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    /**
     * Accepts connections from here on, and answers each request on them.
     *
     * @return the heads of the requests; completes once this is closed and the last connection has ended
     */
    Future<List<String>> answer(String response) {
        release();
        List<String> heads = Collections.synchronizedList(new ArrayList<>());
        return CompletableFuture.supplyAsync(() -> {
            List<CompletableFuture<Void>> served = new ArrayList<>();
            while (!server.isClosed() || !accepted.isEmpty()) {
                try {
                    Socket socket = accepted.poll(10, TimeUnit.MILLISECONDS);
                    if (socket != null) {
                        served.add(CompletableFuture.runAsync(() -> answer(socket, response, heads)));
                    }
                } catch (InterruptedException e) {
                    throw new CompletionException(e);
                }
            }
            served.forEach(CompletableFuture::join);
            return heads;
        });
    }

    private static void answer(Socket socket, String response, List<String> heads) {
        try (socket) {
            for (String head = ScriptedUpstream.head(socket.getInputStream());
                    head != null;
                    head = ScriptedUpstream.head(socket.getInputStream())) {
                heads.add(head);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The next accepted connection, those that filled the queue left out. */
    Socket next() throws InterruptedException {
        Socket socket = accepted.poll(20, TimeUnit.SECONDS);
        if (socket == null) {
            throw new AssertionError("no connection came up");
        }
        handedOut.add(socket);
        return socket;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : queueFillers) {
            socket.close();
        }
        for (Socket socket : handedOut) {
            socket.close();
        }
    }
}
