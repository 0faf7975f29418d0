package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy;

/**
 * The plan of a {@link FaultSoak}, drawn from its seed alone: the scenario with the faults of servers and
 * discovery, and the faults of each process, which overlap in time. Does no I/O. Times in µs from the beginning of
 * the load.
 *
 * @param hasLateConnections whether connections to servers come up late, and requests with an idempotency key wait for
 *     longer than servers remember it; the other draws are the same
 * @param faults of processes, in order of time
 */
record SoakPlan(
        long seed,
        int processes,
        long durationMicros,
        boolean hasLateConnections,
        Scenario scenario,
        List<ProcessFault> faults) {
    /** The faults of a process. */
    enum Kind {
        /** It is paused for {@code durationMicros} (SIGSTOP, SIGCONT). */
        PAUSE,
        /** It is killed (SIGKILL), and another is started in its place. */
        KILL,
        /** It is shut down gracefully (SIGTERM), and another is started in its place. */
        TERMINATE,
        /** It is shut down twice, the second time while it stops (SIGTERM, SIGTERM). */
        TERMINATE_TWICE,
        /** It is told to reload and, within {@link #MAX_SERIES_MICROS}, to shut down (SIGHUP, SIGTERM). */
        RELOAD_TERMINATE,
        /** It is paused, told to shut down, and goes on after {@code durationMicros} (SIGSTOP, SIGTERM, SIGCONT). */
        PAUSE_TERMINATE,
        /** It is shut down gracefully, and so is its successor while that one starts. */
        TERMINATE_STARTING,
        /** It reloads its configuration (SIGHUP), which has changed. */
        RELOAD,
        /** It reloads twice within {@link #MAX_SERIES_MICROS}, a different configuration each time. */
        RELOAD_TWICE;

        /** Whether the process ends by it, and another one is started in its place. */
        boolean endsProcess() {
            return this != PAUSE && this != RELOAD && this != RELOAD_TWICE;
        }
    }

    /**
     * A fault of the process at that place.
     *
     * @param durationMicros of a pause
     * @param delayMicros between the signals of a series
     */
    record ProcessFault(long atMicros, int place, Kind kind, long durationMicros, long delayMicros) {}

    /** Longest time between two signals of a series. */
    static final long MAX_SERIES_MICROS = 50_000;

    private static final int SERVERS = 20;
    private static final long WORK_MICROS = 5_000;
    private static final long MIN_PAUSE_MICROS = 20_000;
    private static final long MAX_PAUSE_MICROS = 400_000;
    private static final long MEAN_FAULT_INTERVAL_MICROS = 900_000; // of one process
    private static final long MEAN_SERVER_FAULT_INTERVAL_MICROS = 700_000;
    private static final long MIN_SERVER_FAULT_MICROS = 300_000;
    private static final long SERVER_FAULT_SPREAD_MICROS = 2_500_000;
    private static final double PAUSE_SHARE = 0.75; // of the faults of processes
    private static final double RELOAD_SHARE = 0.12;
    private static final double KILL_SHARE = 0.05; // the rest are shut down
    private static final double SERIES_SHARE = 0.5; // of the reloads and shutdowns: by a series of signals
    private static final List<Kind> SHUTDOWN_SERIES =
            List.of(Kind.TERMINATE_TWICE, Kind.RELOAD_TERMINATE, Kind.PAUSE_TERMINATE, Kind.TERMINATE_STARTING);
    private static final int CROWDED_EVERY = 4; // seeds
    private static final int LONG_EVERY = 3; // seeds
    private static final int PIPELINING_EVERY = 5; // seeds
    private static final int HOSTILE_EVERY = 2; // seeds
    private static final int SHORT_DEADLINES_EVERY = 4; // seeds
    private static final long DEADLINE_MICROS = 2_000_000;
    private static final long KEY_TTL_MICROS = 500_000;
    private static final long LONG_OBJECTIVE_MICROS = 1_500_000;
    private static final long MEAN_LATE_INTERVAL_MICROS = 100_000; // of all servers
    private static final double RESET_SHARE = 0.5;
    private static final long MIN_LATE_MICROS = 100_000;
    private static final long LATE_SPREAD_MICROS = 800_000; // connections come up before a third try
    private static final long SHORT_DEADLINE_MICROS = 500_000;
    private static final double LATE_SHARE = 0.4;
    private static final int SLOW_EVERY = 11; // requests of a client
    private static final int LUMPS_EVERY = 5; // requests of a client
    private static final int SMALL_CHUNKS_EVERY = 7; // requests of a client
    private static final int LARGE_EVERY = 23; // requests of a client
    private static final List<Scenario.ServerFaultKind> SERVER_FAULTS = List.of(
            Scenario.ServerFaultKind.STALL,
            Scenario.ServerFaultKind.SLOW,
            Scenario.ServerFaultKind.ERRORS,
            Scenario.ServerFaultKind.FAST_ERRORS,
            Scenario.ServerFaultKind.RESET,
            Scenario.ServerFaultKind.REFUSE,
            Scenario.ServerFaultKind.KILL,
            Scenario.ServerFaultKind.DRAIN,
            Scenario.ServerFaultKind.DISCOVERY_DOWN);

    /** The plan of that seed. */
    static SoakPlan of(long seed, int processes, long durationMicros, boolean lateConnections) {
        SplittableRandom random = new SplittableRandom(seed);
        long deadlineMicros = seed % SHORT_DEADLINES_EVERY == 1 ? SHORT_DEADLINE_MICROS : DEADLINE_MICROS;
        List<Scenario.ServerFault> serverFaults = serverFaults(random.split(), durationMicros, seed % LONG_EVERY == 0);
        List<ProcessFault> processFaults = processFaults(random.split(), processes, durationMicros);
        if (lateConnections) {
            serverFaults.addAll(lateConnections(random.split(), durationMicros));
        }
        Scenario scenario = new Scenario(
                "soak",
                seed,
                durationMicros,
                0,
                0,
                new Scenario.SlowStart(1, 1, 1_000, 1_000_000, 1_000_000),
                List.of(new Scenario.ServerGroup("server", SERVERS, 16, 1, 1_000, "a", "m", 4)),
                lateConnections ? classesWithLongObjective() : classes(deadlineMicros),
                serverFaults);
        return new SoakPlan(seed, processes, durationMicros, lateConnections, scenario, processFaults);
    }

    private static List<Scenario.RequestClass> classes(long deadlineMicros) {
        return List.of(
                kind("read", Policy.Effect.SAFE, deadlineMicros, 0),
                kind("book", Policy.Effect.UNSAFE, deadlineMicros, 0),
                kind("pay", Policy.Effect.KEYED, deadlineMicros, KEY_TTL_MICROS));
    }

    // Attempts are given up at the objective: with a shorter one none would wait for a late connection.
    private static List<Scenario.RequestClass> classesWithLongObjective() {
        return classes(DEADLINE_MICROS).stream()
                .map(usual -> new Scenario.RequestClass(
                        usual.name(),
                        usual.effect(),
                        1,
                        WORK_MICROS,
                        LONG_OBJECTIVE_MICROS,
                        DEADLINE_MICROS,
                        1,
                        LATE_SHARE,
                        usual.keyTtlMicros()))
                .toList();
    }

    private static List<Scenario.ServerFault> lateConnections(SplittableRandom random, long durationMicros) {
        List<Scenario.ServerFault> faults = new ArrayList<>();
        for (long at = drawInterval(random, MEAN_LATE_INTERVAL_MICROS);
                at < durationMicros;
                at += drawInterval(random, MEAN_LATE_INTERVAL_MICROS)) {
            long durationOfFaultMicros = MIN_LATE_MICROS + random.nextLong(LATE_SPREAD_MICROS);
            String server = "server-" + (1 + random.nextInt(SERVERS));
            faults.add(new Scenario.ServerFault(
                    at, server, Scenario.ServerFaultKind.LATE_CONNECTIONS, durationOfFaultMicros, 1));
            // Attempts that run elsewhere meanwhile fail, so that their requests are open when the connection comes up.
            faults.add(new Scenario.ServerFault(
                    at, "server-*", Scenario.ServerFaultKind.RESET, durationOfFaultMicros, RESET_SHARE));
        }
        return faults;
    }

    // A late response earns little, so that requests that are not safe are given up at their objective.
    private static Scenario.RequestClass kind(String name, Policy.Effect effect, long deadlineMicros, long window) {
        return new Scenario.RequestClass(
                name, effect, 1, WORK_MICROS, deadlineMicros / 4, deadlineMicros, 1, LATE_SHARE, window);
    }

    private static long drawInterval(SplittableRandom random, long mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    // A server that is killed within a long response leaves it incomplete, which is no fault of the program.
    private static List<Scenario.ServerFault> serverFaults(
            SplittableRandom random, long durationMicros, boolean longResponses) {
        List<Scenario.ServerFault> faults = new ArrayList<>();
        for (long at = drawInterval(random, MEAN_SERVER_FAULT_INTERVAL_MICROS);
                at < durationMicros;
                at += drawInterval(random, MEAN_SERVER_FAULT_INTERVAL_MICROS)) {
            Scenario.ServerFaultKind what = SERVER_FAULTS.get(random.nextInt(SERVER_FAULTS.size()));
            if (longResponses && what == Scenario.ServerFaultKind.KILL) {
                what = Scenario.ServerFaultKind.STALL;
            }
            double amount = what == Scenario.ServerFaultKind.SLOW ? 0.1 : 0.3;
            faults.add(new Scenario.ServerFault(
                    at,
                    "server-" + (1 + random.nextInt(SERVERS)),
                    what,
                    MIN_SERVER_FAULT_MICROS + random.nextLong(SERVER_FAULT_SPREAD_MICROS),
                    amount));
        }
        return faults;
    }

    private static List<ProcessFault> processFaults(SplittableRandom random, int processes, long durationMicros) {
        List<ProcessFault> faults = new ArrayList<>();
        for (int place = 0; place < processes; place++) {
            for (long at = drawInterval(random, MEAN_FAULT_INTERVAL_MICROS);
                    at < durationMicros;
                    at += drawInterval(random, MEAN_FAULT_INTERVAL_MICROS)) {
                faults.add(new ProcessFault(
                        at,
                        place,
                        draw(random),
                        MIN_PAUSE_MICROS + random.nextLong(MAX_PAUSE_MICROS - MIN_PAUSE_MICROS),
                        random.nextLong(MAX_SERIES_MICROS)));
            }
        }
        faults.sort(Comparator.comparingLong(ProcessFault::atMicros));
        return faults;
    }

    private static Kind draw(SplittableRandom random) {
        double point = random.nextDouble();
        if (point < PAUSE_SHARE) {
            return Kind.PAUSE;
        }
        boolean series = random.nextDouble() < SERIES_SHARE;
        if (point < PAUSE_SHARE + RELOAD_SHARE) {
            return series ? Kind.RELOAD_TWICE : Kind.RELOAD;
        }
        if (point < PAUSE_SHARE + RELOAD_SHARE + KILL_SHARE) {
            return Kind.KILL;
        }
        return series ? SHUTDOWN_SERIES.get(random.nextInt(SHUTDOWN_SERIES.size())) : Kind.TERMINATE;
    }

    /** Whether idle clients, bursts of connections and slow writers take the descriptors of the processes. */
    boolean isCrowded() {
        return seed % CROWDED_EVERY == 0;
    }

    /** Whether clients stop within requests, let them drip, or send small parts at full speed. */
    boolean isHostile() {
        return seed % HOSTILE_EVERY == 0 && !isCrowded() && !isPipelining();
    }

    /** Whether many clients send many requests at once. */
    boolean isPipelining() {
        return seed % PIPELINING_EVERY == 0;
    }

    /** Whether some responses are long, and read slowly. */
    boolean hasLongResponses() {
        return seed % LONG_EVERY == 0;
    }

    /** The identifier of a client's request, which also says how long its response is. */
    String requestId(int client, int request) {
        String suffix = "";
        // Within short deadlines the kill would come before their client reads on.
        boolean mayBeLarge = hasLongResponses() && seed % SHORT_DEADLINES_EVERY != 1;
        if (mayBeLarge && request % LARGE_EVERY == 0) {
            suffix = LongResponse.LARGE.suffix();
        } else if (hasLongResponses() && request % SMALL_CHUNKS_EVERY == 0) {
            suffix = LongResponse.SMALL_CHUNKS.suffix();
        } else if (hasLongResponses() && request % SLOW_EVERY == 0) {
            suffix = (request % 2 == 0 ? LongResponse.SLOW_CHUNKED : LongResponse.SLOW_CLOSE).suffix();
        } else if (mayBeLarge && request % LUMPS_EVERY == 0) {
            suffix = (request % 2 == 0 ? LongResponse.LUMPS_CHUNKED : LongResponse.LUMPS_CLOSE).suffix();
        }
        return "c" + client + "-" + request + suffix;
    }

    /** The longest deadline of the classes. */
    long longestDeadlineMicros() {
        return scenario.classes().stream()
                .mapToLong(Scenario.RequestClass::deadlineMicros)
                .max()
                .orElseThrow();
    }
}
