package loadbalancer.testbed;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.Addresses;

/** A balancer in its simplest form, and with the faults that a ledger must catch: see {@link Fault}. */
final class ReferenceBalancer implements TestedBalancer {
    enum Fault {
        NONE,
        DOUBLES,
        FORGETS,
        REFUSES_WHAT_RAN,
        KNOWS_NOTHING
    }

    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<InetSocketAddress> boxes = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Fault fault;

    ReferenceBalancer(String known, Fault fault) throws IOException {
        this.fault = fault;
        for (Object target : (List<?>) JSON.std.mapFrom(known).get("targets")) {
            boxes.add(Addresses.parse((String) ((Map<?, ?>) target).get("endpoint")));
        }
        run(() -> {
            while (true) {
                Socket client = server.accept();
                sockets.add(client);
                run(() -> serve(client));
            }
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void run(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // its socket has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket client) throws IOException {
        InputStream in = new BufferedInputStream(client.getInputStream());
        while (true) {
            byte[] request = message(in);
            if (request == null) {
                return;
            }
            int number = requests.incrementAndGet();
            boolean odd = number % 20 == 0 && new String(request, StandardCharsets.ISO_8859_1).startsWith("POST");
            if (odd && fault == Fault.FORGETS) {
                continue;
            }
            byte[] answer = fault == Fault.KNOWS_NOTHING ? null : ask(request, number);
            if (fault == Fault.KNOWS_NOTHING) {
                answer = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
            }
            if (odd && fault == Fault.DOUBLES) {
                answer = ask(request, number + 1);
            }
            if (odd && fault == Fault.REFUSES_WHAT_RAN) {
                answer = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
            }
            client.getOutputStream().write(answer);
        }
    }

    private byte[] ask(byte[] request, int number) throws IOException {
        InetSocketAddress box = boxes.get(number % boxes.size());
        try (Socket socket = new Socket(box.getAddress(), box.getPort())) {
            socket.getOutputStream().write(request);
            return message(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static byte[] message(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.write(c);
        }
        String[] parts =
                head.toString(StandardCharsets.ISO_8859_1).toLowerCase().split("content-length: ");
        head.write(in.readNBytes(parts.length < 2 ? 0 : Integer.parseInt(parts[1].split("\r\n")[0])));
        return head.toByteArray();
    }

    @Override
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    @Override
    public boolean isAlive() {
        return !server.isClosed();
    }

    @Override
    public long cpuMicros() {
        return 0;
    }

    @Override
    public List<String> log() {
        return List.of();
    }

    @Override
    public int stop() {
        close();
        return 0;
    }

    @Override
    public void close() {
        try {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
