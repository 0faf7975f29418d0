package loadbalancer.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.policy.Policy;
import loadbalancer.testbed.fleet.BalancerMember;
import loadbalancer.testbed.fleet.ClientSocket;

/**
 * Several processes of the program that are paused (SIGSTOP) for a while, at a given point of their lives, with
 * requests in their sockets: for each request that their machine accepted, a response is due when they continue.
 * One ledger covers all of them. For one thread; {@link #close} may be called from any, and ends every process
 * that was started.
 */
public final class PausedProcesses implements AutoCloseable {
    /** The point of its life at which a process is paused. */
    public enum PausePoint {
        /** It listens, and warms up. */
        START,
        /** It serves. */
        SERVICE,
        /** Its configuration changes and SIGHUP is sent during the pause. */
        SIGHUP,
        /** Half of the servers are drained during the pause, which exceeds the grace period of the drain. */
        DRAIN,
        /** All its idle connections time out during the pause. */
        RESTS,
        /** It evacuates its clients. */
        EVACUATION,
        /** SIGTERM is sent during the pause. */
        SIGTERM,
        /** SIGTERM was sent 50 to 300 ms before, and its shutdown delay of 0.6 s ends during the pause. */
        STOPPING
    }

    /**
     * The size of a run.
     *
     * @param keptConnections that each process has had before its pause
     * @param newConnections that are opened to each process during its pause
     */
    public record Size(int processes, int keptConnections, int newConnections) {}

    /**
     * What came of a run.
     *
     * @param pending how many responses were due when the processes continued
     * @param missedMembers processes that were paused too late to be counted
     * @param wrong what came instead of a response, and how often
     * @param breaches of the rules, and how often
     * @param examples the histories of some requests with breaches
     */
    public record Outcome(
            PausePoint point,
            int pending,
            int missedMembers,
            Map<String, Integer> wrong,
            Map<String, Integer> breaches,
            List<String> examples,
            List<String> log) {
        /** Whether some responses were due, each came, and no rule was broken. */
        public boolean isClean() {
            return pending > 0 && wrong.isEmpty() && breaches.isEmpty();
        }

        /** One line. */
        public String summary() {
            int other = wrong.values().stream().mapToInt(n -> n).sum();
            return String.format(
                    Locale.ROOT,
                    "%-10s owed %d, served %d%s%s%s",
                    point,
                    pending,
                    pending - other,
                    missedMembers == 0 ? "" : ", " + missedMembers + " processes came too late",
                    wrong.isEmpty() ? "" : ", instead " + wrong,
                    breaches.isEmpty() ? "" : ", breaches " + breaches);
        }
    }

    /** A request whose response is due on a socket. */
    private record PendingResponse(String id, String what, ClientSocket socket) {}

    private static final long[] PAUSE_MILLIS = {150, 700, 1_500}; // by place
    private static final long DRAIN_PAUSE_MILLIS = 1_300; // from the announcement: the grace, its slack and more
    private static final long[] SIGTERM_LEAD_MILLIS = {50, 150, 300}; // from SIGTERM to the pause, by place
    private static final long IDLE_MILLIS = 4_300; // of the 5 s after which an idle connection is closed
    private static final int BATCH_SIZE = 20; // requests at a time that only open connections
    private static final long MAX_CUE_DELAY_NANOS = 500_000_000; // after an event whose own delay is 0.6 s
    private static final int EXAMPLES = 5;
    private static final int SERVERS = 20;
    private static final long QUICK_WORK_MICROS = 1_000; // before the pause
    private static final long LONG_WORK_MICROS = 100_000; // at the pause, so that responses are pending for a while

    private final Size size;
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final Testbed testbed;
    private final Ledger ledger;
    private final AtomicInteger earlyRequests = new AtomicInteger();
    private final AtomicInteger lateRequests = new AtomicInteger();

    /** {@code classPath}: the classes of the program and the testbed. */
    public PausedProcesses(String classPath, Size size) throws InterruptedException {
        this.size = size;
        Scenario.RequestClass kind = new Scenario.RequestClass(
                "order", Policy.Effect.UNSAFE, 1, QUICK_WORK_MICROS, 30_000_000, 60_000_000, 1, 1, 0);
        Scenario scenario = new Scenario(
                "standstill",
                7,
                0,
                0,
                0,
                new Scenario.SlowStart(1, 1, 1_000, 1_000_000, 1_000_000),
                List.of(new Scenario.ServerGroup("box", SERVERS, 512, 1, 10_000, "a", "m", 1)),
                List.of(kind),
                List.of());
        List<ArrivalSchedule.ScheduledRequest> schedule = new ArrayList<>();
        for (int i = 0; i < size.processes() * (size.keptConnections() + size.newConnections()); i++) {
            schedule.add(new ArrivalSchedule.ScheduledRequest(i, "q" + i, 0, 0, "k", QUICK_WORK_MICROS));
            schedule.add(new ArrivalSchedule.ScheduledRequest(i, "o" + i, 0, 0, "k", LONG_WORK_MICROS));
        }
        testbed = new Testbed(classPath, scenario, schedule);
        ledger = testbed.ledger;
    }

    /** Starts the processes and pauses each of them once; may be called once. */
    public Outcome play(PausePoint point) throws IOException, InterruptedException {
        testbed.start(size.processes());
        if (point != PausePoint.START) {
            testbed.awaitReady();
        }
        CyclicBarrier drain = new CyclicBarrier(size.processes(), this::drainHalf);
        List<Future<List<PendingResponse>>> running = new ArrayList<>();
        for (int i = 0; i < testbed.members().size(); i++) {
            PausedMember pausedMember = new PausedMember(point, i, drain);
            running.add(workers.submit(pausedMember));
        }
        int pending = 0;
        int missedMembers = 0;
        Map<String, Integer> wrong = new TreeMap<>();
        try {
            for (Future<List<PendingResponse>> pausedMember : running) {
                List<PendingResponse> of = pausedMember.get();
                pending += of.size();
                missedMembers += of.isEmpty() ? 1 : 0;
                collectResponses(of, wrong);
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage() + log(), e.getCause());
        }
        checkEnds(point, wrong);
        Map<String, Integer> breaches = new TreeMap<>();
        ledger.findings().forEach(f -> breaches.merge(f.breach().name().toLowerCase(Locale.ROOT), 1, Integer::sum));
        List<String> examples = ledger.findings().stream()
                .limit(EXAMPLES)
                .map(f -> f.request() + ": " + String.join(", ", f.history()))
                .toList();
        return new Outcome(point, pending, missedMembers, wrong, breaches, examples, log());
    }

    private List<String> log() {
        return testbed.log();
    }

    // What each process has to log or do besides responding.
    private void checkEnds(PausePoint point, Map<String, Integer> wrong) throws InterruptedException {
        for (BalancerMember member : testbed.members()) {
            if (point == PausePoint.SIGHUP) {
                member.line("event=configuration_reloaded");
            } else if (point == PausePoint.SIGTERM || point == PausePoint.STOPPING) {
                int code = member.await();
                if (code != 0 || !member.line("event=stopped ").contains(" 0 unanswered")) {
                    wrong.merge("ended with code " + code, 1, Integer::sum);
                }
            }
        }
    }

    private void drainHalf() {
        try {
            testbed.onLoop(() -> {
                for (int i = 0; i < SERVERS / 2; i++) {
                    testbed.servers.drain("box-" + (i + 1));
                }
                return 0;
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // What came in place of answers, and how often.
    private void collectResponses(List<PendingResponse> all, Map<String, Integer> wrong) {
        for (PendingResponse pending : all) {
            ClientSocket.Response answer = pending.socket().response();
            boolean served = answer.status() == 200 && answer.text().equals(pending.id());
            ledger.recordOutcome(
                    pending.id(),
                    served
                            ? Ledger.RequestOutcome.SERVED
                            : answer.status() == 503
                                    ? Ledger.RequestOutcome.REFUSED
                                    : answer.status() == 0 ? Ledger.RequestOutcome.NONE : Ledger.RequestOutcome.FAILED,
                    testbed.clock.now());
            if (!served) {
                wrong.merge(
                        pending.what() + ": " + answer.status() + " "
                                + answer.text().strip(),
                        1,
                        Integer::sum);
            }
        }
    }

    private static void send(ClientSocket socket, String text) throws IOException {
        if (!socket.send(text)) {
            throw new IOException("its machine does not take what is sent");
        }
    }

    /** One process's part, up to its waking; on a thread of its own. */
    private final class PausedMember implements Callable<List<PendingResponse>> {
        private final PausePoint point;
        private final int place;
        private final CyclicBarrier drain;
        private final BalancerMember member;
        private final List<ClientSocket> keptSockets = new ArrayList<>();
        private final List<PendingResponse> all = new ArrayList<>();
        private long pausedAt;

        PausedMember(PausePoint point, int place, CyclicBarrier drain) {
            this.point = point;
            this.place = place;
            this.drain = drain;
            this.member = testbed.members().get(place);
        }

        @Override
        public List<PendingResponse> call() throws IOException, InterruptedException, BrokenBarrierException {
            InetSocketAddress at = member.address();
            if (point != PausePoint.START) {
                openKeptConnections(at);
            }
            long cue = System.nanoTime();
            prepare();
            sendAndPause(at);
            long since = System.nanoTime();
            boolean timely = (point != PausePoint.EVACUATION && point != PausePoint.STOPPING)
                    || pausedAt - cue < MAX_CUE_DELAY_NANOS;
            long pauseMillis = PAUSE_MILLIS[place % PAUSE_MILLIS.length];
            switch (point) {
                case SIGHUP -> {
                    member.rewrite(testbed.configuration(place, size.processes())
                            .replace("aim = \"30000000us\"", "aim = \"20000000us\""));
                    member.signal(BalancerMember.Signal.HUP);
                }
                case SIGTERM -> member.signal(BalancerMember.Signal.TERM);
                case DRAIN -> {
                    drain.await(); // all are paused, and requests were sent before the announcement
                    since = System.nanoTime();
                    pauseMillis = DRAIN_PAUSE_MILLIS;
                }
                default -> {}
            }
            Thread.sleep(Math.max(0, pauseMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since)));
            member.signal(BalancerMember.Signal.CONT);
            return timely ? all : List.of();
        }

        // In batches, as connections that are idle for more than 5 s are closed.
        private void openKeptConnections(InetSocketAddress at) throws IOException {
            List<PendingResponse> open = new ArrayList<>();
            for (int i = 0; i < size.keptConnections(); i++) {
                keptSockets.add(testbed.connect(at));
                open.add(sendRequest("q" + earlyRequests.getAndIncrement(), keptSockets.get(i), "to be kept"));
                if (open.size() >= BATCH_SIZE || i == size.keptConnections() - 1) {
                    Map<String, Integer> wrong = new TreeMap<>();
                    collectResponses(open, wrong);
                    if (!wrong.isEmpty()) {
                        throw new IOException("before any stall: " + wrong);
                    }
                    open.clear();
                }
            }
        }

        private void prepare() throws IOException, InterruptedException {
            if (point == PausePoint.RESTS) {
                Thread.sleep(IDLE_MILLIS);
            } else if (point == PausePoint.EVACUATION) {
                ClientSocket adminSocket = testbed.connect(member.management());
                send(adminSocket, "POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
                if (adminSocket.response().status() != 200) {
                    throw new IOException("no evacuation");
                }
            } else if (point == PausePoint.STOPPING) {
                member.signal(BalancerMember.Signal.TERM);
                Thread.sleep(SIGTERM_LEAD_MILLIS[place % SIGTERM_LEAD_MILLIS.length]);
            }
        }

        // At each point of a request's life: in part before the pause, completely right before it, and during it.
        private void sendAndPause(InetSocketAddress at) throws IOException, InterruptedException {
            List<PendingResponse> split = new ArrayList<>();
            List<String> rests = new ArrayList<>();
            for (int i = 0; i + 3 < keptSockets.size(); i += 4) {
                String id = "o" + lateRequests.getAndIncrement();
                String[] request = request(id);
                send(keptSockets.get(i), request[0]);
                rests.add(request[1]);
                split.add(new PendingResponse(id, "split over the stall", keptSockets.get(i)));
                all.add(sendAtPause(keptSockets.get(i + 1), "sent right before it"));
            }
            member.signal(BalancerMember.Signal.STOP);
            pausedAt = System.nanoTime();
            for (int i = 0; i < split.size(); i++) {
                send(split.get(i).socket(), rests.get(i));
                all.add(split.get(i));
                all.add(sendAtPause(keptSockets.get(4 * i + 2), "sent on a kept connection"));
            }
            for (int i = 0; i < size.newConnections(); i++) {
                all.add(sendAtPause(testbed.connect(at), "sent on a new connection"));
            }
        }

        private String[] request(String id) {
            ledger.recordSent(id, Policy.Effect.UNSAFE, testbed.clock.now());
            return new String[] {
                "POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\n"
                        + "Req-Kind: order\r\nReq-Deadline-Ms: 60000\r\nContent-Length: 8\r\n",
                "\r\nabcdefgh"
            };
        }

        private PendingResponse sendAtPause(ClientSocket socket, String what) throws IOException {
            return sendRequest("o" + lateRequests.getAndIncrement(), socket, what);
        }

        private PendingResponse sendRequest(String id, ClientSocket socket, String what) throws IOException {
            send(socket, String.join("", request(id)));
            return new PendingResponse(id, what, socket);
        }
    }

    @Override
    public void close() {
        testbed.close();
        workers.shutdownNow();
    }
}
