package review2;

import java.io.EOFException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends sixteen requests at once on one connection; each has to get its final answer by its own time. */
final class PipelinedTimeCase {
    private static final int REQUESTS = 16;
    private static final int DEADLINE_MILLIS = 500;
    private static final int WORK_MILLIS = 100;
    /** Half a second after its time, and the 50 ms by which each limit is longer on sockets. */
    private static final int ALLOWED_LATE_MILLIS = 550;

    private PipelinedTimeCase() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, PipelinedTimeCase::isBroken);
    }

    private static boolean isBroken(Kit kit, boolean trouble) throws Exception {
        Map<String, Double> sentAt = new ConcurrentHashMap<>();
        Upstream.Work work = (upstream, id, head, body) -> {
            double age = kit.millis() - sentAt.get(id);
            kit.note(String.format(
                    "  %s runs %s, %.0f ms after it was sent; told to wait %s ms, left to the client %.0f ms",
                    upstream.name, id, age, Client.field(head, "Req-Deadline-Ms"), DEADLINE_MILLIS - age));
            Kit.sleep(WORK_MILLIS);
            return Upstream.ok("done " + id);
        };
        Discovery discovery = new Discovery(kit);
        for (int i = 0; i < 4; i++) {
            Upstream upstream = new Upstream(kit, "s" + i, work);
            discovery.put(upstream.name, upstream.address(), i / 2, "in_service", 0);
        }
        Settings settings = new Settings()
                .add("nova-narudzba", "unsafe", "all", 5_000, 600, 2_500, 0.2)
                .add("ovjera-hitno", "keyed", "cell", 1_000, 250, 500, 0.25);
        Kit.Balancer balancer = kit.balancer("b0", discovery, settings.json());
        balancer.awaitReady();
        int late = 0;
        for (int round = 0; round < 3; round++) {
            List<String> requests = new ArrayList<>();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("%08x%08x", round + 1, i);
                ids.add(id);
                requests.add(Client.request("POST", id, "ovjera-hitno", DEADLINE_MILLIS, "k" + id, "stamp " + id));
            }
            try (Client client = new Client(balancer.address)) {
                if (trouble) {
                    ids.forEach(id -> sentAt.put(id, kit.millis()));
                    client.send(String.join("", requests));
                    ids.forEach(id -> sentAt.put(id, kit.millis())); // the last byte has been written
                    kit.note("the client has sent " + REQUESTS + " requests at once, each with " + DEADLINE_MILLIS
                            + " ms");
                }
                for (int i = 0; i < REQUESTS; i++) {
                    String id = ids.get(i);
                    if (!trouble) {
                        sentAt.put(id, kit.millis());
                        client.send(requests.get(i));
                        sentAt.put(id, kit.millis());
                    }
                    Client.Answer answer;
                    try {
                        answer = client.receive(10_000);
                    } catch (EOFException e) {
                        // In order, not by a reset: all had been read. The others of this connection get no answer.
                        late += REQUESTS - i;
                        kit.note(id + " and those behind it: closed with no answer: lost");
                        break;
                    }
                    double age = kit.millis() - sentAt.get(id);
                    boolean isLate = age > DEADLINE_MILLIS + ALLOWED_LATE_MILLIS;
                    late += isLate ? 1 : 0;
                    kit.note(String.format(
                            "%s answered %d after %.0f ms%s", id, answer.status, age, isLate ? ": lost" : ""));
                }
            }
        }
        kit.note(late + " of " + 3 * REQUESTS + " requests were answered more than " + ALLOWED_LATE_MILLIS
                + " ms after their time, or never");
        return late > 0;
    }
}
