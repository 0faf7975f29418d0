package loadbalancer.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Policy;
import loadbalancer.testbed.fleet.ClientSocket;

/**
 * One client of a soak: sends requests to one place over kept and new connections, and leaves some of them at
 * any point. Blocks; for one thread.
 */
final class SoakClient {
    private static final long NEW_CONNECTIONS = TimeUnit.MILLISECONDS.toNanos(200); // behind SIGTERM
    private static final long LATE = 1_000_000; // µs behind the deadline; 0.5 s are allowed
    private static final double KEPT = 0.6; // of requests, where a connection is there
    private static final double LEAVES = 0.3; // of requests
    private static final double HALF = 0.1; // of those that leave: before the request is whole
    private static final double RESETS = 0.4; // of those that leave
    private static final double AT_ONCE = 0.5; // of those that leave: right behind the request
    private static final int LINGER_MILLIS = 250; // the others, at most
    private static final int THINK_MILLIS = 30;
    private static final int HALF_LENGTH = 40; // within the head
    private static final String BODY = "abcdefgh";

    private final SoakPlan plan;
    private final int number;
    private final int most;
    private final Testbed testbed;
    private final List<SoakTarget> targets;
    private final List<String> mishaps;
    private final SplittableRandom random;
    private int place;
    private ClientSocket kept;
    private int next;

    SoakClient(SoakPlan plan, int number, int most, Testbed testbed, List<SoakTarget> targets, List<String> mishaps) {
        this.plan = plan;
        this.number = number;
        this.most = most;
        this.testbed = testbed;
        this.targets = targets;
        this.mishaps = mishaps;
        this.place = number % plan.processes();
        this.random = new SplittableRandom(plan.seed() * 1_000 + number);
    }

    /** The name of a client's request. */
    static String id(int client, int request) {
        return "c" + client + "-" + request;
    }

    /** Asks until then, by the testbed's clock. */
    void run(long until) throws InterruptedException {
        while (testbed.clock.now() < until && next < most) {
            Thread.sleep(random.nextInt(THINK_MILLIS));
            ask();
        }
        forget();
    }

    private void ask() throws InterruptedException {
        boolean again = kept != null && random.nextDouble() < KEPT;
        if (!again) {
            forget();
            kept = connect();
            if (kept == null) {
                return; // nobody listens at present
            }
        }
        int request = next++;
        String id = id(number, request);
        Scenario.Kind kind =
                plan.scenario().kinds().get(request % plan.scenario().kinds().size());
        if (random.nextDouble() < LEAVES) {
            leave(id, kind);
            return;
        }
        testbed.ledger.asked(id, kind.effect(), testbed.clock.now());
        long sentAt = System.nanoTime();
        long held = targets.get(place).heldMicros();
        boolean sent = kept.send(whole(id, kind));
        ClientSocket.Answer answer = sent ? kept.answer() : new ClientSocket.Answer(0, "not taken", false);
        if (answer.status() == 0 && again && !targets.get(place).killedSince(sentAt)) {
            // Its end crossed the request: the client asks once more, elsewhere, on a new connection.
            testbed.ledger.note(id, "sent again: " + answer.text(), testbed.clock.now());
            forget();
            kept = connect();
            if (kept == null) {
                testbed.ledger.answered(id, Ledger.Final.NOT_TAKEN, testbed.clock.now());
                return;
            }
            sent = kept.send(whole(id, kind));
            answer = sent ? kept.answer() : new ClientSocket.Answer(0, "not taken", false);
        }
        note(id, kind, answer, sentAt, targets.get(place).heldMicros() - held);
    }

    private void note(String id, Scenario.Kind kind, ClientSocket.Answer answer, long sentAt, long held) {
        boolean killed = targets.get(place).killedSince(sentAt);
        long took = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentAt);
        Ledger.Final last = switch (answer.status()) {
            case 200 -> answer.text().equals(id) ? Ledger.Final.SERVED : Ledger.Final.NONE;
            case 0 -> killed ? Ledger.Final.LOST : Ledger.Final.NONE;
            case 429, 503 -> Ledger.Final.REFUSED;
            default -> answer.status() < 500 ? Ledger.Final.NOT_TAKEN : Ledger.Final.FAILED;
        };
        if (last == Ledger.Final.NONE) {
            testbed.ledger.note(id, "place " + place + ": " + answer, testbed.clock.now());
        }
        if (took > kind.deadline() + LATE + held && last != Ledger.Final.LOST) {
            mishaps.add(id + " got its answer " + took / 1_000 + " ms after it was sent: " + answer.status());
        }
        testbed.ledger.answered(id, last, testbed.clock.now());
        if (!answer.stays()) {
            forget();
        }
    }

    private void leave(String id, Scenario.Kind kind) throws InterruptedException {
        testbed.ledger.asked(id, kind.effect(), testbed.clock.now());
        boolean half = random.nextDouble() < HALF;
        kept.send(half ? head(id, kind).substring(0, HALF_LENGTH) : whole(id, kind));
        if (random.nextDouble() >= AT_ONCE) {
            Thread.sleep(random.nextInt(LINGER_MILLIS));
        }
        if (random.nextDouble() < RESETS) {
            kept.reset();
        } else {
            kept.close();
        }
        testbed.ledger.left(id, testbed.clock.now());
        forget();
    }

    private static String head(String id, Scenario.Kind kind) {
        boolean safe = kind.effect() == Policy.Effect.SAFE;
        return (safe ? "GET" : "POST") + " /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + kind.name() + "\r\nReq-Deadline-Ms: " + kind.deadline() / 1_000 + "\r\n"
                + (kind.effect() == Policy.Effect.KEYED ? "Idempotency-Key: " + id + "\r\n" : "")
                + (safe ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n");
    }

    private static String whole(String id, Scenario.Kind kind) {
        return kind.effect() == Policy.Effect.SAFE ? head(id, kind) : head(id, kind) + BODY;
    }

    // Where its own place takes nobody at present it goes to the next one that does.
    private ClientSocket connect() throws InterruptedException {
        for (int i = 0; i < targets.size(); i++) {
            place = (number + i) % targets.size();
            InetSocketAddress to = targets.get(place).address(NEW_CONNECTIONS);
            if (to != null) {
                try {
                    return testbed.connect(to);
                } catch (IOException e) {
                    continue; // it has just ended
                }
            }
        }
        return null;
    }

    private void forget() {
        if (kept != null) {
            kept.close();
            testbed.closed(kept);
            kept = null;
        }
    }
}
