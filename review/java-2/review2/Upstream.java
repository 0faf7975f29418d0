package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream: begins a request when its last byte has come, and tells the case of it. */
final class Upstream {
    final String name;
    private final Kit kit;
    private final ServerSocket listener;
    private final Work work;
    private final AtomicInteger used = new AtomicInteger();

    /** What the upstream does with a request. */
    interface Work {
        /** Called when the last byte of the request has come; returns the whole answer, or null for a close. */
        String answer(Upstream upstream, String id, String head, String body) throws Exception;
    }

    Upstream(Kit kit, String name, Work work) throws IOException {
        this(kit, name, new ServerSocket(0, 128, Kit.loopback()), work);
        serve();
    }

    /** At a listener of the case, which passes connections on with {@link #serve(Socket)}. */
    Upstream(Kit kit, String name, ServerSocket listener, Work work) {
        this.kit = kit;
        this.name = name;
        this.work = work;
        this.listener = listener;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void serve() {
        kit.start(name, () -> {
            while (true) {
                serve(listener.accept());
            }
        });
    }

    /** How many connections have carried a request. */
    int used() {
        return used.get();
    }

    void serve(Socket socket) {
        kit.start(name + " connection", () -> {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (int requests = 0; ; requests++) {
                    String head;
                    try {
                        head = Client.readHead(in);
                    } catch (IOException e) {
                        return; // the balancer has closed the connection
                    }
                    String body = Client.readBody(in, head);
                    if (requests == 0) {
                        used.incrementAndGet();
                    }
                    String answer = work.answer(this, Client.field(head, "Req-Id"), head, body);
                    if (answer == null) {
                        return;
                    }
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().flush();
                }
            }
        });
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
