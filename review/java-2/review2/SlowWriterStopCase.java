package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A planned restart while some clients write their requests slowly. */
final class SlowWriterStopCase {
    private static final int ROUNDS = 5;
    private static final int BALANCERS = 3;
    private static final int CLIENTS = 22; // of a balancer
    private static final double WRITING_MILLIS = 1_500;
    private static final double FIRST_END_MILLIS = 850; // after SIGTERM, of the first client
    private static final double MEAN_GAP_MILLIS = 45;
    private static final int PIECES = 15;
    private static final int WORK_MILLIS = 30;

    private SlowWriterStopCase() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, SlowWriterStopCase::isBroken);
    }

    private static boolean isBroken(Kit kit, boolean trouble) throws Exception {
        Map<String, Double> runs = new ConcurrentHashMap<>();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        Discovery discovery = new Discovery(kit);
        for (int i = 0; i < 4; i++) {
            Upstream upstream = new Upstream(kit, "s" + i, (u, id, head, body) -> {
                runs.put(id, kit.millis());
                kit.note("  " + u.name + " runs " + id);
                Kit.sleep(WORK_MILLIS);
                return Upstream.ok("confirmed " + id);
            });
            discovery.put(upstream.name, upstream.address(), i / 2, "in_service", 0);
        }
        Settings settings = new Settings()
                .add("nova-narudzba", "unsafe", "all", 5_000, 600, 2_500, 0.2)
                .add("ovjera-hitno", "keyed", "cell", 1_000, 250, 500, 0.25);
        settings.balancers = BALANCERS;
        Random random = new Random(3);
        for (int round = 0; round < ROUNDS; round++) {
            List<Kit.Balancer> balancers = new ArrayList<>();
            for (int i = 0; i < BALANCERS; i++) {
                settings.rank = i;
                balancers.add(kit.balancer("r" + round + "b" + i, discovery, settings.json()));
            }
            for (Kit.Balancer balancer : balancers) {
                balancer.awaitReady();
            }
            double stopAt = kit.millis() + WRITING_MILLIS;
            List<Thread> clients = new ArrayList<>();
            for (Kit.Balancer balancer : balancers) {
                double end = stopAt + FIRST_END_MILLIS;
                for (int i = 0; i < CLIENTS; i++) {
                    end += MEAN_GAP_MILLIS * (0.5 + random.nextDouble());
                    double endAt = end;
                    String id = balancer.name + "-" + i;
                    clients.add(kit.start(
                            "client", () -> write(kit, balancer, id, stopAt, endAt, runs, answered, lost)));
                }
            }
            Kit.sleep((long) (stopAt - kit.millis()));
            if (trouble) {
                for (Kit.Balancer balancer : balancers) {
                    balancer.terminate();
                    balancer.process.onExit().thenAccept(ended -> kit.note(String.format(
                            "  %s ended by itself, exit code %d, %.0f ms after SIGTERM",
                            balancer.name, ended.exitValue(), kit.millis() - stopAt)));
                }
            }
            for (Thread client : clients) {
                client.join();
            }
            for (Kit.Balancer balancer : balancers) {
                balancer.process.destroy();
                balancer.process.waitFor();
            }
        }
        kit.note(lost + " requests were forwarded and run, and their clients got no answer; " + answered
                + " were answered");
        if (answered.get() == 0) {
            throw new IOException("no request was answered");
        }
        return lost.get() > 0;
    }

    // A client that begins no later than 0.4 s after SIGTERM: new connections go on coming for so long.
    private static void write(
            Kit kit,
            Kit.Balancer balancer,
            String id,
            double stopAt,
            double endAt,
            Map<String, Double> runs,
            AtomicInteger answered,
            AtomicInteger lost) {
        double beginAt = Math.min(endAt - WRITING_MILLIS, stopAt + 350);
        String request = Client.request("POST", id, "nova-narudzba", 2_000, null, "order " + id);
        double lastByteAt = 0;
        String end;
        Kit.sleep((long) (beginAt - kit.millis()));
        try (Client client = new Client(balancer.address)) {
            for (int piece = 0; piece < PIECES; piece++) {
                Kit.sleep((long) (beginAt + (endAt - beginAt) * (piece + 1) / PIECES - kit.millis()));
                client.send(request.substring(
                        request.length() * piece / PIECES, request.length() * (piece + 1) / PIECES));
            }
            lastByteAt = kit.millis();
            Client.Answer answer = client.receive(5_000);
            answered.incrementAndGet();
            end = "answered " + answer.status;
        } catch (IOException e) {
            // Only what an upstream has run counts: other requests may have come when the process had ended.
            boolean isLost = lastByteAt > 0 && runs.containsKey(id);
            lost.addAndGet(isLost ? 1 : 0);
            end = (lastByteAt > 0 ? "no answer: " : "not written whole: ") + e.getMessage()
                    + (isLost ? ": LOST, an upstream has run it" : "");
        }
        String line = String.format(
                "%s: last byte %.0f ms after SIGTERM, %s, %.0f ms after SIGTERM",
                id, lastByteAt - stopAt, end, kit.millis() - stopAt);
        kit.note(line.contains("LOST") ? line : "  " + line);
    }
}
