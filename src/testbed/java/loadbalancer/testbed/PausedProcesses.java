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
 * Several processes of the program that stand still (SIGSTOP) for a while with requests in their sockets, at
 * a given point of their lives, before stand-in boxes and a discovery: whatever their machines accepted is
 * owed its one answer when they go on. One ledger over all. For one thread; {@link #close} from any, and it
 * ends every process that was started.
 */
public final class PausedProcesses implements AutoCloseable {
    /** Where in its life a process stands still. */
    public enum When {
        /** It listens, and rehearses. */
        START,
        SERVICE,
        /** Another configuration, and SIGHUP, come meanwhile. */
        SIGHUP,
        /** Half of the boxes drain meanwhile, for longer than the grace; requests came before that news. */
        DRAIN,
        /** The rests of all its connections end meanwhile. */
        RESTS,
        /** Its clients are being sent away. */
        EVACUATION,
        /** SIGTERM comes meanwhile. */
        SIGTERM,
        /** SIGTERM came before, by 50 to 300 ms, and its 0.6 s end meanwhile. */
        STOPPING
    }

    /** How many processes, connections that each has had before, and new ones that come while it stands. */
    public record Size(int processes, int kept, int fresh) {}

    /**
     * How many answers were owed, what came instead of some, how often, what broke a rule, and the histories
     * of some such orders; {@code missed}: processes that came to their stall too late to be counted.
     */
    public record Outcome(
            When when,
            int owed,
            int missed,
            Map<String, Integer> wrong,
            Map<String, Integer> breaches,
            List<String> examples,
            List<String> log) {
        public boolean isClean() {
            return owed > 0 && wrong.isEmpty() && breaches.isEmpty();
        }

        /** One line. */
        public String summary() {
            int other = wrong.values().stream().mapToInt(n -> n).sum();
            return String.format(
                    Locale.ROOT,
                    "%-10s owed %d, served %d%s%s%s",
                    when,
                    owed,
                    owed - other,
                    missed == 0 ? "" : ", " + missed + " processes came too late",
                    wrong.isEmpty() ? "" : ", instead " + wrong,
                    breaches.isEmpty() ? "" : ", breaches " + breaches);
        }
    }

    private record Owed(String id, String what, ClientSocket wire) {}

    private static final long[] STALLS = {150, 700, 1_500}; // ms, in turn
    private static final long DRAINED = 1_300; // ms from the news: the grace with its slack, and more
    private static final long[] BEFORE = {50, 150, 300}; // ms from SIGTERM to the stall, in turn
    private static final long NEARLY_RESTED = 4_300; // ms, of the 5 s that a rest may last
    private static final int AT_ONCE = 20; // requests of those that only open connections
    private static final long IN_TIME = 500_000_000; // ns from a cue whose own time is 0.6 s
    private static final int EXAMPLES = 5;
    private static final int BOXES = 20;
    private static final long QUICK = 1_000; // µs of work, before the stall
    private static final long LONG = 100_000; // and for what comes at it: answers are owed for a while

    private final Size size;
    private final ExecutorService lives = Executors.newCachedThreadPool();
    private final Testbed testbed;
    private final Ledger ledger;
    private final AtomicInteger quick = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    /** {@code classPath}: what holds the program with its tools. */
    public PausedProcesses(String classPath, Size size) throws InterruptedException {
        this.size = size;
        Scenario.Kind kind =
                new Scenario.Kind("order", Policy.Effect.UNSAFE, 1, QUICK, 30_000_000, 60_000_000, 1, 1, 0);
        Scenario scenario = new Scenario(
                "standstill",
                7,
                0,
                0,
                0,
                new Scenario.Cold(1, 1, 1_000, 1_000_000, 1_000_000),
                List.of(new Scenario.Boxes("box", BOXES, 512, 1, 10_000, "a", "m", 1)),
                List.of(kind),
                List.of());
        List<ArrivalSchedule.Order> script = new ArrayList<>();
        for (int i = 0; i < size.processes() * (size.kept() + size.fresh()); i++) {
            script.add(new ArrivalSchedule.Order(i, "q" + i, 0, 0, "k", QUICK));
            script.add(new ArrivalSchedule.Order(i, "o" + i, 0, 0, "k", LONG));
        }
        testbed = new Testbed(classPath, scenario, script);
        ledger = testbed.ledger;
    }

    /** Starts the processes and lets each stand still once; may be called once. */
    public Outcome play(When when) throws IOException, InterruptedException {
        testbed.start(size.processes());
        if (when != When.START) {
            testbed.awaitReady();
        }
        CyclicBarrier drain = new CyclicBarrier(size.processes(), this::drainHalf);
        List<Future<List<Owed>>> running = new ArrayList<>();
        for (int i = 0; i < testbed.members().size(); i++) {
            Life life = new Life(when, i, drain);
            running.add(lives.submit(life));
        }
        int owed = 0;
        int missed = 0;
        Map<String, Integer> wrong = new TreeMap<>();
        try {
            for (Future<List<Owed>> life : running) {
                List<Owed> of = life.get();
                owed += of.size();
                missed += of.isEmpty() ? 1 : 0;
                answers(of, wrong);
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage() + log(), e.getCause());
        }
        after(when, wrong);
        Map<String, Integer> breaches = new TreeMap<>();
        ledger.findings().forEach(f -> breaches.merge(f.breach().name().toLowerCase(Locale.ROOT), 1, Integer::sum));
        List<String> examples = ledger.findings().stream()
                .limit(EXAMPLES)
                .map(f -> f.order() + ": " + String.join(", ", f.history()))
                .toList();
        return new Outcome(when, owed, missed, wrong, breaches, examples, log());
    }

    private List<String> log() {
        return testbed.log();
    }

    // What each has to say or do besides answers.
    private void after(When when, Map<String, Integer> wrong) throws InterruptedException {
        for (BalancerMember member : testbed.members()) {
            if (when == When.SIGHUP) {
                member.line("configuration taken over");
            } else if (when == When.SIGTERM || when == When.STOPPING) {
                int code = member.await();
                if (code != 0 || !member.line("stopped: ").contains(" 0 unanswered")) {
                    wrong.merge("ended with code " + code, 1, Integer::sum);
                }
            }
        }
    }

    private void drainHalf() {
        try {
            testbed.onLoop(() -> {
                for (int i = 0; i < BOXES / 2; i++) {
                    testbed.servers.drain("box-" + (i + 1));
                }
                return 0;
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // What came in place of answers, and how often.
    private void answers(List<Owed> all, Map<String, Integer> wrong) {
        for (Owed owed : all) {
            ClientSocket.Answer answer = owed.wire().answer();
            boolean served = answer.status() == 200 && answer.text().equals(owed.id());
            ledger.answered(
                    owed.id(),
                    served
                            ? Ledger.Final.SERVED
                            : answer.status() == 503
                                    ? Ledger.Final.REFUSED
                                    : answer.status() == 0 ? Ledger.Final.NONE : Ledger.Final.FAILED,
                    testbed.clock.now());
            if (!served) {
                wrong.merge(
                        owed.what() + ": " + answer.status() + " "
                                + answer.text().strip(),
                        1,
                        Integer::sum);
            }
        }
    }

    private static void send(ClientSocket wire, String text) throws IOException {
        if (!wire.send(text)) {
            throw new IOException("its machine does not take what is sent");
        }
    }

    /** One process's part, up to its waking; on a thread of its own. */
    private final class Life implements Callable<List<Owed>> {
        private final When when;
        private final int number;
        private final CyclicBarrier drain;
        private final BalancerMember member;
        private final List<ClientSocket> kept = new ArrayList<>();
        private final List<Owed> all = new ArrayList<>();
        private long stoodAt;

        Life(When when, int number, CyclicBarrier drain) {
            this.when = when;
            this.number = number;
            this.drain = drain;
            this.member = testbed.members().get(number);
        }

        @Override
        public List<Owed> call() throws IOException, InterruptedException, BrokenBarrierException {
            InetSocketAddress at = member.address();
            if (when != When.START) {
                keep(at);
            }
            long cue = System.nanoTime();
            before();
            load(at);
            long since = System.nanoTime();
            boolean timely = when != When.EVACUATION && when != When.STOPPING || stoodAt - cue < IN_TIME;
            long stands = STALLS[number % STALLS.length];
            switch (when) {
                case SIGHUP -> {
                    member.rewrite(testbed.configuration(number, size.processes())
                            .replace("aim = \"30000000us\"", "aim = \"20000000us\""));
                    member.signal(BalancerMember.Signal.HUP);
                }
                case SIGTERM -> member.signal(BalancerMember.Signal.TERM);
                case DRAIN -> {
                    drain.await(); // all stand, and requests came before the news
                    since = System.nanoTime();
                    stands = DRAINED;
                }
                default -> {}
            }
            Thread.sleep(Math.max(0, stands - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since)));
            member.signal(BalancerMember.Signal.CONT);
            return timely ? all : List.of();
        }

        // Some at once: what rests for longer than 5 s is closed.
        private void keep(InetSocketAddress at) throws IOException {
            List<Owed> open = new ArrayList<>();
            for (int i = 0; i < size.kept(); i++) {
                kept.add(testbed.connect(at));
                open.add(ask("q" + quick.getAndIncrement(), kept.get(i), "to be kept"));
                if (open.size() >= AT_ONCE || i == size.kept() - 1) {
                    Map<String, Integer> wrong = new TreeMap<>();
                    answers(open, wrong);
                    if (!wrong.isEmpty()) {
                        throw new IOException("before any stall: " + wrong);
                    }
                    open.clear();
                }
            }
        }

        private void before() throws IOException, InterruptedException {
            if (when == When.RESTS) {
                Thread.sleep(NEARLY_RESTED);
            } else if (when == When.EVACUATION) {
                ClientSocket door = testbed.connect(member.management());
                send(door, "POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
                if (door.answer().status() != 200) {
                    throw new IOException("no evacuation");
                }
            } else if (when == When.STOPPING) {
                member.signal(BalancerMember.Signal.TERM);
                Thread.sleep(BEFORE[number % BEFORE.length]);
            }
        }

        // At every point of a request's life: half of it before, all of it right before, and within.
        private void load(InetSocketAddress at) throws IOException, InterruptedException {
            List<Owed> split = new ArrayList<>();
            List<String> rests = new ArrayList<>();
            for (int i = 0; i + 3 < kept.size(); i += 4) {
                String id = "o" + late.getAndIncrement();
                String[] order = order(id);
                send(kept.get(i), order[0]);
                rests.add(order[1]);
                split.add(new Owed(id, "split over the stall", kept.get(i)));
                all.add(late(kept.get(i + 1), "sent right before it"));
            }
            member.signal(BalancerMember.Signal.STOP);
            stoodAt = System.nanoTime();
            for (int i = 0; i < split.size(); i++) {
                send(split.get(i).wire(), rests.get(i));
                all.add(split.get(i));
                all.add(late(kept.get(4 * i + 2), "sent on a kept connection"));
            }
            for (int i = 0; i < size.fresh(); i++) {
                all.add(late(testbed.connect(at), "sent on a new connection"));
            }
        }

        private String[] order(String id) {
            ledger.asked(id, Policy.Effect.UNSAFE, testbed.clock.now());
            return new String[] {
                "POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\n"
                        + "Req-Kind: order\r\nReq-Deadline-Ms: 60000\r\nContent-Length: 8\r\n",
                "\r\nabcdefgh"
            };
        }

        private Owed late(ClientSocket wire, String what) throws IOException {
            return ask("o" + late.getAndIncrement(), wire, what);
        }

        private Owed ask(String id, ClientSocket wire, String what) throws IOException {
            send(wire, String.join("", order(id)));
            return new Owed(id, what, wire);
        }
    }

    @Override
    public void close() {
        testbed.close();
        lives.shutdownNow();
    }
}
