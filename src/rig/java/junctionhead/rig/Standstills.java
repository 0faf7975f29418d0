package junctionhead.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import junctionhead.Policy;
import junctionhead.core.Clock;
import junctionhead.rig.fleet.Member;
import junctionhead.rig.fleet.Wire;

/**
 * Several processes of the program that stand still (SIGSTOP) for a while with requests in their sockets, at
 * a given point of their lives, before stand-in boxes and a discovery: whatever their machines accepted is
 * owed its one answer when they go on. One ledger over all. For one thread; {@link #close} from any, and it
 * ends every process that was started.
 */
public final class Standstills implements AutoCloseable {
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
    public record Size(int processes, int kept, int fresh) { }

    /** How many answers were owed, what came instead of some, how often, and what broke a rule. */
    public record Outcome(When when, int owed, Map<String, Integer> wrong, Map<String, Integer> breaches,
            List<String> log) {
        public boolean isClean() {
            return owed > 0 && wrong.isEmpty() && breaches.isEmpty();
        }

        /** One line. */
        public String summary() {
            int other = wrong.values().stream().mapToInt(n -> n).sum();
            return String.format(Locale.ROOT, "%-10s owed %d, served %d%s%s", when, owed, owed - other,
                wrong.isEmpty() ? "" : ", instead " + wrong,
                breaches.isEmpty() ? "" : ", breaches " + breaches);
        }
    }

    private record Owed(String id, String what, Wire wire) { }

    private static final long[] STALLS = {150, 700, 1_500};     // ms, in turn
    private static final long DRAINED = 1_300;      // ms: the grace with its slack, and some more
    private static final long[] BEFORE = {50, 150, 300};        // ms from SIGTERM to the stall, in turn
    private static final long NEARLY_RESTED = 4_300;            // ms, of the 5 s that a rest may last
    private static final int AT_ONCE = 20;          // requests of those that only open connections
    private static final int BOXES = 20;

    private final String classPath;
    private final Size size;
    private final Clock clock = Clock.system();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Ledger ledger = new Ledger();
    private final Scenario scenario;
    private final Fleet boxes;
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private final List<List<Wire>> kept = new ArrayList<>();
    private final List<Wire> wires = new CopyOnWriteArrayList<>();
    private int orders;

    /** @param classPath what holds the program with its tools */
    public Standstills(String classPath, Size size) throws InterruptedException {
        this.classPath = classPath;
        this.size = size;
        Scenario.Kind kind = new Scenario.Kind("order", Policy.Effect.UNSAFE, 1, 1_000, 30_000_000,
            60_000_000, 1, 1, 0);
        scenario = new Scenario("standstill", 7, 0, 0, 0,
            new Scenario.Cold(1, 1, 1_000, 1_000_000, 1_000_000),
            List.of(new Scenario.Boxes("box", BOXES, 64, 1, 10_000, "a", "m", 1)), List.of(kind), List.of());
        List<Script.Order> script = new ArrayList<>();
        for (int i = 0; i < size.processes() * (2 * size.kept() + size.fresh()); i++) {
            script.add(new Script.Order(i, "o" + i, 0, 0, "k", 1_000));
        }
        boxes = new Fleet(scenario, script, loop, clock, ledger, Demo.GRACE + Demo.SLACK);
        boxes.open();
    }

    /** Starts the processes and lets each stand still once; may be called once. */
    public Outcome play(When when) throws IOException, InterruptedException {
        String toml = BalancerToml.of(scenario, boxes.discoveryAt());
        for (int i = 0; i < size.processes(); i++) {
            members.add(Member.start(classPath, toml));
        }
        if (when == When.START) {
            for (Member member : members) {
                member.address();
                kept.add(List.of());
            }
        } else {
            ready();
            keep();
        }
        List<Owed> all = new ArrayList<>();
        long[] until = new long[members.size()];
        if (when == When.RESTS) {
            Thread.sleep(NEARLY_RESTED);
        }
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            before(when, member, i);
            all.addAll(stall(i));
            long stands = when == When.DRAIN ? DRAINED : STALLS[i % STALLS.length];
            until[i] = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(stands);
            if (when == When.SIGHUP) {
                member.rewrite(toml.replace("aim = \"30000000us\"", "aim = \"20000000us\""));
                member.signal(Member.Signal.HUP);
            } else if (when == When.SIGTERM) {
                member.signal(Member.Signal.TERM);
            }
        }
        if (when == When.DRAIN) {
            drainHalf();
            Thread.sleep(DRAINED);                  // counted from the news, for all
        }
        for (int i = 0; i < members.size(); i++) {
            Thread.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(until[i] - System.nanoTime())));
            members.get(i).signal(Member.Signal.CONT);
        }
        Map<String, Integer> wrong = answers(all);
        after(when, wrong);
        Map<String, Integer> breaches = new TreeMap<>();
        ledger.findings().forEach(f ->
            breaches.merge(f.breach().name().toLowerCase(Locale.ROOT), 1, Integer::sum));
        return new Outcome(when, all.size(), wrong, breaches, members.stream()
            .flatMap(m -> m.log().stream()).toList());
    }

    private void before(When when, Member member, int number) throws IOException, InterruptedException {
        if (when == When.EVACUATION) {
            Wire door = wire();
            if (!door.open(member.management()) || !door.send("POST /api/evacuate HTTP/1.1\r\nHost: x\r\n"
                    + "Content-Length: 0\r\n\r\n") || door.answer().status() != 200) {
                throw new IOException("no evacuation: " + member.log());
            }
        } else if (when == When.STOPPING) {
            member.signal(Member.Signal.TERM);
            Thread.sleep(BEFORE[number % BEFORE.length]);
        }
    }

    // What each has to say or do besides answers.
    private void after(When when, Map<String, Integer> wrong) throws InterruptedException {
        for (Member member : members) {
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

    // ---------------------------------------------------------------- before the stall

    private Wire wire() {
        Wire wire = new Wire();
        wires.add(wire);
        return wire;
    }

    private void ready() throws InterruptedException {
        for (Member member : members) {
            int status = 0;
            while (status != 200) {
                Wire asks = new Wire();
                status = asks.open(member.address())
                    && asks.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") ? asks.answer().status() : 0;
                asks.close();
                Thread.sleep(status == 200 ? 0 : 20);
            }
        }
        while (onLoop(boxes::watches) < members.size()) {
            Thread.sleep(20);
        }
    }

    // Some at once: what rests for longer than 5 s is closed.
    private void keep() throws IOException, InterruptedException {
        List<Owed> open = new ArrayList<>();
        for (Member member : members) {
            List<Wire> of = new ArrayList<>();
            kept.add(of);
            for (int i = 0; i < size.kept(); i++) {
                Wire wire = wire();
                of.add(wire);
                open(wire, member.address());
                open.add(ask(wire, "to be kept"));
                if (open.size() >= AT_ONCE || i == size.kept() - 1) {
                    Map<String, Integer> wrong = answers(open);
                    if (!wrong.isEmpty()) {
                        throw new IOException("before any stall: " + wrong);
                    }
                    open.clear();
                }
            }
        }
    }

    private static void open(Wire wire, InetSocketAddress at) throws IOException {
        if (!wire.open(at)) {
            throw new IOException("its machine does not accept");
        }
    }

    private String[] order() {
        String id = "o" + orders++;
        ledger.asked(id, Policy.Effect.UNSAFE, clock.now());
        return new String[] {id, "POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\n"
            + "Req-Kind: order\r\nReq-Deadline-Ms: 60000\r\nContent-Length: 8\r\n", "\r\nabcdefgh"};
    }

    private Owed ask(Wire wire, String what) throws IOException {
        String[] order = order();
        send(wire, order[1] + order[2]);
        return new Owed(order[0], what, wire);
    }

    private static void send(Wire wire, String text) throws IOException {
        if (!wire.send(text)) {
            throw new IOException("its machine does not take what is sent");
        }
    }

    // ---------------------------------------------------------------- the stall

    // At every point of a request's life: half of it before, all of it right before, and within.
    private List<Owed> stall(int number) throws IOException, InterruptedException {
        Member member = members.get(number);
        InetSocketAddress at = member.address();
        List<Owed> all = new ArrayList<>();
        List<Wire> of = kept.get(number);
        List<Owed> split = new ArrayList<>();
        List<String> rests = new ArrayList<>();
        for (int i = 0; i + 3 < of.size(); i += 4) {
            String[] order = order();
            send(of.get(i), order[1]);
            rests.add(order[2]);
            split.add(new Owed(order[0], "split over the stall", of.get(i)));
            all.add(ask(of.get(i + 1), "sent right before it"));
        }
        member.signal(Member.Signal.STOP);
        for (int i = 0; i < split.size(); i++) {
            send(split.get(i).wire(), rests.get(i));
            all.add(split.get(i));
            all.add(ask(of.get(4 * i + 2), "sent on a kept connection"));
        }
        for (int i = 0; i < size.fresh(); i++) {
            Wire wire = wire();
            open(wire, at);
            all.add(ask(wire, "sent on a new connection"));
        }
        return all;
    }

    private void drainHalf() throws InterruptedException {
        onLoop(() -> {
            for (int i = 0; i < BOXES / 2; i++) {
                boxes.drain("box-" + (i + 1));
            }
            return 0;
        });
    }

    private int onLoop(Callable<Integer> task) throws InterruptedException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    // ---------------------------------------------------------------- behind it

    // What came in place of answers, and how often.
    private Map<String, Integer> answers(List<Owed> all) {
        Map<String, Integer> wrong = new TreeMap<>();
        for (Owed owed : all) {
            Wire.Answer answer = owed.wire().answer();
            boolean served = answer.status() == 200 && answer.text().equals(owed.id());
            ledger.answered(owed.id(), served ? Ledger.Final.SERVED : answer.status() == 503
                ? Ledger.Final.REFUSED : answer.status() == 0 ? Ledger.Final.NONE : Ledger.Final.FAILED,
                clock.now());
            if (!served) {
                wrong.merge(owed.what() + ": " + answer.status() + " " + answer.text().strip(), 1,
                    Integer::sum);
            }
        }
        return wrong;
    }

    @Override
    public void close() {
        members.forEach(Member::close);
        wires.forEach(Wire::close);
        boxes.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
