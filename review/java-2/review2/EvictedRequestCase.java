package review2;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A crowd of bad clients sends halves of requests, while sound clients send whole ones, all in small chunks. */
final class EvictedRequestCase {
    private static final int DESCRIPTORS = 512;
    private static final int SOUND_CLIENTS = 170; // a third of the descriptors
    private static final int BAD_CLIENTS = 500;
    private static final int CHUNKS = 10_000; // of one byte each
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int ROUNDS = 3;

    private EvictedRequestCase() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, EvictedRequestCase::isBroken);
    }

    private static String order(String id, boolean whole) {
        return "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id
                + "\r\nReq-Kind: nova-narudzba\r\nReq-Deadline-Ms: " + DEADLINE_MILLIS
                + "\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS) + (whole ? "0\r\n\r\n" : "");
    }

    private static boolean isBroken(Kit kit, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(kit);
        for (int i = 0; i < 4; i++) {
            Upstream upstream = new Upstream(kit, "s" + i, (u, id, head, body) -> {
                kit.note("  " + u.name + " runs " + id);
                Kit.sleep(20);
                return Upstream.ok("confirmed " + id);
            });
            discovery.put(upstream.name, upstream.address(), i / 2, "in_service", 0);
        }
        Settings settings = new Settings()
                .add("nova-narudzba", "unsafe", "all", 5_000, 600, 2_500, 0.2)
                .add("ovjera-hitno", "keyed", "cell", 1_000, 250, 500, 0.25);
        Kit.Balancer balancer = kit.balancer("b0", discovery, settings.json(), DESCRIPTORS);
        balancer.awaitReady();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        for (int round = 0; round < ROUNDS; round++) {
            List<Socket> crowd = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < SOUND_CLIENTS; i++) {
                String id = "r" + round + "s" + i;
                int delay = i;
                clients.add(kit.start("sound client", () -> sound(kit, balancer, id, delay, answered, lost)));
            }
            String half = order("bad", false);
            if (trouble) {
                kit.note(BAD_CLIENTS + " bad clients connect, and send halves of requests");
                for (int t = 0; t < 8; t++) {
                    int part = t;
                    int number = round;
                    clients.add(kit.start("bad clients", () -> {
                        for (int i = part; i < BAD_CLIENTS; i += 8) {
                            String id = "bad" + number + "x" + i;
                            Socket socket = new Socket();
                            synchronized (crowd) {
                                crowd.add(socket);
                            }
                            socket.connect(balancer.address, 3_000);
                            kit.start("bad client", () -> bad(socket, half.replace("Req-Id: bad", "Req-Id: " + id)));
                        }
                    }));
                }
            }
            for (Thread client : clients) {
                client.join();
            }
            synchronized (crowd) {
                for (Socket socket : crowd) {
                    socket.close();
                }
            }
            Kit.sleep(3_000);
            kit.note("round " + round + ": " + answered + " answered so far, " + lost + " lost");
        }
        if (answered.get() == 0 && lost.get() == 0) {
            throw new IOException("no request was judged");
        }
        return lost.get() > 0;
    }

    // Sends at full speed, stays, reads what it is sent, and closes when it has been closed.
    private static void bad(Socket socket, String half) {
        try (socket) {
            socket.getOutputStream().write(half.getBytes(StandardCharsets.ISO_8859_1));
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        } catch (IOException e) {
            return; // it has been reset
        }
    }

    private static void sound(
            Kit kit,
            Kit.Balancer balancer,
            String id,
            int delay,
            AtomicInteger answered,
            AtomicInteger lost) {
        Kit.sleep(delay);
        double sentAt = 0;
        try (Client client = new Client(balancer.address)) {
            client.send(order(id, true));
            sentAt = kit.millis();
            Client.Answer answer = client.receive(4_000);
            answered.incrementAndGet();
            kit.note(String.format("  %s answered %d after %.0f ms", id, answer.status, kit.millis() - sentAt));
        } catch (SocketTimeoutException e) {
            kit.note(String.format("  %s not answered in time", id));
        } catch (IOException e) {
            double age = kit.millis() - sentAt;
            // An end in order, no reset: the balancer's machine had nothing unread of this client.
            boolean isLost = sentAt > 0 && e instanceof EOFException;
            lost.addAndGet(isLost ? 1 : 0);
            kit.note(String.format(
                    "%s%s: %s, %.0f ms after its last byte",
                    isLost ? "" : "  ", id, isLost ? "written whole, closed with no answer" : e.getMessage(), age));
        }
    }
}
