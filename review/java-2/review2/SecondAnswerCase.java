package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Some upstreams' answers come a second time some milliseconds later, where nothing else waits on the connection. */
final class SecondAnswerCase {
    private static final int CLIENTS = 4;
    private static final int REQUESTS_PER_CLIENT = 2_500;
    private static final int ONE_ANSWER_IN = 10;
    private static final double EARLIEST_MILLIS = 2;
    private static final double LATEST_MILLIS = 14;

    private SecondAnswerCase() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, SecondAnswerCase::isBroken);
    }

    private static boolean isBroken(Kit kit, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(kit);
        AtomicInteger copies = new AtomicInteger();
        Random random = new Random(7);
        for (int i = 0; i < 3; i++) {
            Upstream upstream = new Upstream(kit, "s" + i, (u, id, head, body) -> {
                kit.note("  " + u.name + " runs " + id);
                return Upstream.ok("confirmed " + id);
            });
            upstream.afterAnswer = (socket, in, answer) -> {
                if (!trouble || random.nextInt(ONE_ANSWER_IN) > 0) {
                    return;
                }
                double lateMillis = EARLIEST_MILLIS + random.nextDouble() * (LATEST_MILLIS - EARLIEST_MILLIS);
                long until = System.nanoTime() + (long) (lateMillis * 1e6);
                while (System.nanoTime() < until && in.available() == 0) {
                    LockSupport.parkNanos(50_000);
                }
                if (in.available() == 0) { // nothing else waits
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    copies.incrementAndGet();
                    kit.note(String.format("  second answer after %.1f ms: %s", lateMillis, answer.lines().reduce((a, b) -> b).orElse("")));
                }
            };
            discovery.put(upstream.name, upstream.address(), i, "in_service", 0);
        }
        Settings settings = new Settings()
                .add("nova-narudzba", "unsafe", "all", 5_000, 600, 2_500, 0.2)
                .add("ovjera-hitno", "keyed", "cell", 1_000, 250, 500, 0.25);
        Kit.Balancer balancer = kit.balancer("b0", discovery, settings.json());
        balancer.awaitReady();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            clients.add(kit.start("client " + c, () -> client(kit, balancer, number, served, foreign)));
        }
        for (Thread client : clients) {
            client.join();
        }
        kit.note(foreign + " of " + served + " clients' requests were served with the answer of another one; " + copies
                + " second answers");
        if (served.get() == 0) {
            throw new IOException("nothing was served");
        }
        return foreign.get() > 0;
    }

    private static void client(Kit kit, Kit.Balancer balancer, int number, AtomicInteger served, AtomicInteger foreign)
            throws Exception {
        Client client = new Client(balancer.address);
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            String id = String.format("%04x%012x", number, i);
            Client.Answer answer;
            try {
                answer = client.exchange(Client.request("POST", id, "nova-narudzba", 2_000, null, "order " + id), 5_000);
            } catch (IOException e) {
                client.close(); // closed between requests
                client = new Client(balancer.address);
                continue;
            }
            if (answer.status == 200) {
                served.incrementAndGet();
                if (!answer.body.equals("confirmed " + id)) {
                    kit.note(id + " was served with: " + answer.body);
                    foreign.incrementAndGet();
                }
            }
            if ("close".equalsIgnoreCase(Client.field(answer.head, "Connection"))) {
                client.close();
                client = new Client(balancer.address);
            }
            Kit.sleep(3);
        }
        client.close();
    }
}
