package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.toml.Problems;
import loadbalancer.proxy.Clock;
import loadbalancer.testbed.fleet.BalancerMember;
import loadbalancer.testbed.fleet.Fault;
import loadbalancer.testbed.fleet.LoadShares;
import loadbalancer.testbed.fleet.LoadSpread;

/**
 * Many processes of the program before stand-in boxes and a discovery, with a load that is uneven by balancer
 * and troubles that befall some: stalled, killed, stopped and started again, by their ids. One ledger over
 * all. {@link #play} is for one thread and may be called once; {@link #close} from any, and it ends every
 * process that was started.
 */
public final class FleetRun implements AutoCloseable {
    private static final int WATCHING_S = 60; // until each process has its watch
    private static final long LEAD = 200_000; // µs
    private static final int EXAMPLES = 5;
    private static final int CONNECTIONS = 20_000; // of clients: thin loads over many balancers rest in many

    /**
     * What came of it. Times in µs; {@code cpu} of all processes under load, without restarts; {@code queue}:
     * the most that a box held at any look, ten a second.
     */
    public record Result(
            FleetRunPlan plan,
            LoadSpread spread,
            long asked,
            long served,
            long refused,
            long failed,
            long lost,
            long unanswered,
            long connections,
            long queue,
            long p50,
            long p90,
            long p99,
            long cpu,
            long falls,
            List<String> breaches) {
        /** Whether the rules were kept, and something was asked. */
        public boolean isClean() {
            return asked > 0 && breaches.isEmpty() && falls == 0 && unanswered == 0;
        }

        /** One line of JSON. */
        public String json() {
            Scenario s = plan.scenario();
            return String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"seed\":%d,\"processes\":%d,\"boxes\":%d,"
                            + "\"load\":%.2f,\"uneven\":%.2f,%s,\"asked\":%d,\"served\":%d,\"refused\":%d,"
                            + "\"failed\":%d,"
                            + "\"lost\":%d,\"unanswered\":%d,\"connections\":%.3f,\"queue\":%d,\"p50\":%d,\"p90\":%d,"
                            + "\"p99\":%d,\"cpu\":%d,\"falls\":%d,\"breaches\":%d}",
                    s.name(),
                    s.seed(),
                    plan.processes(),
                    s.boxNames().size(),
                    1 / s.headroom(),
                    plan.uneven(),
                    spread.json(),
                    asked,
                    served,
                    refused,
                    failed,
                    lost,
                    unanswered,
                    (double) connections / Math.max(1, asked),
                    queue,
                    p50,
                    p90,
                    p99,
                    cpu / Math.max(1, asked),
                    falls,
                    breaches.size());
        }
    }

    private final FleetRunPlan plan;
    private final Scenario scenario;
    private final String classPath;
    private final PrintStream out;
    private final Clock clock = Clock.system();
    private final Ledger ledger = new Ledger();
    private final RequestCounts counts;
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop boxLoop = loops.next();
    private final EventLoop loadLoop = loops.next();
    private final ScheduledExecutorService hands = Executors.newScheduledThreadPool(8);
    private final List<ArrivalSchedule.Order> script;
    private final StandInFleet boxes;
    private final List<BalancerMember> members = new CopyOnWriteArrayList<>(); // by place: the present ones
    private final List<BalancerMember> former = new CopyOnWriteArrayList<>();
    private final List<String> mishaps = new CopyOnWriteArrayList<>();
    private LoadGenerator load;
    private long[] cpuBefore;
    private volatile boolean closed;

    /** {@code classPath}: what holds the program with its tools; {@code out}: how it goes. */
    FleetRun(FleetRunPlan plan, String classPath, PrintStream out) {
        this.plan = plan;
        Scenario of = plan.scenario();
        this.scenario = new Scenario(
                of.name(),
                of.seed(),
                of.lasting(),
                of.rate(),
                CONNECTIONS,
                of.cold(),
                of.boxes(),
                of.kinds(),
                of.faults());
        this.classPath = classPath;
        this.out = out;
        this.counts = new RequestCounts(scenario);
        this.script = ArrivalSchedule.of(scenario);
        this.boxes = new StandInFleet(scenario, script, boxLoop, clock, ledger, Demo.GRACE + Demo.SLACK);
    }

    /**
     * A run of a plan from a file.
     *
     * @param processes 0 for the plan's own; {@code seed} below 0 likewise
     * @throws IllegalArgumentException with a line for each problem of the file
     */
    public static FleetRun of(Path file, int processes, long seed, String classPath, PrintStream out)
            throws IOException {
        try {
            FleetRunPlan plan = ScenarioReader.fleet(file);
            Scenario s = plan.scenario();
            Scenario seeded = new Scenario(
                    s.name(),
                    seed < 0 ? s.seed() : seed,
                    s.lasting(),
                    s.rate(),
                    s.connections(),
                    s.cold(),
                    s.boxes(),
                    s.kinds(),
                    s.faults());
            return new FleetRun(
                    new FleetRunPlan(
                            seeded,
                            processes > 0 ? processes : plan.processes(),
                            plan.wave(),
                            plan.uneven(),
                            plan.settle(),
                            plan.troubles()),
                    classPath,
                    out);
        } catch (Problems.Bad e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Starts them all, plays the load and the troubles, and tells what came of it. */
    public Result play() throws IOException, InterruptedException {
        boxes.open();
        startAll();
        Thread.sleep(plan.settle() / 1_000);
        LoadShares shares = LoadShares.of(plan.processes(), plan.uneven(), scenario.seed());
        SplittableRandom random = new SplittableRandom(scenario.seed() ^ 0xdea1);
        int[] dealt = script.stream()
                .mapToInt(o -> shares.balancer(random.nextDouble()))
                .toArray();
        List<InetSocketAddress> at = new ArrayList<>();
        for (BalancerMember member : members) {
            at.add(member.address());
        }
        load = new LoadGenerator(scenario, script, loadLoop, clock, ledger, counts, at, order -> dealt[order]);
        long connections = onBoxes(boxes::connections);
        cpuBefore = members.stream().mapToLong(BalancerMember::cpuMicros).toArray();
        CountDownLatch over = new CountDownLatch(1);
        long begin = clock.now() + LEAD;
        boxes.script(begin);
        load.start(begin, over::countDown);
        troubles(begin);
        long queue = watch(over, begin);
        List<StandInFleet.Standing> boxesNow = onBoxes(boxes::standings);
        LoadSpread spread = LoadSpread.of(
                boxesNow.stream().mapToLong(StandInFleet.Standing::served).toArray(), boxes.weights());
        long cpu = 0;
        for (int i = 0; i < members.size(); i++) {
            cpu += Math.max(0, members.get(i).cpuMicros() - cpuBefore[i]);
        }
        RequestCounts.Line all = counts.all();
        List<String> breaches = new ArrayList<>(mishaps);
        ledger.findings()
                .forEach(f -> breaches.add(
                        RunReport.words(f.breach()) + ": " + f.order() + ": " + String.join(", ", f.history())));
        return new Result(
                plan,
                spread,
                all.taken,
                all.inTime + all.late,
                all.refused,
                all.failed,
                ledger.count(Ledger.Final.LOST),
                ledger.count(Ledger.Final.NONE),
                onBoxes(boxes::connections) - connections,
                queue,
                all.latency.getValueAtPercentile(50),
                all.latency.getValueAtPercentile(90),
                all.latency.getValueAtPercentile(99),
                cpu,
                boxesNow.stream().mapToLong(StandInFleet.Standing::falls).sum(),
                breaches);
    }

    private BalancerMember start(int place) throws IOException {
        BalancerMember member = BalancerMember.start(
                classPath, BalancerToml.of(scenario, boxes.discoveryAt(), "n" + place, place, plan.processes()));
        if (closed) {
            member.close();
            throw new IOException("the run has ended");
        }
        return member;
    }

    private void startAll() throws IOException, InterruptedException {
        long begun = System.nanoTime();
        while (members.size() < plan.processes()) {
            int from = members.size();
            while (members.size() < Math.min(plan.processes(), from + plan.wave())) {
                members.add(start(members.size()));
            }
            for (BalancerMember member : members.subList(from, members.size())) {
                member.awaitReady();
            }
            out.printf(
                    Locale.ROOT,
                    "%d of %d ready after %.1f s%n",
                    members.size(),
                    plan.processes(),
                    (System.nanoTime() - begun) / 1e9);
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WATCHING_S);
        while (onBoxes(boxes::watches) < members.size()) {
            if (System.nanoTime() > until) {
                throw new IOException("not every balancer watches discovery: " + onBoxes(boxes::watches));
            }
            Thread.sleep(20);
        }
    }

    private <T> T onBoxes(Callable<T> task) throws InterruptedException {
        try {
            return boxLoop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    // Returns the most that a box has held.
    private long watch(CountDownLatch over, long begin) throws InterruptedException {
        long most = 0;
        for (int look = 1; !over.await(100, TimeUnit.MILLISECONDS); look++) {
            List<StandInFleet.Standing> now = onBoxes(boxes::standings);
            most = Math.max(
                    most,
                    now.stream()
                            .mapToLong(StandInFleet.Standing::inFlight)
                            .max()
                            .orElse(0));
            if (look % 10 == 0) {
                RequestCounts.Recent recent = counts.recent();
                RequestCounts.Line all = counts.all();
                out.printf(
                        Locale.ROOT,
                        "%5.0f s %6d/s p50 %7.1f ms p99 %7.1f ms  refused %d failed %d" + " none %d%n",
                        (clock.now() - begin) / 1e6,
                        recent.ends(),
                        recent.p50() / 1e3,
                        recent.p99() / 1e3,
                        all.refused,
                        all.failed,
                        all.unanswered);
            }
        }
        return most;
    }

    // ---------------------------------------------------------------- troubles

    private void troubles(long begin) {
        for (Fault trouble : plan.troubles()) {
            for (int place : trouble.struck(plan.processes(), scenario.seed())) {
                hands.schedule(
                        () -> guarded(place, () -> befall(trouble, place)),
                        Math.max(0, begin + trouble.at() - clock.now()),
                        TimeUnit.MICROSECONDS);
            }
        }
    }

    private interface Deed {
        void run() throws IOException, InterruptedException;
    }

    private void guarded(int place, Deed deed) {
        try {
            deed.run();
        } catch (IOException | IllegalStateException e) {
            if (!closed) {
                mishaps.add("n" + place + ": " + e.getMessage());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void befall(Fault trouble, int place) throws IOException, InterruptedException {
        BalancerMember member = members.get(place);
        switch (trouble.what()) {
            case STALL -> {
                load.broken(place, true);
                member.signal(BalancerMember.Signal.STOP);
                after(trouble.lasting(), place, () -> {
                    member.signal(BalancerMember.Signal.CONT);
                    load.broken(place, false);
                });
            }
            case KILL -> {
                load.broken(place, true);
                load.moved(place, null);
                member.signal(BalancerMember.Signal.KILL);
                member.await();
                after(trouble.lasting(), place, () -> again(place, member));
            }
            case STOP -> {
                load.moved(place, null);
                member.signal(BalancerMember.Signal.TERM);
                int code = member.await();
                if (code != 0 || !member.line("stopped: ").contains(" 0 unanswered")) {
                    mishaps.add("n" + place + " ended with code " + code);
                }
                after(trouble.lasting(), place, () -> again(place, member));
            }
            default -> throw new IllegalStateException(trouble.toString());
        }
    }

    private void after(long micros, int place, Deed deed) {
        hands.schedule(() -> guarded(place, deed), micros, TimeUnit.MICROSECONDS);
    }

    private void again(int place, BalancerMember before) throws IOException, InterruptedException {
        former.add(before);
        BalancerMember next = start(place);
        members.set(place, next);
        cpuBefore[place] = Long.MAX_VALUE; // a start is not counted as work on requests
        next.awaitReady();
        load.broken(place, false);
        load.moved(place, next.address());
    }

    @Override
    public void close() {
        closed = true;
        hands.shutdownNow();
        members.forEach(BalancerMember::close);
        former.forEach(BalancerMember::close);
        if (load != null) {
            load.close();
        }
        if (!boxLoop.isShuttingDown()) {
            boxLoop.submit(boxes::close).awaitUninterruptibly(2_000);
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Some of what went against the rules. */
    public static List<String> examples(Result result) {
        return result.breaches().stream().limit(EXAMPLES).toList();
    }
}
