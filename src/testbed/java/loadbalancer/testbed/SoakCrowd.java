package loadbalancer.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.fleet.ClientSocket;

/**
 * The crowd of a soak: idle clients that take the descriptors of each process, in bursts, and some that write the head
 * of a request slowly and never end it; in some runs all of them send many requests at once and read no response, in
 * others they stop within requests of many small parts, or send small requests at full speed.
 * They ask for nothing that the ledger would count. Each place has a thread.
 */
final class SoakCrowd implements AutoCloseable {
    /** Of each process in runs with a crowd. */
    static final int MAX_DESCRIPTORS = 140;

    private static final int MAX_OPEN = 150; // of the crowd, at one process
    private static final int MAX_BURST = 20;
    private static final int MAX_PAUSE_MILLIS = 150; // between two bursts
    private static final int SLOW_EVERY = 5; // of its connections
    private static final int MAX_OPEN_PIPELINING = 200; // at one process
    private static final int MAX_BURST_LARGE = 60;
    private static final int MAX_OPEN_HOSTILE = 400; // at one process
    private static final int MAX_PIPELINED = 40;
    private static final int MAX_COOKIE_BYTES = 8_000;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final String ID_PREFIX = "crowd-";
    private static final String PARTIAL_HEAD = "GET /api/k HTTP/1.1\r\nHost: x\r\n";
    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(200); // behind SIGTERM
    private static final long SEED_MASK = 0xc0de;

    private final SoakPlan plan;
    private final Testbed testbed;
    private final List<SoakTarget> targets;
    private final ExecutorService workers = Executors.newCachedThreadPool();

    SoakCrowd(SoakPlan plan, Testbed testbed, List<SoakTarget> targets) {
        this.plan = plan;
        this.testbed = testbed;
        this.targets = targets;
    }

    /** Begins; until then, in µs of the testbed's clock. */
    void start(long until) {
        for (int place = 0; place < targets.size(); place++) {
            SplittableRandom random = new SplittableRandom((plan.seed() ^ SEED_MASK) + place);
            SoakTarget target = targets.get(place);
            workers.submit(() -> {
                crowd(target, random, until);
                return null;
            });
        }
    }

    private void crowd(SoakTarget target, SplittableRandom random, long until) throws InterruptedException {
        Deque<ClientSocket> open = new ArrayDeque<>();
        while (testbed.clock.now() < until) {
            int burst = 1 + random.nextInt(plan.isCrowded() && !plan.isPipelining() ? MAX_BURST : MAX_BURST_LARGE);
            for (int i = 0; i < burst; i++) {
                openOne(target, random, open);
            }
            while (open.size() > maxOpen()) {
                closeOldest(open);
            }
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            if (plan.isHostile()) {
                open.forEach(socket -> socket.send(HostileInput.DRIP));
            }
        }
        while (!open.isEmpty()) {
            closeOldest(open);
        }
    }

    private int maxOpen() {
        if (plan.isHostile()) {
            return MAX_OPEN_HOSTILE;
        }
        return plan.isPipelining() ? MAX_OPEN_PIPELINING : MAX_OPEN;
    }

    private void openOne(SoakTarget target, SplittableRandom random, Deque<ClientSocket> open)
            throws InterruptedException {
        InetSocketAddress address = target.address(PATIENCE_NANOS);
        if (address == null) {
            return;
        }
        try {
            ClientSocket socket = testbed.connect(address);
            open.add(socket);
            if (plan.isPipelining()) {
                socket.send(pipelinedRequests(random));
            } else if (plan.isHostile()) {
                socket.send(HostileInput.draw(random, ID_PREFIX));
            } else if (random.nextInt(SLOW_EVERY) == 0) {
                socket.send(PARTIAL_HEAD.substring(0, 1 + random.nextInt(PARTIAL_HEAD.length())));
            }
        } catch (IOException e) {
            // It has just been closed, or its machine accepts no more: the next one is tried.
        }
    }

    // Their client reads no response.
    private String pipelinedRequests(SplittableRandom random) {
        StringBuilder requests = new StringBuilder();
        String cookie = "Cookie: " + "c".repeat(random.nextInt(MAX_COOKIE_BYTES)) + "\r\n\r\n";
        int count = 1 + random.nextInt(MAX_PIPELINED);
        for (int i = 0; i < count; i++) {
            requests.append(PARTIAL_HEAD)
                    .append("Req-Kind: read\r\nReq-Deadline-Ms: ")
                    .append(DEADLINE_MILLIS)
                    .append("\r\nReq-Id: " + ID_PREFIX)
                    .append(Long.toHexString(random.nextLong()))
                    .append("\r\n")
                    .append(cookie);
        }
        return requests.toString();
    }

    /** Whether that request is one of a crowd, which the ledger does not know. */
    static boolean isOfCrowd(String requestId) {
        return requestId.startsWith(ID_PREFIX);
    }

    private void closeOldest(Deque<ClientSocket> open) {
        ClientSocket oldest = open.poll();
        oldest.close();
        testbed.closed(oldest);
    }

    @Override
    public void close() {
        workers.shutdownNow();
    }
}
