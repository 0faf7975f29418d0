package review2;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** During a planned restart a client sends eight requests at once on a connection that has stayed open. */
final class PipelinedStopCase {
    private static final int CONNECTIONS = 6;
    private static final int REQUESTS = 8;
    private static final int LITTLE_TIME_MILLIS = 8;
    private static final int DEADLINE_MILLIS = 2_000;

    private PipelinedStopCase() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, PipelinedStopCase::isBroken);
    }

    private static boolean isBroken(Kit kit, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(kit);
        for (int i = 0; i < 3; i++) {
            Upstream upstream = new Upstream(kit, "s" + i, (u, id, head, body) -> {
                kit.note("  " + u.name + " runs " + id);
                Kit.sleep(20);
                return Upstream.ok("confirmed " + id);
            });
            discovery.put(upstream.name, upstream.address(), i, "in_service", 0);
        }
        Settings settings = new Settings()
                .add("nova-narudzba", "unsafe", "all", 5_000, 600, 2_500, 0.2)
                .add("ovjera-hitno", "keyed", "cell", 1_000, 250, 500, 0.25);
        Kit.Balancer balancer = kit.balancer("b0", discovery, settings.json());
        balancer.awaitReady();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Client client = new Client(balancer.address);
            Client.Answer answer = client.exchange(
                    Client.request("POST", "first" + i, "nova-narudzba", DEADLINE_MILLIS, null, "order"), 5_000);
            if (answer.status != 200 || client.isClosedWithin(answer)) {
                throw new IOException("the first request of connection " + i + " got " + answer.status);
            }
            clients.add(client);
        }
        if (trouble) {
            balancer.terminate();
        }
        Kit.sleep(100);
        // All connections are written to before any is read: a sound process may end while the answers are read.
        boolean[] written = new boolean[CONNECTIONS];
        int writes = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            StringBuilder requests = new StringBuilder();
            for (int k = 0; k < REQUESTS; k++) {
                requests.append(Client.request(
                        "POST",
                        "c" + i + "r" + k,
                        "nova-narudzba",
                        k == 0 ? LITTLE_TIME_MILLIS : DEADLINE_MILLIS,
                        null,
                        "order"));
            }
            try {
                clients.get(i).send(requests.toString());
                written[i] = true;
                writes++;
            } catch (IOException e) {
                kit.note("connection " + i + ": had ended before the requests were written");
            }
        }
        if (writes == 0) {
            throw new IOException("no connection stayed open");
        }
        int lost = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            if (!written[i]) {
                continue;
            }
            Client client = clients.get(i);
            StringBuilder seen = new StringBuilder();
            int answers = 0;
            boolean endedInOrder = true;
            try {
                for (; answers < REQUESTS; answers++) {
                    seen.append(' ').append(client.receive(4_000).status);
                }
            } catch (IOException e) {
                // A reset would mean that something was unread: the close may have crossed it.
                endedInOrder = e instanceof EOFException || e instanceof SocketTimeoutException;
                seen.append(" then: ").append(e);
            }
            if (answers == 0 || !endedInOrder) {
                seen.append(" (not counted: the close may have crossed the requests)");
            } else {
                lost += REQUESTS - answers;
            }
            kit.note("connection " + i + ": " + REQUESTS + " requests written at once, " + answers + " answers:" + seen);
        }
        kit.note(lost + " requests were written to an open connection and got no answer");
        return lost > 0;
    }
}
