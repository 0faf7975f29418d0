package loadbalancer.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import loadbalancer.testbed.fleet.BalancerMember;

/**
 * Processes of the program under load and faults that overlap in time: processes are paused, killed, shut down and
 * reloaded, servers and discovery fail, clients close at any point of a request. The ledger and the program's own
 * invariants say what went wrong. {@link #play} is for one thread and may be called once.
 */
public final class FaultSoak implements AutoCloseable {
    private static final int CLIENTS = 4; // of each process
    private static final int MAX_REQUESTS = 4_000; // of one client
    private static final int FAULT_THREADS = 32;
    private static final long SETTLE_MILLIS = 500;
    private static final long CONNECT_MICROS = 1_500_000; // longer than the second try of a connection takes
    private static final long LATE_MICROS = 900_000;
    /** The platform kills a process no sooner than this and the longest deadline after SIGTERM. */
    private static final long KILL_AFTER_MICROS = 700_000;

    private static final Pattern MEMORY_OVERRUN = Pattern.compile("(\\d+) over the limit of an account");
    private static final long MAX_OVERRUN_BYTES = 32 << 10; // a read: the limit shrinks while its pieces are counted
    private static final int QUOTED_LINES = 4;
    private static final long POLL_MILLIS = 5;
    private static final long AIM_MICROS = 500_000;
    private static final int AIM_SPREAD_MICROS = 1_000;
    private static final List<String> BUGS =
            List.of(" event=invariant_violated ", " event=policy_fault ", " event=loop_task_failed ", "Exception");

    private static final List<String> CONTEXT =
            List.of("event=list_received", "discovery", "listening on", "event_loop_stalled");

    private final SoakPlan plan;
    private final Testbed testbed;
    private final List<SoakTarget> targets = new ArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final ScheduledExecutorService faults = Executors.newScheduledThreadPool(FAULT_THREADS);
    private final AtomicInteger restarts = new AtomicInteger();
    private SoakCrowd crowd; // null in runs without one

    /**
     * Opens the servers.
     *
     * @param classPath what holds the program with its tools
     * @param seconds how long the load lasts
     */
    public FaultSoak(String classPath, long seed, int processes, int seconds) throws InterruptedException {
        this(classPath, seed, processes, seconds, false);
    }

    /**
     * Opens the servers.
     *
     * @param lateConnections whether connections to servers come up late as well
     */
    public FaultSoak(String classPath, long seed, int processes, int seconds, boolean lateConnections)
            throws InterruptedException {
        plan = SoakPlan.of(seed, processes, TimeUnit.SECONDS.toMicros(seconds), lateConnections);
        List<ArrivalSchedule.ScheduledRequest> requests = new ArrayList<>();
        List<Scenario.RequestClass> classes = plan.scenario().classes();
        for (int client = 0; client < processes * CLIENTS; client++) {
            for (int i = 0; i < MAX_REQUESTS; i++) {
                int kind = i % classes.size();
                requests.add(new ArrivalSchedule.ScheduledRequest(
                        i,
                        plan.requestId(client, i),
                        0,
                        kind,
                        "k",
                        classes.get(kind).workMicros()));
            }
        }
        testbed = new Testbed(classPath, plan.scenario(), requests);
        testbed.attributeDrainNotifications();
        if (plan.isCrowded() && !plan.isPipelining()) {
            testbed.limitDescriptors(SoakCrowd.MAX_DESCRIPTORS);
        }
        if (lateConnections) {
            testbed.limitConnectTime(CONNECT_MICROS);
            testbed.logRequests();
        }
    }

    /** Starts the processes, plays load and faults, and returns what came of it. */
    public SoakOutcome play() throws IOException, InterruptedException {
        testbed.start(plan.processes());
        testbed.awaitReady();
        for (BalancerMember member : testbed.members()) {
            targets.add(new SoakTarget(member));
        }
        long begin = testbed.clock.now();
        testbed.servers.scheduleFaults(begin);
        for (SoakPlan.ProcessFault fault : plan.faults()) {
            faults.schedule(() -> inject(fault), fault.atMicros(), TimeUnit.MICROSECONDS);
        }
        if (plan.isCrowded() || plan.isPipelining() || plan.isHostile()) {
            crowd = new SoakCrowd(plan, testbed, targets);
            crowd.start(begin + plan.durationMicros());
        }
        List<Future<?>> running = new ArrayList<>();
        for (int number = 0; number < plan.processes() * CLIENTS; number++) {
            SoakClient client = new SoakClient(plan, number, MAX_REQUESTS, testbed, targets, failures);
            running.add(clients.submit(() -> {
                client.run(begin + plan.durationMicros());
                return null;
            }));
        }
        for (Future<?> client : running) {
            try {
                client.get();
            } catch (ExecutionException e) {
                throw new IOException("a client failed: " + e.getCause(), e.getCause());
            }
        }
        if (crowd != null) {
            crowd.close();
        }
        while (restarts.get() > 0) {
            Thread.sleep(SETTLE_MILLIS);
        }
        endAll();
        return outcome();
    }

    private SoakOutcome outcome() {
        List<String> violations = new ArrayList<>(failures);
        testbed.ledger
                .findings()
                .forEach(f -> violations.add(
                        f.breach() + " " + f.request() + ": " + String.join(", ", f.history()) + logged(f.request())));
        testbed.log().stream()
                .filter(line -> BUGS.stream().anyMatch(line::contains))
                .forEach(violations::add);
        long lateAttempts = plan.hasLateConnections() ? lateAttempts() : 0;
        if (plan.hasLateConnections() && lateAttempts == 0) {
            violations.add("no attempt waited for a late connection");
        }
        Ledger ledger = testbed.ledger;
        return new SoakOutcome(
                plan.seed(),
                plan.processes(),
                crowd != null,
                ledger.count(Ledger.RequestOutcome.SERVED),
                ledger.count(Ledger.RequestOutcome.REFUSED),
                ledger.count(Ledger.RequestOutcome.FAILED),
                ledger.count(Ledger.RequestOutcome.LEFT),
                ledger.count(Ledger.RequestOutcome.LOST),
                lateAttempts,
                violations,
                notes());
    }

    // By the request log: how long an attempt waited until it was sent, or that it waited for too long.
    private long lateAttempts() {
        Pattern waited = Pattern.compile(" event=attempt_(?:sent|withdrawn) .* (?:send_deadline|([0-9]+))$");
        return testbed.log().stream()
                .map(waited::matcher)
                .filter(line -> line.find() && (line.group(1) == null || Long.parseLong(line.group(1)) >= LATE_MICROS))
                .count();
    }

    private List<String> notes() {
        Pattern lastResort = Pattern.compile("event=response_failed request=(\\S+) last_resort");
        List<String> notes = new ArrayList<>();
        for (String line : testbed.log()) {
            Matcher found = lastResort.matcher(line);
            if (found.find()) {
                notes.add("last-resort answer to " + found.group(1) + logged(found.group(1)));
            } else if (line.contains("event=last_resort_responses count=")) {
                notes.add(line);
            }
        }
        return notes;
    }

    // What the processes logged of a request, where their request log is on.
    private String logged(String id) {
        return testbed.logOf("request=" + id + " ").stream()
                .filter(line ->
                        line.contains("request=" + id + " ") || CONTEXT.stream().anyMatch(line::contains))
                .map(line -> "\n    " + line)
                .collect(Collectors.joining());
    }

    // ---------------------------------------------------------------- faults of processes

    private void inject(SoakPlan.ProcessFault fault) {
        SoakTarget target = targets.get(fault.place());
        try {
            switch (fault.kind()) {
                case PAUSE -> pause(target, fault.durationMicros());
                case RELOAD -> reload(target, fault, 0);
                case RELOAD_TWICE -> {
                    reload(target, fault, 0);
                    sleepMicros(fault.delayMicros());
                    reload(target, fault, 1);
                }
                default -> replace(target, fault);
            }
        } catch (IOException | IllegalStateException e) {
            failures.add("process " + fault.place() + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pause(SoakTarget target, long micros) throws IOException, InterruptedException {
        BalancerMember member = target.beginPause();
        if (member == null) {
            return; // it is paused, or down
        }
        try {
            member.signal(BalancerMember.Signal.STOP);
            Thread.sleep(TimeUnit.MICROSECONDS.toMillis(micros));
            member.signal(BalancerMember.Signal.CONT);
        } catch (IOException e) {
            if (target.isUp(member)) { // otherwise it has been shut down meanwhile
                throw e;
            }
        } finally {
            target.endPause(micros);
        }
    }

    private static void sleepMicros(long micros) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(micros);
    }

    private void reload(SoakTarget target, SoakPlan.ProcessFault fault, int repetition)
            throws IOException, InterruptedException {
        BalancerMember member = target.upMember();
        if (member != null) {
            long aim = AIM_MICROS + (fault.durationMicros() + repetition) % AIM_SPREAD_MICROS;
            member.rewrite(testbed.configuration(fault.place(), plan.processes())
                    .replace("aim = \"" + AIM_MICROS + "us\"", "aim = \"" + aim + "us\""));
            try {
                member.signal(BalancerMember.Signal.HUP);
            } catch (IOException e) {
                if (target.isUp(member)) {
                    throw e;
                }
            }
        }
    }

    private void replace(SoakTarget target, SoakPlan.ProcessFault fault) throws IOException, InterruptedException {
        if (fault.kind() == SoakPlan.Kind.RELOAD_TERMINATE) {
            reload(target, fault, 0);
            sleepMicros(fault.delayMicros());
        }
        BalancerMember member = target.beginEnd(fault.kind());
        if (member == null) {
            return; // it is down already
        }
        restarts.incrementAndGet();
        try {
            if (fault.kind() == SoakPlan.Kind.KILL) {
                member.signal(BalancerMember.Signal.KILL);
                member.await();
            } else {
                terminate(target, member, fault);
            }
            target.terminated();
            startSuccessor(target, fault);
        } finally {
            restarts.decrementAndGet();
        }
    }

    // What is unanswered when the process is killed is lost: its clients go on until then.
    private void terminate(SoakTarget target, BalancerMember member, SoakPlan.ProcessFault fault)
            throws IOException, InterruptedException {
        boolean paused = fault.kind() == SoakPlan.Kind.PAUSE_TERMINATE && target.beginPause() != null;
        if (paused) {
            member.signal(BalancerMember.Signal.STOP);
        }
        long pausedBefore = target.pausedMicrosUntilNow();
        long terminatedAt = System.nanoTime();
        member.signal(BalancerMember.Signal.TERM);
        if (paused) {
            sleepMicros(fault.durationMicros());
            member.signal(BalancerMember.Signal.CONT);
            target.endPause(fault.durationMicros());
        } else if (fault.kind() == SoakPlan.Kind.TERMINATE_TWICE) {
            sleepMicros(fault.delayMicros());
            member.signal(BalancerMember.Signal.TERM);
        }
        long patienceMicros = plan.longestDeadlineMicros() + KILL_AFTER_MICROS;
        while (member.isAlive()
                && TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - terminatedAt)
                        < patienceMicros + target.pausedMicrosUntilNow() - pausedBefore) {
            Thread.sleep(POLL_MILLIS);
        }
        if (member.isAlive()) {
            failures.add("process " + fault.place() + " (" + fault.kind() + ") has not ended at the kill: "
                    + member.log()
                            .subList(
                                    Math.max(0, member.log().size() - QUOTED_LINES),
                                    member.log().size()));
            member.signal(BalancerMember.Signal.KILL);
            member.await();
        } else {
            checkEnd(fault.place(), member, member.await());
        }
    }

    private void startSuccessor(SoakTarget target, SoakPlan.ProcessFault fault)
            throws IOException, InterruptedException {
        BalancerMember next = testbed.restart(fault.place());
        if (fault.kind() == SoakPlan.Kind.TERMINATE_STARTING) {
            next.address(); // from here on it has its handlers of signals
            sleepMicros(fault.durationMicros());
            next.signal(BalancerMember.Signal.TERM);
            checkEnd(fault.place(), next, next.await());
            next = testbed.restart(fault.place());
        }
        testbed.awaitReady(next);
        target.restarted(next);
    }

    private void checkEnd(int place, BalancerMember member, int code) throws InterruptedException {
        if (code != 0) {
            failures.add("process " + place + " ended with code " + code);
        } else if (!member.line("event=stopped ").contains(" 0 unanswered")) {
            failures.add("process " + place + ": " + member.line("event=stopped "));
        }
        Matcher overrun = MEMORY_OVERRUN.matcher(code == 0 ? member.line("event=stopped ") : "");
        if (overrun.find() && Long.parseLong(overrun.group(1)) >= MAX_OVERRUN_BYTES) {
            failures.add("process " + place + " took more memory than it may: " + overrun.group());
        }
    }

    private void endAll() throws IOException, InterruptedException {
        faults.shutdown();
        faults.awaitTermination(1, TimeUnit.MINUTES);
        for (BalancerMember member : testbed.members()) {
            member.signal(BalancerMember.Signal.TERM);
        }
        for (int place = 0; place < testbed.members().size(); place++) {
            BalancerMember member = testbed.members().get(place);
            checkEnd(place, member, member.await());
        }
    }

    @Override
    public void close() {
        if (crowd != null) {
            crowd.close();
        }
        faults.shutdownNow();
        clients.shutdownNow();
        testbed.close();
    }
}
