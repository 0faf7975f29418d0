package review2;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The connection for the first attempt of a keyed request comes up late; meanwhile the second one has run. */
final class LateRepeatCase {
    private static final int WINDOW_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int WORK_MILLIS = 40;
    private static final int HEAVY_MILLIS = 1_200;
    private static final int ROUNDS = 6;
    private static final int LIMIT_LONGER_MILLIS = 50;

    private LateRepeatCase() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, LateRepeatCase::isBroken);
    }

    private static boolean isBroken(Kit kit, boolean trouble) throws Exception {
        Map<String, Double> firstRunAt = new ConcurrentHashMap<>();
        List<String> broken = new ArrayList<>();
        // The upstreams of one group share what they know of keys, and drop a repeat within the window.
        Upstream.Work work = (upstream, id, head, body) -> {
            String key = Client.field(head, "Idempotency-Key");
            double now = kit.millis();
            Double first = firstRunAt.putIfAbsent(key, now);
            if (first == null) {
                kit.note("  " + upstream.name + " runs " + id);
            } else if (now - first > WINDOW_MILLIS + LIMIT_LONGER_MILLIS) {
                kit.note(String.format("%s runs %s A SECOND TIME, %.0f ms after the first", upstream.name, id, now - first));
                synchronized (broken) {
                    broken.add(id);
                }
            } else {
                kit.note(String.format("  %s drops the repeat of %s after %.0f ms", upstream.name, id, now - first));
            }
            Kit.sleep(id.startsWith("heavy") ? HEAVY_MILLIS : WORK_MILLIS);
            return Upstream.ok("done " + id);
        };
        Discovery discovery = new Discovery(kit);
        Upstream fast = new Upstream(kit, "s0", work);
        discovery.put("s0", fast.address(), 3, "in_service", 0);
        Settings settings = new Settings().add("ovjera-hitno", "keyed", "cell", WINDOW_MILLIS, 1_500, DEADLINE_MILLIS, 0.25);
        settings.dialTimeoutMillis = 1_500;
        Kit.Balancer balancer = kit.balancer("b0", discovery, settings.json());
        balancer.awaitReady();
        for (int i = 0; i < 30; i++) {
            request(kit, balancer, "usual" + i);
        }
        int lateConnections = 0;
        for (int round = 0; round < ROUNDS; round++) {
            // Other clients' requests at once, so that the late connections stay a third of all.
            List<Thread> others = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String id = "other" + round + "-" + i;
                others.add(kit.start("client", () -> request(kit, balancer, id)));
            }
            for (Thread other : others) {
                other.join();
            }
            ServerSocket listener = new ServerSocket(0, 1, Kit.loopback());
            String name = "late" + round;
            Upstream late = new Upstream(kit, name, listener, work);
            List<Socket> fillers = new ArrayList<>();
            if (trouble) {
                // Its queue of connections is full: further ones come up about a second later.
                for (int i = 0; i < 2; i++) {
                    fillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
                }
            }
            discovery.put(name, late.address(), 3, "in_service", 0);
            Kit.sleep(300);
            List<Thread> clients = new ArrayList<>();
            int number = round;
            for (int i = 0; i < 3; i++) {
                String id = "heavy" + number + i;
                clients.add(kit.start("client", () -> request(kit, balancer, id)));
                Kit.sleep(5);
            }
            if (trouble) {
                Kit.sleep(900);
                kit.note("  " + name + " takes connections from now on");
            }
            kit.start(name + " accept", () -> {
                while (true) {
                    late.serve(listener.accept());
                }
            });
            for (Socket filler : fillers) {
                filler.close();
            }
            for (Thread client : clients) {
                client.join();
            }
            Kit.sleep(200);
            lateConnections += trouble ? late.used() : 0;
            discovery.put(name, late.address(), 3, "terminated", 0);
            for (int i = 0; i < 10; i++) {
                request(kit, balancer, "usual" + number + "-" + i);
            }
        }
        kit.note(lateConnections + " connections to upstreams came up late, " + fast.used() + " did not");
        kit.note(broken.size() + " requests ran a second time after their window of " + WINDOW_MILLIS + " ms: " + broken);
        if (trouble && lateConnections == 0) {
            throw new IOException("no connection came up late");
        }
        if (3 * lateConnections > lateConnections + fast.used()) {
            throw new IOException("more than a third of the connections came up late");
        }
        return !broken.isEmpty();
    }

    private static void request(Kit kit, Kit.Balancer balancer, String id) throws Exception {
        try (Client client = new Client(balancer.address)) {
            double sentAt = kit.millis();
            kit.note("  client sends " + id);
            Client.Answer answer =
                    client.exchange(Client.request("POST", id, "ovjera-hitno", DEADLINE_MILLIS, "k" + id, id), 5_000);
            kit.note(String.format("  %s answered %d after %.0f ms", id, answer.status, kit.millis() - sentAt));
        }
    }
}
