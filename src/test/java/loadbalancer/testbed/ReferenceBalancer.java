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

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Fault fault;

    ReferenceBalancer(String known, Fault fault) throws IOException {
        this.fault = fault;
        for (Object target : (List<?>) JSON.std.mapFrom(known).get("targets")) {
            servers.add(Addresses.parse((String) ((Map<?, ?>) target).get("endpoint")));
        }
        run(() -> {
            while (true) {
                Socket client = listener.accept();
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
            boolean affected = number % 20 == 0 && new String(request, StandardCharsets.ISO_8859_1).startsWith("POST");
            if (affected && fault == Fault.FORGETS) {
                continue;
            }
            byte[] response = fault == Fault.KNOWS_NOTHING ? null : forward(request, number);
            if (fault == Fault.KNOWS_NOTHING) {
                response = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
            }
            if (affected && fault == Fault.DOUBLES) {
                response = forward(request, number + 1);
            }
            if (affected && fault == Fault.REFUSES_WHAT_RAN) {
                response = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
            }
            client.getOutputStream().write(response);
        }
    }

    private byte[] forward(byte[] request, int number) throws IOException {
        InetSocketAddress server = servers.get(number % servers.size());
        try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
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
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    @Override
    public boolean isAlive() {
        return !listener.isClosed();
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
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
