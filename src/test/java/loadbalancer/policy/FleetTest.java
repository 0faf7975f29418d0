package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of balancers and servers, measured over all balancers: most with 14 balancers and 60 servers. */
class FleetTest {
    private static final double[] CLASS_SHARES = {0.75, 0.25};
    private static final int BALANCERS = 14;
    private static final int SERVERS = 60;
    private static final long WORK_MICROS = 30_000;
    private static final double REQUESTS_PER_SECOND = 0.7 * SERVERS * 1e6 / WORK_MICROS;

    private static final int SEEDS = 12;

    private static final int LARGE_FLEET_BALANCERS = 100;
    private static final int LARGE_FLEET_SERVERS = 200;
    private static final long LARGE_FLEET_WORK_MICROS = 300_000;
    // Requests per second that all servers can process; their mean weight is 2.5.
    private static final double LARGE_FLEET_CAPACITY_PER_SECOND =
            2.5 * LARGE_FLEET_SERVERS * 1e6 / LARGE_FLEET_WORK_MICROS;

    private static Policy.Settings settings() {
        RequestClass unsafeClass = new RequestClass(Effect.UNSAFE, Scope.ALL, 0, 600_000, 2_500_000, 0, 3, 0.2, false);
        RequestClass keyedClass =
                new RequestClass(Effect.KEYED, Scope.CELL, 1_000_000, 250_000, 500_000, 0, 9, 0.25, false);
        return new Policy.Settings(
                BALANCERS,
                0,
                0,
                List.of(unsafeClass, keyedClass),
                List.of(),
                0.1,
                new Policy.Goal(1, 0, 0, 0),
                new Policy.Prices(0, 0),
                true,
                Policy.Discovery.PUSH,
                Policy.Reports.NONE,
                false,
                new Policy.Limits(3, true, true, true, 120_000, 0),
                new Policy.Bounds(8_000, 1_000_000, 10_000_000, 0.3, 6_000_000, 3, 1_000_000, 0),
                2_000);
    }

    private static List<Server> servers(String idPrefix, State state, long startedAtMicros, int from, int to) {
        List<Server> servers = new ArrayList<>();
        for (int i = from; i < to; i++) {
            servers.add(new Server(idPrefix + i, state, startedAtMicros, 1, i / 4, 0, 0));
        }
        return servers;
    }

    /**
     * Guards against admission control that moves its level in steps only: the level rose seconds too late and stayed
     * high for as long again, and the proportion of worth earned in time was 0.87 to 0.89 for a seed. Single seeds now
     * lie between 0.88 and 0.92, so only the mean over many seeds tells the two apart.
     */
    @Test
    void whileServersAreReplacedTheFleetIsNeitherOverloadedNorIdle() {
        List<String> figures = new ArrayList<>();
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            FleetModel fleet = new FleetModel(settings(), servers("s", State.UP, 0, 0, SERVERS), seed);
            fleet.run(5_000_000, REQUESTS_PER_SECOND, CLASS_SHARES, WORK_MICROS);
            int[] beforeDrain = {
                fleet.withinObjective[0], fleet.withinObjective[1], fleet.arrivals[0], fleet.arrivals[1]
            };
            fleet.updateEndpoints(servers("s", State.DRAINING, 0, 0, 24));
            fleet.run(4_000_000, REQUESTS_PER_SECOND, CLASS_SHARES, WORK_MICROS);
            fleet.updateEndpoints(servers("new", State.UP, fleet.nowMicros, 0, 24));
            fleet.run(6_000_000, REQUESTS_PER_SECOND, CLASS_SHARES, WORK_MICROS);
            double worthBefore = (beforeDrain[0] + 3.0 * beforeDrain[1]) / (beforeDrain[2] + 3.0 * beforeDrain[3]);
            double worthSince =
                    (fleet.withinObjective[0] - beforeDrain[0] + 3.0 * (fleet.withinObjective[1] - beforeDrain[1]))
                            / (fleet.arrivals[0] - beforeDrain[2] + 3.0 * (fleet.arrivals[1] - beforeDrain[3]));
            figures.add("seed " + seed + ": proportion of worth earned in time before the change " + worthBefore
                    + ", after it " + worthSince
                    + ", rejected " + fleet.rejections[0] + " and " + fleet.rejections[1] + " of " + fleet.arrivals[0]
                    + " and " + fleet.arrivals[1]);
            assertTrue(worthBefore > 0.9 && worthSince > 0.87, figures.get(seed - 1));
            sum += worthSince;
        }
        assertTrue(sum / SEEDS > 0.9, sum / SEEDS + " of " + figures);
    }

    /**
     * Rule 4 over all balancers, whose configured number is right or wrong by a third. The bound of 0.8 leaves a margin
     * for varying work.
     */
    @ParameterizedTest
    @CsvSource({"14, 0.4", "14, 0.7", "14, 0.95", "19, 0.7", "10, 0.7", "19, 0.95"})
    void allBalancersTogetherDoNotOverloadAColdServer(int balancers, double load) {
        double requestsPerSecond = load * SERVERS * 1e6 / WORK_MICROS;
        for (int seed = 1; seed <= 3; seed++) {
            FleetModel fleet = new FleetModel(settings(), balancers, servers("s", State.UP, 0, 0, SERVERS), seed);
            fleet.run(4_000_000, requestsPerSecond, CLASS_SHARES, WORK_MICROS);
            fleet.updateEndpoints(servers("s", State.DRAINING, 0, 0, 20));
            fleet.slowDown("new", 1.5);
            fleet.run(1_500_000, requestsPerSecond, CLASS_SHARES, WORK_MICROS);
            fleet.updateEndpoints(servers("new", State.UP, fleet.nowMicros, 0, 20));
            fleet.run(7_000_000, requestsPerSecond, CLASS_SHARES, WORK_MICROS);
            assertTrue(
                    fleet.maxSendsToAllowedRatio <= 0.8,
                    balancers + " at " + load + ": " + fleet.maxSendsToAllowedRatio);
            assertTrue(fleet.coldSends > 100, "the cold servers are hardly used: " + fleet.coldSends);
        }
    }

    /**
     * Guards against subsets that are too small after a start. Four busy balancers start with a hundred idle servers:
     * when they sized their subsets by arrival counts that began at zero, each used six servers at first, and 151 to
     * 202 of some 1,180 requests were rejected.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aBusyBalancerUsesAsManyServersAsItNeedsFromTheStart(long seed) {
        Policy.Settings baseSettings = settings();
        RequestClass safeClass = new RequestClass(Effect.SAFE, Scope.ALL, 0, 2_000_000, 8_000_000, 0, 1, 0.2, false);
        FleetModel fleet = new FleetModel(
                new Policy.Settings(
                        4,
                        0,
                        0,
                        List.of(safeClass, safeClass),
                        List.of(),
                        0.1,
                        baseSettings.goal(),
                        baseSettings.prices(),
                        false,
                        baseSettings.discovery(),
                        baseSettings.reports(),
                        false,
                        baseSettings.limits(),
                        baseSettings.bounds(),
                        2_000),
                4,
                servers("s", State.UP, 0, 0, 100),
                seed);
        fleet.run(10_000_000, 0.6 * 100 * 1e6 / 500_000, CLASS_SHARES, 500_000);
        int arrivals = fleet.arrivals[0] + fleet.arrivals[1];
        int rejections = fleet.rejections[0] + fleet.rejections[1];
        assertTrue(rejections < 0.02 * arrivals, rejections + " rejected of " + arrivals);
    }

    /** A hundred balancers with some ten requests per second each; a handshake has a price. */
    private static FleetModel largeFleet(long seed) {
        return largeFleet(LARGE_FLEET_BALANCERS, seed);
    }

    private static FleetModel largeFleet(int balancers, long seed) {
        RequestClass unsafeClass =
                new RequestClass(Effect.UNSAFE, Scope.ALL, 0, 2_400_000, 9_800_000, 0, 3, 0.2, false);
        RequestClass keyedClass =
                new RequestClass(Effect.KEYED, Scope.CELL, 4_000_000, 980_000, 2_000_000, 0, 9, 0.25, false);
        Policy.Settings baseSettings = settings();
        return new FleetModel(
                new Policy.Settings(
                        LARGE_FLEET_BALANCERS,
                        0,
                        0,
                        List.of(unsafeClass, keyedClass),
                        List.of(),
                        0.1,
                        baseSettings.goal(),
                        new Policy.Prices(0, 0.08),
                        true,
                        Policy.Discovery.ASK,
                        Policy.Reports.ANSWERS,
                        false,
                        baseSettings.limits(),
                        baseSettings.bounds(),
                        2_000),
                balancers,
                twoMachineModels("s", 0, 0, LARGE_FLEET_SERVERS),
                seed);
    }

    // Every other server is four times as fast and has four times the weight.
    private static List<Server> twoMachineModels(String idPrefix, long startedAtMicros, int from, int to) {
        return servers(idPrefix, State.UP, startedAtMicros, from, to).stream()
                .map(x -> new Server(
                        x.id(),
                        x.state(),
                        x.startedAtMicros(),
                        x.id().hashCode() % 2 == 0 ? 4 : 1,
                        x.cell(),
                        x.id().hashCode() & 1,
                        0))
                .toList();
    }

    /** Guards against a choice by queue length alone, which opened 0.28 to 0.31 connections per request. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aHundredBalancersReuseTheirConnections(long seed) {
        FleetModel fleet = largeFleet(seed);
        fleet.run(4_000_000, 0.9 * LARGE_FLEET_CAPACITY_PER_SECOND, CLASS_SHARES, LARGE_FLEET_WORK_MICROS);
        int arrivalsBefore = fleet.arrivals[0] + fleet.arrivals[1];
        int openedBefore = fleet.connectionsOpened;
        fleet.run(6_000_000, 0.9 * LARGE_FLEET_CAPACITY_PER_SECOND, CLASS_SHARES, LARGE_FLEET_WORK_MICROS);
        double connectionsPerRequest = (fleet.connectionsOpened - openedBefore)
                / (double) (fleet.arrivals[0] + fleet.arrivals[1] - arrivalsBefore);
        assertTrue(connectionsPerRequest < 0.25, "connections opened per request: " + connectionsPerRequest);
        double lateProportion = 1 - fleet.withinObjective[1] / (double) fleet.arrivals[1];
        assertTrue(lateProportion < 0.04, "late proportion of the class of the highest worth: " + lateProportion);
    }

    /**
     * Rule 4 where each balancer sends requests to a cold server only now and then. The configured number of balancers
     * is right or too low, and the balancers have just started or have run for long. Guards also against cold servers
     * that get too little: with budgets by the fleet's mean rate alone, of which only the few balancers with the server
     * in their subset made use, 56 requests reached sixty new servers in 6 s at the lower load; now it is 387. The
     * number that the busiest of sixty servers gets varies by a tenth between seeds, so each case averages several.
     */
    @ParameterizedTest
    @CsvSource({"100, 0.6, 3, 8", "100, 0.9, 3, 8", "133, 0.9, 3, 8", "100, 0.9, 25, 2", "133, 0.9, 25, 2"})
    void aHundredBalancersDoNotOverloadAColdServer(int balancers, double load, int runSeconds, int seeds) {
        double sum = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            FleetModel fleet = largeFleet(balancers, seed);
            fleet.run(
                    runSeconds * 1_000_000L,
                    load * LARGE_FLEET_CAPACITY_PER_SECOND,
                    CLASS_SHARES,
                    LARGE_FLEET_WORK_MICROS);
            fleet.updateEndpoints(servers("s", State.DRAINING, 0, 0, 60));
            fleet.slowDown("new", 1.5);
            fleet.run(1_500_000, load * LARGE_FLEET_CAPACITY_PER_SECOND, CLASS_SHARES, LARGE_FLEET_WORK_MICROS);
            fleet.updateEndpoints(twoMachineModels("new", fleet.nowMicros, 0, 60));
            fleet.run(6_000_000, load * LARGE_FLEET_CAPACITY_PER_SECOND, CLASS_SHARES, LARGE_FLEET_WORK_MICROS);
            String figures = balancers + " at " + load + ", seed " + seed + ": " + fleet.maxSendsToFailureRatio
                    + " of the overload limit, " + fleet.maxSendsToAllowedRatio + " of the allowed number";
            assertTrue(fleet.maxSendsToFailureRatio <= 0.65, figures);
            assertTrue(fleet.coldSends > 200, "the cold servers are hardly used: " + fleet.coldSends);
            sum += fleet.maxSendsToAllowedRatio;
        }
        // Balancers that have run for long send more: up to 1.21 with sixteen seeds, 1.03 on average.
        assertTrue(sum / seeds <= (runSeconds > 3 ? 1.15 : 0.8), balancers + " at " + load + ": " + sum / seeds);
    }

    /** When discovery fails for all balancers at once, their next calls are spread over half a second. */
    @Test
    void aHundredBalancersSpreadTheirDiscoveryCalls() {
        FleetModel fleet = largeFleet(1);
        fleet.run(1_000_000, 0.6 * LARGE_FLEET_CAPACITY_PER_SECOND, CLASS_SHARES, LARGE_FLEET_WORK_MICROS);
        fleet.balancers.forEach(
                b -> b.updateEndpoints(ListKind.PARTIAL, List.of()).updateEndpoints(ListKind.FAILED, List.of()));
        int callsBefore = watchCalls(fleet);
        int maxCalls = 0;
        int callsSoFar = callsBefore;
        for (int i = 0; i < 20; i++) {
            fleet.run(50_000, 0.6 * LARGE_FLEET_CAPACITY_PER_SECOND, CLASS_SHARES, LARGE_FLEET_WORK_MICROS);
            maxCalls = Math.max(maxCalls, watchCalls(fleet) - callsSoFar);
            callsSoFar = watchCalls(fleet);
        }
        assertEquals(LARGE_FLEET_BALANCERS, callsSoFar - callsBefore, "each balancer calls once within a second");
        assertTrue(maxCalls <= 25, "most calls within 50 ms: " + maxCalls);
    }

    private static int watchCalls(FleetModel fleet) {
        return fleet.balancers.stream().mapToInt(b -> b.watchCalls).sum();
    }
}
