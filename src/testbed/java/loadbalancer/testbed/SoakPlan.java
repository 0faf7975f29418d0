package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy;

/**
 * What a fault soak plays, drawn from its seed alone: the scenario with the faults of servers and discovery,
 * and the faults of each process, which overlap in time. No I/O. Times in µs from the beginning of the load.
 *
 * @param faults of processes, in order of time
 */
record SoakPlan(long seed, int processes, long lasting, Scenario scenario, List<ProcessFault> faults) {
    /** What may befall a process. */
    enum Kind {
        /** It gets no turn for {@code lasting} (SIGSTOP, SIGCONT). */
        HOLD,
        /** It dies (SIGKILL), and another is started in its place. */
        KILL,
        /** It is told to end (SIGTERM), and another is started in its place. */
        TERMINATE,
        /** It is told to read its configuration again (SIGHUP), which has changed. */
        RELOAD
    }

    /** A fault of the process at that place. */
    record ProcessFault(long at, int place, Kind kind, long lasting) {}

    private static final int SERVERS = 20;
    private static final long WORK = 5_000;
    private static final long HOLD_LEAST = 20_000;
    private static final long HOLD_MOST = 400_000;
    private static final long BETWEEN_FAULTS = 900_000; // of one process, in the mean
    private static final long BETWEEN_SERVER_FAULTS = 700_000;
    private static final long SERVER_FAULT_LEAST = 300_000;
    private static final long SERVER_FAULT_MOST = 2_500_000;
    private static final double HOLDS = 0.75; // of the faults of processes
    private static final double RELOADS = 0.12;
    private static final double KILLS = 0.05; // the rest are told to end
    private static final List<Scenario.What> SERVER_FAULTS = List.of(
            Scenario.What.STALL,
            Scenario.What.SLOW,
            Scenario.What.ERRORS,
            Scenario.What.FAST_ERRORS,
            Scenario.What.RESET,
            Scenario.What.REFUSE,
            Scenario.What.KILL,
            Scenario.What.DRAIN,
            Scenario.What.DISCOVERY_DOWN);

    /** The plan of that seed. */
    static SoakPlan of(long seed, int processes, long lasting) {
        SplittableRandom random = new SplittableRandom(seed);
        Scenario scenario = new Scenario(
                "soak",
                seed,
                lasting,
                0,
                0,
                new Scenario.Cold(1, 1, 1_000, 1_000_000, 1_000_000),
                List.of(new Scenario.Boxes("server", SERVERS, 16, 1, 1_000, "a", "m", 4)),
                List.of(
                        kind("read", Policy.Effect.SAFE, 0),
                        kind("book", Policy.Effect.UNSAFE, 0),
                        kind("pay", Policy.Effect.KEYED, 500_000)),
                serverFaults(random.split(), lasting));
        return new SoakPlan(seed, processes, lasting, scenario, processFaults(random.split(), processes, lasting));
    }

    private static Scenario.Kind kind(String name, Policy.Effect effect, long window) {
        return new Scenario.Kind(name, effect, 1, WORK, 500_000, 2_000_000, 1, 0.5, window);
    }

    private static long wait(SplittableRandom random, long mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    private static List<Scenario.Fault> serverFaults(SplittableRandom random, long lasting) {
        List<Scenario.Fault> faults = new ArrayList<>();
        for (long at = wait(random, BETWEEN_SERVER_FAULTS); at < lasting; at += wait(random, BETWEEN_SERVER_FAULTS)) {
            Scenario.What what = SERVER_FAULTS.get(random.nextInt(SERVER_FAULTS.size()));
            double amount = what == Scenario.What.SLOW ? 0.1 : 0.3;
            faults.add(new Scenario.Fault(
                    at,
                    "server-" + (1 + random.nextInt(SERVERS)),
                    what,
                    SERVER_FAULT_LEAST + random.nextLong(SERVER_FAULT_MOST),
                    amount));
        }
        return faults;
    }

    private static List<ProcessFault> processFaults(SplittableRandom random, int processes, long lasting) {
        List<ProcessFault> faults = new ArrayList<>();
        for (int place = 0; place < processes; place++) {
            for (long at = wait(random, BETWEEN_FAULTS); at < lasting; at += wait(random, BETWEEN_FAULTS)) {
                faults.add(new ProcessFault(
                        at, place, draw(random), HOLD_LEAST + random.nextLong(HOLD_MOST - HOLD_LEAST)));
            }
        }
        faults.sort(java.util.Comparator.comparingLong(ProcessFault::at));
        return faults;
    }

    private static Kind draw(SplittableRandom random) {
        double point = random.nextDouble();
        if (point < HOLDS) {
            return Kind.HOLD;
        }
        if (point < HOLDS + RELOADS) {
            return Kind.RELOAD;
        }
        return point < HOLDS + RELOADS + KILLS ? Kind.KILL : Kind.TERMINATE;
    }
}
