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

/** An upstream whose connections come up only once the test says so: its queue of waiting ones is full. */
final class UnacceptingListener implements Closeable {
    private final ServerSocket server;
    private final List<Socket> fillers = new ArrayList<>();
    private final Set<Integer> ports = new HashSet<>();
    private final List<Socket> taken = new ArrayList<>();
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

    UnacceptingListener() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        while (fill()) {
            if (fillers.size() > 50) {
                throw new IOException("the queue never fills");
            }
        }
    }

    private boolean fill() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()), 300);
            fillers.add(socket);
            ports.add(socket.getLocalPort());
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** From here on connections come up. */
    void release() {
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    if (!ports.contains(socket.getPort())) {
                        socket.setSoTimeout(20_000);
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
     * Answers each request on the connections that come up from here on.
     *
     * @return the heads that came: it ends when the last of those connections has ended, and this is closed
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

    /** The next connection that is not the test's own. */
    Socket next() throws InterruptedException {
        Socket socket = accepted.poll(20, TimeUnit.SECONDS);
        if (socket == null) {
            throw new AssertionError("no connection came up");
        }
        taken.add(socket);
        return socket;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : fillers) {
            socket.close();
        }
        for (Socket socket : taken) {
            socket.close();
        }
    }
}
